"""Routers go on serving a dropped key for over two seconds once each zone's reader is lost."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "harness"))

from fleet import BOUNDS, KEY, TROUBLE, ZONES, CannotRun, Client, Fleet, run_case  # noqa: E402

ZONE_NAMES = ("zone-a", "zone-b", "zone-c", "zone-d")
MACHINES = 8
DROPPED_KEY = "b7yq2mzs981anu6wsjx0"
#: Seconds without power; herd_kill of the site has 2.0.
DARK_SECONDS = 2.0
#: Seconds after the loss at which the configuration changes.
CHANGE_AFTER = 0.1
#: Seconds after the acknowledgement between which clients send.
SEND_FROM, SEND_UNTIL, SEND_PAUSE = 2.02, 3.5, 0.05
ROUTE = {
    "Name": "fetch", "PathPrefix": "/fetch/", "Service": "portal", "Type": "idempotent",
    "TimeoutMs": 3000, "TargetLatencyMs": 400, "MaxAttempts": 2,
}  # fmt: skip


class Request:
    """One request with the dropped key."""

    def __init__(self, router, attempt: str) -> None:
        self.router, self.attempt = router, attempt
        self.sent_at, self.status = 0.0, 0

    def play(self) -> None:
        """Send it on a new connection and note the status."""
        try:
            client = Client(self.router)
            self.sent_at = time.time()
            client.send(self.attempt, "/fetch/1", 3000, key=DROPPED_KEY)
            self.status, _ = client.read_head()
            client.close()
        except OSError:
            self.status = 0


def configure(fleet: Fleet, keys: list[str]) -> None:
    """Write the next version of the configuration."""
    services = [{"Name": "portal", "HealthPath": "/healthz"}]
    fleet.put_configuration([ROUTE], services, Tenants=[{"Name": "hule930", "ApiKeys": keys}])


def readers(fleet: Fleet) -> list:
    """Return the routers that read the store for their zones: one of each zone."""
    return [each for each in fleet.routers if "stopping the watch" not in each.log.read_text()]


def play(fleet: Fleet) -> bool:
    """Return whether CONFIG was broken."""
    ZONES.clear()
    ZONES.update(dict.fromkeys(ZONE_NAMES, "region-1"))
    for number in range(4):
        fleet.add_engine(f"i-{number}", "portal", zone=ZONE_NAMES[number])
    configure(fleet, [KEY, DROPPED_KEY])
    for number in range(MACHINES):
        fleet.add_router(ZONE_NAMES[number % len(ZONE_NAMES)])
    fleet.await_ready()
    time.sleep(4)
    lost = readers(fleet)
    if len(lost) != len(ZONE_NAMES):
        raise CannotRun(f"{len(lost)} routers read the store")
    in_touch = [each for each in fleet.routers if each not in lost]
    check_key_opens(in_touch[0])
    if TROUBLE:
        threading.Thread(target=cut_power, args=(fleet, lost)).start()
        time.sleep(CHANGE_AFTER)
    configure(fleet, [KEY])
    acknowledged_at = time.time()
    fleet.say("the store has acknowledged the version without the key")
    requests = send(in_touch, acknowledged_at)
    ran = {each["attempt"] for each in fleet.notes() if each["what"] == "runs"}
    late = [
        each
        for each in requests
        if each.attempt in ran and each.sent_at - acknowledged_at > BOUNDS["ConfigApplyMs"] / 1000
    ]
    for each in requests:
        fleet.record(
            each.sent_at,
            f"{each.attempt}: sent {each.sent_at - acknowledged_at:.3f} s after the "
            f"acknowledgement, status {each.status}{', RUN' if each in late else ''}",
        )
    newest = max((each.sent_at - acknowledged_at for each in late), default=0.0)
    fleet.say(
        f"CONFIG: {len(late)} of {len(requests)} requests ran with the dropped key, sent over "
        f"2 s after the acknowledgement (up to {newest:.2f} s) to machines in touch"
    )
    return bool(late)


def check_key_opens(router) -> None:
    """Check that the key is known before it is dropped."""
    request = Request(router, "before")
    request.play()
    if request.status != 200:
        raise CannotRun(f"status {request.status} before the change")
    time.sleep(1)


def cut_power(fleet: Fleet, routers: list) -> None:
    """Take the power of some machines at once, and start them again."""
    for router in routers:
        # They answer nothing, not even a reset.
        router.process.send_signal(signal.SIGSTOP)
    fleet.say(f"{len(routers)} of {MACHINES} machines lose power: {[r.name for r in routers]}")
    time.sleep(DARK_SECONDS)
    for router in routers:
        router.process.kill()
        router.process.wait()
        fleet.start_router(router)
    fleet.say("they have power again and start")


def send(routers: list, acknowledged_at: float) -> list[Request]:
    """Send requests with the dropped key to each router, from a moment after the change on."""
    time.sleep(max(0.0, acknowledged_at + SEND_FROM - time.time()))
    requests, threads = [], []
    while time.time() < acknowledged_at + SEND_UNTIL:
        for router in routers:
            requests.append(Request(router, f"{router.name}-{len(requests)}"))
            threads.append(threading.Thread(target=requests[-1].play))
            threads[-1].start()
        time.sleep(SEND_PAUSE)
    for thread in threads:
        thread.join()
    return requests


if __name__ == "__main__":
    run_case(CASE, play)
