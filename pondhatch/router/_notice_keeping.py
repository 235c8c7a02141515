"""What upstreams say of themselves in their answers: heard by one router, known to others.

Whoever hears it tells: that an upstream leaves, all routers; that it has no places and wants a
rest, those that own upstreams of its service, which grant what goes there and in its place; that
it wants a rest though it has places, its owner, which spares it. Only what was news is told, at
once and 0.1 s later once more; a router that is new or back is told by three others, and whoever
becomes the owner of an upstream that rests by those that know of it. A router that missed it all
is told by the upstream itself, at the cost of one request turned away.

While load is managed, an upstream's owner is also told how fast it works. That holds for less
than a second, so it is told once, and again only with a later answer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from pondhatch.kernel import without_defaults
from pondhatch.membership import Datagram, Member
from pondhatch.placement import MOST_PACE, Notice
from pondhatch.requests import NotRun, RequestHead, open_target
from pondhatch.router._newcomers import Newcomers
from pondhatch.router._pace_reports import PaceReports
from pondhatch.router._state import RouterState

#: First byte of a packet on notices; no packet of another kind begins with it.
NOTICE_MARK = b"\x03"
#: Notices in one packet: with names of 25 bytes it fits into an Ethernet frame.
NOTICES_IN_PACKET = 24
#: Packets in a round of 0.1 s with which routers beside its owner are told of an upstream's rest:
#: 5 KB a second at most. What is left out, its owner's refusals tell.
REST_PACKETS_A_ROUND = 8
#: Of these, those that may be saved up for one moment.
SAVED_PACKETS = 80

SendAll = Callable[[Iterable[Datagram]], None]


class ToldNotice(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said of itself."""

    upstream: str
    is_leaving: bool
    #: Seconds that are left of its rest.
    rest: float
    #: Whether it has places all the same.
    has_places: bool = False
    #: Its processing time in percent of usual; 0, and left out, where nothing is told of it.
    pace: Annotated[int, msgspec.Meta(ge=0, le=MOST_PACE)] = 0


class NoticePacket(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """What upstreams said of themselves, from one router to another."""

    notices: tuple[ToldNotice, ...]


class NoticeKeeping:
    """One router's part; see UpstreamView."""

    def __init__(self, state: RouterState, send: SendAll) -> None:
        self._state = state
        self._send = send
        #: Upstreams whose notice is to be told once more.
        self._fresh: set[str] = set()
        self._newcomers = Newcomers(state)
        #: The owner that was last seen of each upstream that rests.
        self._owner_by_upstream: dict[str, str | None] = {}
        self._packets_left = SAVED_PACKETS
        self._pace_reports = PaceReports()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(NoticePacket)

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Return why a request may not be sent to an upstream now; see UpstreamView."""
        found = open_target(self._state.target(upstream), upstream, head.resuming, head.regions)
        return found if isinstance(found, NotRun) else None

    def receive_notice(self, upstream: str, notice: Notice) -> None:
        """Take in what an upstream said in the head of an answer, and tell who should know."""
        is_news = self._state.hear(upstream, notice)
        if notice.pace > 0 and self._state.is_load_managed():
            self._report_pace(upstream, notice.pace)
        if is_news:
            self._fresh.add(upstream)
            self._tell({upstream: notice})

    def receive(self, payload: bytes) -> None:
        """Take in a packet, its mark left out; one that does not parse is dropped."""
        try:
            packet = self._decoder.decode(payload)
        except (msgspec.DecodeError, ValueError):
            return
        for told in packet.notices:
            notice = Notice(told.is_leaving, told.rest, told.has_places, told.pace)
            self._state.hear(told.upstream, notice, is_own=False)

    def tick(self) -> None:
        """Do what is due each round."""
        self._packets_left = min(SAVED_PACKETS, self._packets_left + REST_PACKETS_A_ROUND)
        self._pace_reports.tick(self._state.clock())
        in_force = self._state.notices.in_force(self._state.clock())
        fresh, self._fresh = self._fresh, set()
        self._tell({name: in_force[name] for name in fresh if name in in_force})
        self._send_notices(in_force, self._newcomers.to_tell(bool(in_force)))
        self._tell_new_owners(in_force)

    def _tell(self, notice_by_upstream: dict[str, Notice]) -> None:
        for upstream, notice in notice_by_upstream.items():
            if notice.is_leaving:
                self._send_notices({upstream: notice}, self._others())
            else:
                self._tell_of_rest(upstream, notice)

    def _report_pace(self, upstream: str, pace: int) -> None:
        """Report an upstream's pace to its owner, where that is due."""
        now = self._state.clock()
        if not self._pace_reports.is_due(upstream, pace, now):
            return
        owner = self._state.owner_name(upstream)
        if owner == self._state.name:
            return
        to = [each for each in self._others() if each.name == owner]
        if to:
            self._pace_reports.reported(upstream, now)
            self._send_told([ToldNotice(upstream, False, 0.0, pace=pace)], to)

    def _tell_of_rest(self, upstream: str, notice: Notice) -> None:
        """Tell the owner of an upstream that rests, then those whose upstreams carry its load."""
        owner = self._state.owner_name(upstream)
        beside = set() if notice.has_places else self._state.owners_beside(upstream)
        concerned = beside - {owner}
        others = [each for each in self._others() if each.name in concerned]
        told = others[: self._packets_left]
        self._packets_left -= len(told)
        owners = [each for each in self._others() if each.name == owner]
        self._send_notices({upstream: notice}, [*owners, *told])

    def _tell_new_owners(self, in_force: dict[str, Notice]) -> None:
        resting = {name: notice for name, notice in in_force.items() if notice.rest > 0}
        before, now = self._owner_by_upstream, {n: self._state.owner_name(n) for n in resting}
        self._owner_by_upstream = now
        for upstream, owner in now.items():
            if owner not in (self._state.name, before.get(upstream, owner)):
                members = [each for each in self._others() if each.name == owner]
                self._send_notices({upstream: resting[upstream]}, members)

    def _others(self) -> list[Member]:
        return [each for each in self._state.members() if each.name != self._state.name]

    def _send_notices(self, notice_by_upstream: dict[str, Notice], to: list[Member]) -> None:
        if not to:
            return
        told = [
            ToldNotice(name, notice.is_leaving, round(notice.rest, 3), notice.has_places)
            for name, notice in notice_by_upstream.items()
        ]
        self._send_told(told, to)

    def _send_told(self, told: list[ToldNotice], to: list[Member]) -> None:
        for at in range(0, len(told), NOTICES_IN_PACKET):
            payload = NOTICE_MARK + self._encoded(told[at : at + NOTICES_IN_PACKET])
            self._send(Datagram(member.address, payload) for member in to)

    def _encoded(self, told: list[ToldNotice]) -> bytes:
        """Return a packet's bytes; a notice without a pace has those that it always had."""
        tag = NoticePacket.__struct_config__.tag
        return self._encoder.encode((tag, [without_defaults(each, "pace") for each in told]))
