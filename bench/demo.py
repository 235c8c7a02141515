"""Runs both users' fleets on loopback with multi-turn chats and prints a report.

Run by ``make demo``. Exits 0 if every request was answered completely or refused as not run.
"""

from __future__ import annotations

import asyncio
import sys
import time
import urllib.request
from dataclasses import dataclass
from typing import Any

from bench._chats import ChatLoad, Tally, send_chats
from fakes._local_fleet import ROOT, LocalFleet, fetch

ROUTERS = 8
ENGINES = 10


@dataclass(frozen=True)
class User:
    """An example user, with its fleet and accounts."""

    name: str
    #: Folder of its configuration, under ``examples``.
    example: str
    halls: tuple[str, ...]
    service: str
    model: str
    plain_service: str
    plain_upstreams: int
    #: Start of the paths of its plain requests.
    path: str
    accounts: tuple[str, ...]


RENDER_DESK = User(
    name="render desk",
    example="render-desk",
    halls=("recife-1", "recife-2", "recife-3", "recife-4"),
    service="scene-language",
    model="scene-writer",
    plain_service="proof-portal",
    plain_upstreams=4,
    path="/proofs/launch-deck",
    accounts=("visualisers-boa-viagem", "visualisers-pina", "client-portal"),
)
INSPECTION_TRUST = User(
    name="inspection trust",
    example="inspection-trust",
    halls=("suva-1", "suva-2", "lautoka-1"),
    service="photo-description",
    model="defect-describer",
    plain_service="archive",
    plain_upstreams=3,
    path="/archive/batch",
    accounts=("line-supervisors-suva", "line-supervisors-lautoka", "inspectors-suva"),
)


@dataclass(frozen=True)
class Report:
    """Results of one user's run."""

    tally: Tally
    #: Largest number of requests served by one engine, relative to the mean.
    skew: float
    #: Gossip bytes per second of one router, sent and received: mean and largest.
    control: tuple[float, float]
    plain_whole: int
    plain_sent: int
    seconds: float


def start(fleet: LocalFleet, user: User) -> None:
    """Start a user's processes and apply its configuration."""
    halls = user.halls
    for index in range(ENGINES):
        hall = halls[index % len(halls)]
        fleet.add_backend("engine", f"engine-{index}", user.service, hall)
    for index in range(user.plain_upstreams):
        fleet.add_backend("plain", f"plain-{index}", user.plain_service, halls[index % len(halls)])
    fleet.add_routers([halls[index % len(halls)] for index in range(ROUTERS)])
    applied = fleet.apply(ROOT / "examples" / user.example)
    if applied.returncode != 0:
        raise RuntimeError(applied.stderr)
    fleet.await_convergence(1)


def measure(fleet: LocalFleet, user: User) -> Report:
    """Send a user's chats and plain requests and return the results."""
    keys = tuple(f"example-{account}" for account in user.accounts)
    load = ChatLoad(user.model, keys, chats=60, turns=5, concurrency=20)
    before = [_counters(router) for router in fleet.routers]
    started = time.monotonic()
    tally = asyncio.run(send_chats([router.callers for router in fleet.routers], load))
    plain_sent = 40
    plain_whole = sum(
        _is_plain_answer_whole(fleet, user, keys[0], index) for index in range(plain_sent)
    )
    seconds = time.monotonic() - started
    rates = [
        (sum(_counters(router)) - sum(old)) / seconds
        for router, old in zip(fleet.routers, before, strict=True)
    ]
    return Report(
        tally=tally,
        skew=_skew(fleet, user),
        control=(sum(rates) / len(rates), max(rates)),
        plain_whole=plain_whole,
        plain_sent=plain_sent,
        seconds=seconds,
    )


def print_report(user: User, report: Report) -> None:
    """Print a report in readable form."""
    tally = report.tally
    print(f"\n{user.name}: {ROUTERS} routers, {ENGINES} engines, {report.seconds:.1f} s")
    print(f"  chat answers whole      {tally.whole} of {tally.sent}")
    print(f"  refused, not run        {tally.refused or 'none'}")
    print(f"  broken or wrong         {tally.bad or 'none'}")
    print(f"  plain answers whole     {report.plain_whole} of {report.plain_sent}")
    print(
        f"  returning chats         {tally.context_found} of {tally.returning} found their context"
    )
    print(f"  reuse                   {tally.reuse:.3f}")
    print(f"  skew over the run       {report.skew:.2f} (most requests at one engine over mean)")
    mean, largest = report.control
    print(f"  control per router      {mean:.0f} B/s, most {largest:.0f} B/s (sent and received)")


def main() -> int:
    """Run both users' fleets, one after the other."""
    succeeded = True
    for user in (RENDER_DESK, INSPECTION_TRUST):
        print(f"starting the {user.name}'s fleet ...", flush=True)
        with LocalFleet() as fleet:
            start(fleet, user)
            report = measure(fleet, user)
            print_report(user, report)
            codes = [fleet.stop(router.process) for router in fleet.routers[:2]]
            print(f"  planned stop            2 routers, exit codes {codes}")
        plain_succeeded = report.plain_whole == report.plain_sent
        succeeded = succeeded and not report.tally.bad and plain_succeeded and codes == [0, 0]
    print("\nall answers whole or refused as not run" if succeeded else "\nfailures, see above")
    return 0 if succeeded else 1


def _counters(router: Any) -> tuple[int, int]:
    state = router.state()
    return state["gossip_bytes_sent"], state["gossip_bytes_received"]


def _is_plain_answer_whole(fleet: LocalFleet, user: User, key: str, at: int) -> bool:
    router = fleet.routers[at % len(fleet.routers)]
    body = f"asset {at}".encode()
    request = urllib.request.Request(
        f"{router.callers}{user.path}/{at}",
        data=body,
        headers={"Authorization": f"Bearer {key}"},
    )
    with urllib.request.urlopen(request, timeout=20) as answer:
        whole: bool = answer.read() == body
    return whole


def _skew(fleet: LocalFleet, user: User) -> float:
    engines = [backend for backend in fleet.backends if backend.service == user.service]
    counts = [len(fetch(f"{engine.url}/runs")) for engine in engines]
    return max(counts) / (sum(counts) / len(counts))


if __name__ == "__main__":
    sys.exit(main())
