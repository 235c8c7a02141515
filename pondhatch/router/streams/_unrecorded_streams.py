"""Which software version began the streams of which no router has a record.

A record may be missing for three reasons: one version alone served when the stream began, so that
none was made for others; those that had it were lost; or there never was such a stream. Only in the
first case may the stream go on, and only a router that rules out the others says so.

What a router knows is what it knew when it last heard of others and of the platform. One that was
out of step, perhaps without its noticing, has missed the versions that joined meanwhile. That one
version alone served follows only from what the platform told after the question; while it cannot
be asked, from all routers: where a stream began at another version, the list was newer than at one
that does not know of it, and it is as new there still, or newer after a restart.
"""

from __future__ import annotations

from collections.abc import Set

from pondhatch.membership import short_id
from pondhatch.router._state import RouterState
from pondhatch.router.streams._packets import OriginReply
from pondhatch.router.streams._queries import PendingQuery
from pondhatch.router.streams._record_holders import RecordHolders
from pondhatch.router.streams._service_versions import ServiceVersions

#: Seconds by which routers may differ on when a second version appeared.
VIEW_SKEW_SECONDS = 1.0
#: Seconds after its start in which a router may not have met all others, and in which they may not
#: have noticed that the process before it, which may have held records, has ended.
JOIN_SECONDS = 0.6
#: Seconds between two rounds from which this process counts as paused, and for which it then may
#: not have caught up with the others.
PAUSE_SECONDS = 1.0
CATCH_UP_SECONDS = 2.0


class UnrecordedStreams:
    """What one router knows of the streams without a record."""

    def __init__(
        self, state: RouterState, versions: ServiceVersions, holders: RecordHolders
    ) -> None:
        self._state = state
        self._versions = versions
        self._holders = holders
        self._started_at = state.clock()
        #: When a record was last lost, or perhaps with a live router that was seen to stop, fail or
        #: restart, in the clock's seconds.
        self._lost_record_at = float("-inf")
        #: Live routers that were lost and did not come back. They may live on where neither this
        #: router nor the platform, as this router reaches it, hears of them.
        self._missing: frozenset[str] = frozenset()
        #: When the last round began, and when the latest one came after a pause of this process.
        self._ticked_at = state.clock()
        self._paused_at = float("-inf")

    @property
    def uptime(self) -> float:
        """Seconds for which this router has held records: since it started."""
        return self._state.clock() - self._started_at

    @property
    def misses_routers(self) -> bool:
        """Whether live routers were lost and did not come back."""
        return bool(self._missing)

    def seconds_to_join(self, service: str, query: PendingQuery) -> float:
        """Return for how long to wait until the routers have met, and know what there is to know.

        It is 0 where they can learn nothing that helps: a stream of unknown version cannot go on
        at the only version that is left.
        """
        if not self._versions.serve_side_by_side(service):
            return 0.0
        # Others that are new are waited for only if one that is not states the version.
        is_stated = bool(self._stated_by_router(service, query))
        return max(0.0, JOIN_SECONDS - (self._shortest_uptime(query) if is_stated else self.uptime))

    def tick(self) -> None:
        """Notice a pause of this process."""
        now = self._state.clock()
        if now - self._ticked_at > PAUSE_SECONDS:
            self._paused_at = now
        self._ticked_at = now

    def note_lost_record(self) -> None:
        """Note that a record may be lost.

        A router stopped, failed or restarted, or a record that may be needed fell out here.
        """
        self._lost_record_at = self._state.clock()

    def note_missing(self, gone: Set[str], present: Set[str]) -> None:
        """Note which live routers are gone without having stopped, and which ones are there."""
        self._missing = frozenset((self._missing | gone) - present)

    def may_be_known_soon(self, query: PendingQuery) -> bool:
        """Return whether a router that was asked may know more once it has met the others."""
        is_young = self._shortest_uptime(query) < JOIN_SECONDS
        return is_young or bool(query.silent_by_id) or self._is_behind(query)

    def sole_version(self, service: str) -> tuple[str | None] | None:
        """Return the only version that may have begun streams of a service, None if unknown.

        It is None itself where the service had no engine. It holds for the time when this router
        was last in step.
        """
        possible = self._versions.possible_versions(service)
        if len(possible) > 1 or not self._is_history_known(service):
            return None
        return (possible[0] if possible else None,)

    def version(self, service: str, is_confirmed: bool) -> str | None:
        """Return the version of streams without a record if all routers that reply have none.

        This router states it for those that ask. None if it does not know. ``is_confirmed`` says
        that the platform told since then which versions there are.
        """
        sole = self.sole_version(service)
        if sole is not None:
            return sole[0] if is_confirmed or self._has_known_all() else None
        elapsed = self._seconds_since_records(service)
        if elapsed is None or self.uptime < JOIN_SECONDS:
            return None
        return self._versions.possible_versions(service)[0]

    def _has_known_all(self) -> bool:
        """Return whether this router has known every router for as long as streams take.

        One that began anew may never have met those that it was cut off from.
        """
        return not self._missing and self.uptime > self._versions.longest_seconds()

    def version_after(
        self, service: str, key: bytes, query: PendingQuery, has_read: bool
    ) -> str | None:
        """Return the version of a stream of which no router that was asked has a record.

        None if nobody can know. ``has_read`` says that the platform told what it holds after the
        stream was taken up.
        """
        if query.silent_by_id:
            return None
        knows_several = self._knows_several(service, query)
        if knows_several and not (has_read or self.is_nobody_missing(query)):
            # A router that is missing may have begun the stream, and have had that written.
            return None
        stated = self._stated_by_router(service, query)
        if knows_several:
            versions = self._versions_before_records(service, key, query, stated)
        elif self._is_sole_known(query) and not self._is_doubted(stated, query):
            versions = set(stated.values())
        else:
            return None
        return versions.pop() if len(versions) == 1 else None

    def _versions_before_records(
        self, service: str, key: bytes, query: PendingQuery, stated: dict[str, str]
    ) -> set[str]:
        """Return the versions of the streams from before records, as routers state them."""
        if self._may_be_lost(query, stated):
            return set()
        if self._holders.are_all(query.asked):
            return set() if self._is_record_lost(stated, query) else set(stated.values())
        return self._version_by_holders(service, key, query, stated)

    def _may_be_lost(self, query: PendingQuery, stated: dict[str, str]) -> bool:
        """Return whether a router that is lost may have made a record, as any router saw it."""
        replies = self._replies(query)
        lost = [each.lost_ms for each in replies.values() if each.lost_ms is not None]
        recorded = max((replies[name].recorded_ms for name in stated), default=0)
        return bool(lost) and min(lost) <= recorded + round(VIEW_SKEW_SECONDS * 1000)

    def is_nobody_missing(self, query: PendingQuery) -> bool:
        """Return whether all routers are there, as far as any of them knows."""
        return not any(each.misses_routers for each in self._replies(query).values())

    def _is_sole_known(self, query: PendingQuery) -> bool:
        """Return whether the platform told a router since the question, or no router is missing."""
        is_confirmed = any(each.is_confirmed for each in query.reply_by_name.values())
        return is_confirmed or self.is_nobody_missing(query)

    def _knows_several(self, service: str, query: PendingQuery) -> bool:
        return query.has_several_versions or self._versions.has_several_versions(service)

    def _is_behind(self, query: PendingQuery) -> bool:
        """Return whether a router that replied has a newer list of upstreams than this one."""
        return query.newest_upstreams > self._state.upstreams.version

    def _is_doubted(self, stated: dict[str, str], query: PendingQuery) -> bool:
        """Return whether a router with the newest list has seen what others may have missed.

        It has lived for as long as any stream and states no version all the same.
        """
        longest_ms = self._versions.longest_seconds() * 1000
        replies = self._replies(query)
        newest = max(each.upstreams for each in replies.values())
        return any(
            name not in stated and reply.uptime_ms > longest_ms and reply.upstreams == newest
            for name, reply in replies.items()
        )

    def _is_record_lost(self, stated: dict[str, str], query: PendingQuery) -> bool:
        """Return whether a router may have begun anew unnoticed, and lost a record.

        A new router has to state the version itself.
        """
        return any(
            reply.uptime_ms < JOIN_SECONDS * 1000 and name not in stated
            for name, reply in self._replies(query).items()
        )

    def _shortest_uptime(self, query: PendingQuery) -> float:
        return min(each.uptime_ms for each in self._replies(query).values()) / 1000

    def reply(self, service: str, is_confirmed: bool) -> OriginReply:
        """Return what this router replies to a query for a stream of which it has no record."""
        elapsed = self._seconds_since_records(service)
        lost_seconds = self._state.clock() - self._lost_record_at
        return OriginReply(
            0,
            short_id(self._state.name),
            round(self.uptime * 1000),
            self._versions.has_several_versions(service),
            None,
            self.version(service, is_confirmed),
            self._state.upstreams.version,
            bool(self._missing),
            is_confirmed,
            round(lost_seconds * 1000) if lost_seconds < float("inf") else None,
            round(elapsed * 1000) if elapsed is not None else 0,
        )

    def _replies(self, query: PendingQuery) -> dict[str, OriginReply]:
        """Return the replies of all routers by name, this one's included."""
        own = self.reply(query.service, is_confirmed=False)
        return {**query.reply_by_name, self._state.name: own}

    def _stated_by_router(self, service: str, query: PendingQuery) -> dict[str, str]:
        """Return the version that each router states of the streams without a record, by name.

        What one states that has an older list than another, or that does not know of several
        versions as another does, is left out.
        """
        replies = self._replies(query)
        several = self._knows_several(service, query)
        newest = max(each.upstreams for each in replies.values())
        return {
            name: reply.unrecorded_version
            for name, reply in replies.items()
            if reply.unrecorded_version is not None
            and reply.has_several_versions == several
            and reply.upstreams == newest
        }

    def _version_by_holders(
        self, service: str, key: bytes, query: PendingQuery, stated: dict[str, str]
    ) -> set[str]:
        """Return the version if each holder would have a record of any stream since records.

        One that started later, which cannot know that, may state the version by itself.
        """
        elapsed = self._seconds_since_records(service)
        if elapsed is None:
            return set()
        needed_ms = (elapsed + VIEW_SKEW_SECONDS) * 1000
        replies = self._replies(query)
        version = self._versions.possible_versions(service)[0]
        would_know = all(
            (each.name in replies and replies[each.name].uptime_ms > needed_ms)
            or stated.get(each.name) == version
            for each in self._holders.holders(key)
        )
        return {version} if would_know else set()

    def _seconds_since_records(self, service: str) -> float | None:
        """Return for how many seconds records have been made of every stream of a service.

        None if one version alone may not have served before, or a record may have been lost.
        """
        elapsed = self._versions.seconds_since_second_version(service)
        if elapsed is None or not self._is_history_known(service):
            return None
        return None if self._has_lost_record_within(elapsed + VIEW_SKEW_SECONDS) else elapsed

    def _has_lost_record_within(self, seconds: float) -> bool:
        return self._state.clock() - self._lost_record_at <= seconds

    def _is_history_known(self, service: str) -> bool:
        """Return whether this router knows every version that may have begun a stream.

        One that was paused goes on by what it knew before.
        """
        was_paused = self._state.clock() - self._paused_at < CATCH_UP_SECONDS
        is_paused = self._state.clock() - self._ticked_at > PAUSE_SECONDS
        return not (was_paused or is_paused) and self._versions.is_history_known(service)
