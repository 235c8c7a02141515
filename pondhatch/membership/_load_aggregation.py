"""The fleet's load by service, summed up in each hall and sent down a tree.

At each interval a router reports the load of the engines that it owns to its hall's aggregator.
The aggregators exchange the sums of their halls, and the fleet's sum goes down the tree of each
hall, from each router to at most TREE_FANOUT others. Each further hall costs one small packet an
interval, and only for the aggregators.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

import msgspec

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._hall_tree import HallTree
from pondhatch.membership._members import Member
from pondhatch.membership._records import (
    FleetLoads,
    HallLoads,
    LoadMessage,
    RouterLoads,
    ServiceLoad,
    short_id,
)

#: Maximum and minimum number of seconds between two reports of a router. While the fleet's load
#: falls, an old sum lets an engine be granted more than its share. Small fleets therefore report
#: more often, as their reports use little of the network.
MAX_REPORT_INTERVAL = 1.0
MIN_REPORT_INTERVAL = 0.2
#: Routers from which on the longest interval applies; with fewer it is proportional.
LARGE_FLEET_ROUTERS = 32
#: Seconds after which a report that was not renewed is dropped.
REPORT_LIFETIME = 4.0
#: Seconds for which the last sum of the fleet is used if no newer one comes.
FLEET_SUM_LIFETIME = 15.0
#: Seconds for which a new aggregator only receives reports, so that its first sum is complete.
AGGREGATOR_WARMUP = 1.5

Report = TypeVar("Report", RouterLoads, HallLoads, FleetLoads)
Key = TypeVar("Key", int, str)


class ReceivedReport(msgspec.Struct, Generic[Report], frozen=True):
    """A report and when it came, in the clock's seconds."""

    message: Report
    received_at: float


def report_interval(routers: int) -> float:
    """Return the seconds between two reports of a router, by the number of routers."""
    return max(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL * min(1.0, routers / LARGE_FLEET_ROUTERS))


class FleetLoadView:
    """One router's part in the aggregation, and the fleet's load as known to it."""

    def __init__(self, name: str, hall: str, tree: HallTree) -> None:
        self._name = name
        self._tree = tree
        self._router = short_id(name)
        self._hall = hall
        #: Number of this router's last report, by which receivers recognise older ones.
        self._number = 0
        self._next_report = float("-inf")
        self._own_loads: tuple[ServiceLoad, ...] = ()
        self._report_by_router: dict[int, ReceivedReport[RouterLoads]] = {}
        self._report_by_hall: dict[str, ReceivedReport[HallLoads]] = {}
        self._fleet_report: ReceivedReport[FleetLoads] | None = None
        #: Since when this router is its hall's aggregator, in the clock's seconds; None if it is
        #: not.
        self._aggregator_since: float | None = None

    def tick(
        self, now: float, members: tuple[Member, ...], own_loads: tuple[ServiceLoad, ...]
    ) -> list[Datagram]:
        """Return the reports that are due."""
        self._own_loads = own_loads
        if now < self._next_report:
            return []
        self._next_report = now + report_interval(len(members))
        self._drop_expired(now)
        self._number += 1
        self._tree.update(members)
        order = self._tree.order
        if not order:
            return []
        if order[0].name != self._name:
            self._aggregator_since = None
            report = RouterLoads(self._router, self._number, own_loads)
            return [datagram_to(order[0].address, report)]
        return self._aggregate(now)

    def receive(
        self, message: LoadMessage, now: float, members: tuple[Member, ...]
    ) -> list[Datagram]:
        """Handle a report; return the packets that forward a new fleet sum down the tree."""
        if isinstance(message, RouterLoads):
            _store_if_newer(self._report_by_router, message.sender, message, now)
            return []
        if isinstance(message, HallLoads):
            _store_if_newer(self._report_by_hall, message.hall, message, now)
            return []
        if not self._is_new(message, now):
            return []
        self._fleet_report = ReceivedReport(message, now)
        self._tree.update(members)
        return self._send_down(message)

    def in_flight_elsewhere(self, service: int, now: float) -> int:
        """Return a service's requests in flight at the other routers' engines.

        0 if no sum came for FLEET_SUM_LIFETIME: then only this router's own counts are known.
        """
        if self._fleet_report is None or now - self._fleet_report.received_at > FLEET_SUM_LIFETIME:
            return 0
        total = _in_flight(self._fleet_report.message.loads, service)
        return max(0, total - _in_flight(self._own_loads, service))

    def _aggregate(self, now: float) -> list[Datagram]:
        """Return the hall's sum to the other aggregators, and the fleet's sum down the tree."""
        own_report = RouterLoads(self._router, self._number, self._own_loads)
        _store_if_newer(self._report_by_router, self._router, own_report, now)
        hall_sum = _sum(report.message.loads for report in self._report_by_router.values())
        hall_report = HallLoads(self._router, self._number, self._hall, hall_sum)
        _store_if_newer(self._report_by_hall, self._hall, hall_report, now)
        if self._aggregator_since is None:
            self._aggregator_since = now
        if now - self._aggregator_since < AGGREGATOR_WARMUP:
            return []
        sent = [
            datagram_to(aggregator.address, hall_report) for aggregator in self._tree.other_tops
        ]
        fleet_sum = _sum(report.message.loads for report in self._report_by_hall.values())
        fleet_report = FleetLoads(self._router, self._number, fleet_sum)
        self._fleet_report = ReceivedReport(fleet_report, now)
        return [*sent, *self._send_down(fleet_report)]

    def _send_down(self, message: FleetLoads) -> list[Datagram]:
        return [datagram_to(child.address, message) for child in self._tree.children]

    def _is_new(self, message: FleetLoads, now: float) -> bool:
        known = self._fleet_report
        if known is None or now - known.received_at > REPORT_LIFETIME / 2:
            return True
        return message.sender != known.message.sender or message.number > known.message.number

    def _drop_expired(self, now: float) -> None:
        oldest = now - REPORT_LIFETIME
        self._report_by_router = _newer_than(oldest, self._report_by_router)
        self._report_by_hall = _newer_than(oldest, self._report_by_hall)


def _store_if_newer(
    reports: dict[Key, ReceivedReport[Report]], key: Key, message: Report, now: float
) -> None:
    """Store a report unless one by the same sender that is at least as new is still valid."""
    known = reports.get(key)
    if known is not None and known.message.sender == message.sender:
        is_newer = known.message.number < message.number
        if not is_newer and now - known.received_at < REPORT_LIFETIME:
            return
    reports[key] = ReceivedReport(message, now)


def _newer_than(
    oldest: float, reports: dict[Key, ReceivedReport[Report]]
) -> dict[Key, ReceivedReport[Report]]:
    return {key: report for key, report in reports.items() if report.received_at > oldest}


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
