"""Routers go on serving a dropped key for over two seconds once each zone's reader is lost."""

from __future__ import annotations

import json
import signal
import sys
import threading
import time
import urllib.request
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "harness"))

from engine import Options, put_object  # noqa: E402
from fleet import BOUNDS, KEY, TROUBLE, ZONES, CannotRun, Client, Fleet, run_case  # noqa: E402

ZONE_NAMES = ("zone-a", "zone-b", "zone-c", "zone-d")
MACHINES = 8
DROPPED_KEY = "b7yq2mzs981anu6wsjx0"
#: Seconds without power; herd_kill of the site has 2.0.
DARK_SECONDS = 2.0
#: Seconds after the loss at which the configuration changes.
CHANGE_AFTER = 0.1
#: Seconds after the acknowledgement between which clients send: in the first part after a pause, in
#: the second one all the time.
FIRST_PART, SECOND_PART = (2.02, 3.5), (-2.0, 4.0)
SEND_PAUSE = 0.05
#: Names that are tried for each zone, to find an engine whose requests no lost router hears of.
CANDIDATES = 6
SERVICES = ("portal", "desk")


class Request:
    """One request with the dropped key."""

    def __init__(self, router, service: str, attempt: str) -> None:
        self.router, self.service, self.attempt = router, service, attempt
        self.sent_at, self.status = 0.0, 0

    def play(self) -> None:
        """Send it on a new connection and note the status."""
        try:
            client = Client(self.router)
            self.sent_at = time.time()
            client.send(self.attempt, f"/{self.service}/1", 3000, key=DROPPED_KEY)
            self.status, _ = client.read_head()
            client.close()
        except OSError:
            self.status = 0


def configure(fleet: Fleet, keys: list[str]) -> None:
    """Write the next version of the configuration."""
    routes = [
        {
            "Name": name, "PathPrefix": f"/{name}/", "Service": name, "Type": "idempotent",
            "TimeoutMs": 3000, "TargetLatencyMs": 400, "MaxAttempts": 2,
        }
        for name in SERVICES
    ]  # fmt: skip
    services = [{"Name": name, "HealthPath": "/healthz"} for name in SERVICES]
    fleet.put_configuration(routes, services, Tenants=[{"Name": "hule930", "ApiKeys": keys}])


def state_of(router) -> dict:
    """Return a router's own account of what it does, to choose whom and what to strike."""
    with urllib.request.urlopen(f"http://127.0.0.1:{router.admin_port}/state.json") as answer:
        return json.load(answer)


def play(fleet: Fleet) -> bool:
    """Return whether CONFIG was broken."""
    ZONES.clear()
    ZONES.update(dict.fromkeys(ZONE_NAMES, "region-1"))
    for number, zone in enumerate(ZONE_NAMES):
        fleet.add_engine(f"i-{number}", "portal", zone=zone)
    configure(fleet, [KEY, DROPPED_KEY])
    for number in range(MACHINES):
        fleet.add_router(ZONE_NAMES[number % len(ZONE_NAMES)])
    fleet.await_ready()
    time.sleep(4)
    fleet.say("first part: clients are idle for two seconds")
    is_broken = play_part(fleet, "portal", FIRST_PART)
    configure(fleet, [KEY, DROPPED_KEY])
    fleet.await_ready()
    time.sleep(8)
    fleet.say("second part: clients send all the time")
    lost = readers(fleet)
    for name, zone in unheard_engines(fleet, [each for each in fleet.routers if each not in lost]):
        fleet.add_engine(name, "desk", zone=zone)
    time.sleep(2)
    return play_part(fleet, "desk", SECOND_PART) or is_broken


def readers(fleet: Fleet) -> list:
    """Return the routers that read the store for their zones: one of each zone."""
    found = [each for each in fleet.routers if state_of(each)["watches_platform"]]
    if len(found) != len(ZONE_NAMES):
        raise CannotRun(f"{len(found)} routers read the store")
    return found


def unheard_engines(fleet: Fleet, in_touch: list) -> list[tuple[str, str]]:
    """Return the name and zone of an engine in each zone that one of these routers grants."""
    names = {router.name for router in in_touch}
    for zone in ZONE_NAMES:
        for number in range(CANDIDATES):
            entry = Options(f"i-{zone}-{number}", "desk", 9, fleet.store, "", zone).entry()
            put_object(fleet.store, "servers", f"i-{zone}-{number}", entry)
    time.sleep(2)
    name_by_zone = {}
    for each in state_of(in_touch[0])["upstreams"]:
        if each["service"] == "desk":
            fleet.remove_entry(each["name"])
            if each["owner"] in names:
                name_by_zone[each["hall"]] = each["name"]
    if not name_by_zone:
        raise CannotRun("no engine's requests are granted by a router that stays")
    time.sleep(3)
    return [(name, zone) for zone, name in name_by_zone.items()]


def play_part(fleet: Fleet, service: str, window: tuple[float, float]) -> bool:
    """Take the readers' power and drop a key; return whether others served it too long."""
    lost = readers(fleet)
    in_touch = [each for each in fleet.routers if each not in lost]
    check_key_opens(in_touch[0], service)
    before, requests, threads = -min(window[0], 0.0), [], []
    acknowledged_by = time.time() + before + CHANGE_AFTER
    sending = threading.Thread(
        target=send, args=(in_touch, service, window, acknowledged_by, requests, threads)
    )
    sending.start()
    time.sleep(before)
    power = threading.Thread(target=cut_power, args=(fleet, lost))
    if TROUBLE:
        power.start()
    time.sleep(CHANGE_AFTER)
    configure(fleet, [KEY])
    acknowledged_at = time.time()
    fleet.say("the store has acknowledged the version without the key")
    for thread in (sending, *threads, *([power] if TROUBLE else [])):
        thread.join()
    return judge(fleet, requests, acknowledged_at)


def judge(fleet: Fleet, requests: list[Request], acknowledged_at: float) -> bool:
    """Return whether requests were run that were sent too late after the acknowledgement."""
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


def check_key_opens(router, service: str) -> None:
    """Check that the key is known before it is dropped."""
    request = Request(router, service, f"before-{service}")
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


def send(
    routers: list,
    service: str,
    window: tuple[float, float],
    acknowledged_by: float,
    requests: list[Request],
    threads: list[threading.Thread],
) -> None:
    """Send requests with the dropped key to each router, within a window around the change."""
    time.sleep(max(0.0, acknowledged_by + window[0] - time.time()))
    while time.time() < acknowledged_by + window[1]:
        for router in routers:
            requests.append(Request(router, service, f"{service}-{router.name}-{len(requests)}"))
            threads.append(threading.Thread(target=requests[-1].play))
            threads[-1].start()
        time.sleep(SEND_PAUSE)


if __name__ == "__main__":
    run_case(CASE, play)
