"""The fleet's load by service, summed up in each hall and passed down a tree.

Each second a router tells its hall's speaker the load of the engines it owns;
the speakers tell each other their hall's sums; the sum of all goes down the
hall, from each router to at most TREE_FANOUT others. Nobody sends or hears more
as halls are added than one small packet for each hall, and only speakers do.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

import msgspec

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._members import Member
from pondhatch.membership._records import (
    FleetLoads,
    HallLoads,
    LoadMessage,
    OwnLoads,
    Phase,
    ServiceLoad,
    short_id,
)
from pondhatch.placement import weighted_ranked

#: Routers to which one passes the fleet's sum on.
TREE_FANOUT = 4
#: Seconds between two reports of a router in a large fleet, and at least. A sum that is
#: old lets an engine be granted more than its share while the fleet's load falls; the
#: bytes of reports leave room for more of them where few routers send any.
REPORT_INTERVAL = 1.0
SHORTEST_INTERVAL = 0.2
#: Routers from which on the longest interval holds; below, it is in proportion.
MANY_ROUTERS = 32
#: Seconds after which a report that was not renewed is dropped.
REPORT_LIFETIME = 4.0


#: Seconds for which the last sum of the fleet is used when none follows.
FLEET_LIFETIME = 15.0
#: Seconds for which a new speaker only listens, so that its first sum is whole.
LISTENING = 1.5

Report = TypeVar("Report", OwnLoads, HallLoads, FleetLoads)
Key = TypeVar("Key", int, str)


class Heard(msgspec.Struct, Generic[Report], frozen=True):
    """A report and when it came."""

    message: Report
    at: float


def speaking_order(hall: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return a hall's live routers in the order of its tree; the first is the speaker."""
    by_name = {
        member.name: member
        for member in members
        if member.hall == hall and member.phase == Phase.LIVE
    }
    capacity_by_router = {name: member.capacity for name, member in by_name.items()}
    order = weighted_ranked(f"speak:{hall}", capacity_by_router)
    return tuple(by_name[name] for name in order)


def report_interval(routers: int) -> float:
    """Return the seconds between two reports in a fleet of so many routers."""
    return max(SHORTEST_INTERVAL, REPORT_INTERVAL * min(1.0, routers / MANY_ROUTERS))


class FleetLoadView:
    """One router's part in the summing up, and what it knows of the fleet's load."""

    def __init__(self, name: str, hall: str) -> None:
        self._name = name
        self._router = short_id(name)
        self._hall = hall
        self._number = 0
        self._next_report = float("-inf")
        self._own: tuple[ServiceLoad, ...] = ()
        self._own_by_router: dict[int, Heard[OwnLoads]] = {}
        self._hall_by_name: dict[str, Heard[HallLoads]] = {}
        self._fleet: Heard[FleetLoads] | None = None
        self._speaks_since: float | None = None
        self._members: tuple[Member, ...] = ()
        self._order: tuple[Member, ...] = ()
        self._other_speakers: tuple[Member, ...] = ()

    def tick(
        self, now: float, members: tuple[Member, ...], own: tuple[ServiceLoad, ...]
    ) -> list[Datagram]:
        """Report if it is time to."""
        self._own = own
        if now < self._next_report:
            return []
        self._next_report = now + report_interval(len(members))
        self._drop_old(now)
        self._number += 1
        self._arrange(members)
        order = self._order
        if not order:
            return []
        if order[0].name != self._name:
            self._speaks_since = None
            report = OwnLoads(self._router, self._number, own)
            return [datagram_to(order[0].address, report)]
        return self._speak(now)

    def receive(
        self, message: LoadMessage, now: float, members: tuple[Member, ...]
    ) -> list[Datagram]:
        """Take in a report; a sum that is news goes on down the tree."""
        if isinstance(message, OwnLoads):
            _keep(self._own_by_router, message.sender, message, now)
            return []
        if isinstance(message, HallLoads):
            _keep(self._hall_by_name, message.hall, message, now)
            return []
        if not self._is_news(message, now):
            return []
        self._fleet = Heard(message, now)
        self._arrange(members)
        return self._pass_down(message)

    def elsewhere_of(self, service: int, now: float) -> int:
        """Return a service's requests in flight at the other routers' engines.

        0 where no sum came for FLEET_LIFETIME: then only own counts are known.
        """
        if self._fleet is None or now - self._fleet.at > FLEET_LIFETIME:
            return 0
        whole = _in_flight(self._fleet.message.loads, service)
        return max(0, whole - _in_flight(self._own, service))

    def _arrange(self, members: tuple[Member, ...]) -> None:
        """Work out the tree and the speakers anew where the members changed."""
        if members is self._members:
            return
        self._members = members
        self._order = speaking_order(self._hall, members)
        halls = sorted({member.hall for member in members} - {self._hall})
        orders = [speaking_order(hall, members) for hall in halls]
        self._other_speakers = tuple(order[0] for order in orders if order)

    def _speak(self, now: float) -> list[Datagram]:
        """Sum up the hall, tell the other speakers, and pass the fleet's sum down."""
        mine = OwnLoads(self._router, self._number, self._own)
        _keep(self._own_by_router, self._router, mine, now)
        hall_sum = _sum(heard.message.loads for heard in self._own_by_router.values())
        hall = HallLoads(self._router, self._number, self._hall, hall_sum)
        _keep(self._hall_by_name, self._hall, hall, now)
        if self._speaks_since is None:
            self._speaks_since = now
        if now - self._speaks_since < LISTENING:
            return []
        sent = [datagram_to(speaker.address, hall) for speaker in self._other_speakers]
        fleet_sum = _sum(heard.message.loads for heard in self._hall_by_name.values())
        fleet = FleetLoads(self._router, self._number, fleet_sum)
        self._fleet = Heard(fleet, now)
        return [*sent, *self._pass_down(fleet)]

    def _pass_down(self, message: FleetLoads) -> list[Datagram]:
        names = [member.name for member in self._order]
        if self._name not in names:
            return []
        first = names.index(self._name) * TREE_FANOUT + 1
        return [
            datagram_to(child.address, message)
            for child in self._order[first : first + TREE_FANOUT]
        ]

    def _is_news(self, message: FleetLoads, now: float) -> bool:
        known = self._fleet
        if known is None or now - known.at > REPORT_LIFETIME / 2:
            return True
        return message.sender != known.message.sender or message.number > known.message.number

    def _drop_old(self, now: float) -> None:
        oldest = now - REPORT_LIFETIME
        self._own_by_router = _newer_than(oldest, self._own_by_router)
        self._hall_by_name = _newer_than(oldest, self._hall_by_name)


def _keep(table: dict[Key, Heard[Report]], key: Key, message: Report, now: float) -> None:
    """Keep a report unless a newer one of the same sender is known."""
    known = table.get(key)
    if known is not None and known.message.sender == message.sender:
        renewed = known.message.number < message.number
        if not renewed and now - known.at < REPORT_LIFETIME:
            return
    table[key] = Heard(message, now)


def _newer_than(oldest: float, table: dict[Key, Heard[Report]]) -> dict[Key, Heard[Report]]:
    return {key: heard for key, heard in table.items() if heard.at > oldest}


def _in_flight(loads: tuple[ServiceLoad, ...], service: int) -> int:
    return sum(load.in_flight for load in loads if load.service == service)


def _sum(reports: Iterable[tuple[ServiceLoad, ...]]) -> tuple[ServiceLoad, ...]:
    totals: dict[int, tuple[int, int]] = {}
    for load in (each for report in reports for each in report):
        engines, in_flight = totals.get(load.service, (0, 0))
        totals[load.service] = (engines + load.engines, in_flight + load.in_flight)
    return tuple(
        ServiceLoad(service, engines, in_flight)
        for service, (engines, in_flight) in sorted(totals.items())
    )
