"""Shares the notices that upstreams send in their answers with the routers concerned.

The router that reads a notice passes it on:

- An upstream is leaving: to all routers.
- It rests without free slots: to its owner, and to the owners of the other upstreams of its
  service, which grant the requests that are sent there in its place.
- It rests with free slots: to its owner alone, which then refuses requests that can run elsewhere.

Only changes are sent, at once and again 0.1 s later. Three routers send the current notices to a
router that is new or back, and the routers that know of a rest send it to a new owner of the
upstream. A router that missed all of this learns of a notice from the upstream itself, at the cost
of one refused request.

While load is managed, an upstream's pace is also sent to its owner. A pace is valid for less than a
second, so it is sent once, and again only with a later answer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from pondhatch.kernel import without_defaults
from pondhatch.membership import Datagram, Member
from pondhatch.placement import MAX_PACE, Notice
from pondhatch.requests import NotRun, RequestHead, open_target
from pondhatch.router._new_members import NewMembers
from pondhatch.router._pace_reports import PaceReports
from pondhatch.router._state import RouterState

#: First byte of a notice packet; no packet of another kind begins with it.
NOTICE_PACKET_PREFIX = b"\x03"
#: Maximum number of notices in one packet: with names of 25 bytes it fits into an Ethernet frame.
NOTICES_PER_PACKET = 24
#: Packets about upstreams' rests per round of 0.1 s to routers other than the owner: 5 KB/s at
#: most. Routers that are left out learn of a rest from the owner's refusals.
REST_PACKETS_PER_ROUND = 8
#: Maximum number of these packets in one round where earlier rounds sent fewer.
REST_PACKETS_BURST = 80

SendAll = Callable[[Iterable[Datagram]], None]


class WireNotice(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's notice as it is sent to other routers."""

    upstream: str
    is_leaving: bool
    #: Seconds that are left of the upstream's rest.
    rest: float
    #: Whether it states that it has free slots nevertheless.
    has_free_slots: bool = False
    #: Its processing time in percent of usual; 0, and left out of the packet, where not reported.
    pace: Annotated[int, msgspec.Meta(ge=0, le=MAX_PACE)] = 0


class NoticePacket(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """Upstreams' notices, sent from one router to another."""

    notices: tuple[WireNotice, ...]


class NoticeExchange:
    """One router's implementation of UpstreamView, which shares notices with the others."""

    def __init__(self, state: RouterState, send: SendAll) -> None:
        self._state = state
        self._send = send
        #: Upstreams whose notice is to be sent once more.
        self._to_repeat: set[str] = set()
        self._new_members = NewMembers(state)
        #: The owner of each resting upstream as of the last round.
        self._owner_by_upstream: dict[str, str | None] = {}
        self._rest_packets_left = REST_PACKETS_BURST
        self._pace_reports = PaceReports()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(NoticePacket)

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Return the refusal if a request may not be sent to an upstream; see UpstreamView."""
        found = open_target(self._state.target(upstream), upstream, head)
        return found if isinstance(found, NotRun) else None

    def receive_notice(self, upstream: str, notice: Notice) -> None:
        """Apply a notice from the head of an upstream's answer, and pass it on if it is new."""
        changed = self._state.apply_notice(upstream, notice)
        if notice.pace > 0 and self._state.is_load_managed():
            self._report_pace(upstream, notice.pace)
        if changed:
            self._to_repeat.add(upstream)
            self._send_to_concerned({upstream: notice})

    def record_refusal_limit(self, upstream: str, refusal_limit: int | None) -> None:
        """Record the limit that an answer stated; owners get it with each grant request."""
        self._state.brittle_engines.record_answer(upstream, refusal_limit)

    def receive(self, payload: bytes) -> None:
        """Handle a packet without its prefix; a packet that does not parse is dropped."""
        try:
            packet = self._decoder.decode(payload)
        except (msgspec.DecodeError, ValueError):
            return
        for wire_notice in packet.notices:
            notice = Notice(
                wire_notice.is_leaving,
                wire_notice.rest,
                wire_notice.has_free_slots,
                wire_notice.pace,
            )
            self._state.apply_notice(wire_notice.upstream, notice, is_for_this_router=False)

    def tick(self) -> None:
        """Run the periodic work of one round."""
        self._rest_packets_left = min(
            REST_PACKETS_BURST, self._rest_packets_left + REST_PACKETS_PER_ROUND
        )
        self._pace_reports.tick(self._state.clock())
        in_force = self._state.notices.current(self._state.clock())
        to_repeat, self._to_repeat = self._to_repeat, set()
        self._send_to_concerned({name: in_force[name] for name in to_repeat if name in in_force})
        self._send_notices(in_force, self._new_members.to_inform(bool(in_force)))
        self._send_to_new_owners(in_force)

    def _send_to_concerned(self, notice_by_upstream: dict[str, Notice]) -> None:
        for upstream, notice in notice_by_upstream.items():
            if notice.is_leaving:
                self._send_notices({upstream: notice}, self._state.other_members())
            else:
                self._send_rest(upstream, notice)

    def _report_pace(self, upstream: str, pace: int) -> None:
        """Send an upstream's pace to its owner, if a report is due."""
        now = self._state.clock()
        if not self._pace_reports.is_due(upstream, pace, now):
            return
        owner = self._state.owner_name(upstream)
        if owner == self._state.name:
            return
        to = [each for each in self._state.other_members() if each.name == owner]
        if to:
            self._pace_reports.note_reported(upstream, now)
            self._send_packets([WireNotice(upstream, False, 0.0, pace=pace)], to)

    def _send_rest(self, upstream: str, notice: Notice) -> None:
        """Send an upstream's rest to its owner, then to owners of upstreams that take its load."""
        owner = self._state.owner_name(upstream)
        same_service_owners = (
            set() if notice.has_free_slots else self._state.owners_of_same_service(upstream)
        )
        concerned = same_service_owners - {owner}
        others = [each for each in self._state.other_members() if each.name in concerned]
        receivers = others[: self._rest_packets_left]
        self._rest_packets_left -= len(receivers)
        owners = [each for each in self._state.other_members() if each.name == owner]
        self._send_notices({upstream: notice}, [*owners, *receivers])

    def _send_to_new_owners(self, in_force: dict[str, Notice]) -> None:
        resting = {name: notice for name, notice in in_force.items() if notice.rest > 0}
        previous, current = self._owner_by_upstream, {n: self._state.owner_name(n) for n in resting}
        self._owner_by_upstream = current
        for upstream, owner in current.items():
            if owner not in (self._state.name, previous.get(upstream, owner)):
                members = [each for each in self._state.other_members() if each.name == owner]
                self._send_notices({upstream: resting[upstream]}, members)

    def _send_notices(self, notice_by_upstream: dict[str, Notice], to: list[Member]) -> None:
        if not to:
            return
        wire_notices = [
            WireNotice(name, notice.is_leaving, round(notice.rest, 3), notice.has_free_slots)
            for name, notice in notice_by_upstream.items()
        ]
        self._send_packets(wire_notices, to)

    def _send_packets(self, notices: list[WireNotice], to: list[Member]) -> None:
        for offset in range(0, len(notices), NOTICES_PER_PACKET):
            payload = NOTICE_PACKET_PREFIX + self._encoded(
                notices[offset : offset + NOTICES_PER_PACKET]
            )
            self._send(Datagram(member.address, payload) for member in to)

    def _encoded(self, notices: list[WireNotice]) -> bytes:
        """Return a packet's bytes; a notice without a pace is encoded without the field."""
        tag = NoticePacket.__struct_config__.tag
        return self._encoder.encode((tag, [without_defaults(each, "pace") for each in notices]))
