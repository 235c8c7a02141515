"""Applies changes to the list of upstreams and compares the list before and after.

The comparison yields which upstreams joined lately, and which vanished without having reported
that they leave.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
from msgspec.structs import replace

from pondhatch.placement import YOUNG_SECONDS, Notices
from pondhatch.store import (
    LEAVING,
    LIVE,
    REMOVED,
    SETTLE_SECONDS,
    ColdPeriods,
    Listed,
    Position,
    Upstream,
    UpstreamList,
    UpstreamReader,
    UpstreamUpdate,
    VanishedUpstreams,
    WatchEvent,
    era_of,
)

#: Seconds by which two routers may differ on when an upstream joined: several times what a packet
#: and a pull take.
JOIN_TIME_SKEW_SECONDS = 1.0
#: Seconds after the first list during which upstreams that appear do not count as young: those of
#: a fleet that starts list themselves one after the other, and no chat has its context at the
#: engine ranked second yet.
FLEET_START_SECONDS = 20.0


class JoinTimes(msgspec.Struct):
    """When upstreams joined; those that are listed while the fleet starts are left out."""

    #: Join times in the clock's seconds, by the upstream's name.
    _joined_at: dict[str, float] = msgspec.field(default_factory=dict)
    #: When this router first had a list of upstreams, in the clock's seconds.
    _listed_at: float = float("inf")

    def is_young(self, name: str, now: float) -> bool:
        """Return whether an upstream joined lately, and after this router first had the list."""
        joined = self._joined_at.get(name)
        return joined is not None and now - joined < YOUNG_SECONDS

    def known_for(self, now: float) -> float:
        """Return for how many seconds the list has been known, here or at the merged peer."""
        return max(0.0, now - self._listed_at)

    def age_by_name(self, now: float) -> dict[str, float]:
        """Return the seconds since each young upstream joined."""
        return {name: now - at for name, at in self._joined_at.items() if now - at < YOUNG_SECONDS}

    def merge_from_peer(
        self, known_for: float, age_by_name: Mapping[str, float], now: float
    ) -> None:
        """Merge the join times of a peer if it has known the list for longer.

        So a router that restarts in a running fleet counts the same upstreams as young as its
        peers do. Otherwise it would send chats to young engines that do not hold their context.
        """
        if known_for <= self.known_for(now) + JOIN_TIME_SKEW_SECONDS:
            return
        self._listed_at = now - known_for
        self._joined_at.update({name: now - age for name, age in age_by_name.items()})

    def record_joins(self, before: frozenset[str], after: frozenset[str], now: float) -> None:
        """Record the upstreams that joined; ``before`` and ``after`` are the listed names."""
        if not before:
            self._listed_at = now
        if now - self._listed_at < FLEET_START_SECONDS:
            return
        old = [name for name, at in self._joined_at.items() if now - at >= YOUNG_SECONDS]
        for name in old:
            del self._joined_at[name]
        for name in after - before:
            self._joined_at[name] = now


class EraSettling(msgspec.Struct):
    """Tracks whether the platform's era is still settling, as this router sees it.

    An era is settling for ``SETTLE_SECONDS`` after it begins: until then, entries that the
    platform lost in a restore may be written again.
    """

    _era: int = 0
    #: When this router learned of the first era that it knows, in the clock's seconds.
    _known_at: float = float("inf")
    #: When the era has settled, in the clock's seconds; minus infinity where none is settling.
    _settles_at: float = float("-inf")

    def record_position(self, version: Position, now: float) -> None:
        """Record the position that the list has reached; a new era starts to settle."""
        era = era_of(version)
        if era > self._era:
            # The first era that a router knows follows no other, so it does not settle.
            self._settles_at = now + SETTLE_SECONDS if self._era else float("-inf")
            self._known_at = min(self._known_at, now)
            self._era = era

    def record_unconfirmed(self, version: Position, now: float) -> None:
        """Record that a peer at a position still holds upstreams of an earlier era.

        So the era settles there, and began just before this router started, if that was lately.
        """
        has_settled_or_settles = self._settles_at > float("-inf")
        settles_at = self._known_at + SETTLE_SECONDS
        if era_of(version) != self._era or has_settled_or_settles or now >= settles_at:
            return
        self._settles_at = settles_at

    def is_settling(self, version: Position, now: float) -> bool:
        """Return whether the era of a position is new or still settling."""
        is_new_era = bool(self._era) and era_of(version) > self._era
        return is_new_era or now < self._settles_at

    def poll_settled(self, now: float) -> bool:
        """Return True once for each era, at the first call after it has settled."""
        if self._settles_at == float("-inf") or now < self._settles_at:
            return False
        self._settles_at = float("-inf")
        return True


class UpstreamChanges(msgspec.Struct, frozen=True):
    """Applies changes to a list of upstreams and records which joined and which vanished."""

    upstreams: UpstreamList
    vanished: VanishedUpstreams
    #: What upstreams reported of themselves in their answers.
    notices: Notices = msgspec.field(default_factory=Notices)
    join_times: JoinTimes = msgspec.field(default_factory=JoinTimes)
    reader: UpstreamReader = msgspec.field(default_factory=UpstreamReader)
    era_settling: EraSettling = msgspec.field(default_factory=EraSettling)
    cold_periods: ColdPeriods = msgspec.field(default_factory=ColdPeriods)

    def apply_listing(self, listed: Listed, now: float) -> bool:
        """Apply the platform's list; return whether anything changed."""
        return self._apply(self.reader.read_listing(listed), self.upstreams.apply_listing, now)

    def apply_update(self, update: UpstreamUpdate, now: float) -> bool:
        """Apply the entries of a peer; return whether anything changed."""
        self.era_settling.record_position(update.version, now)
        if _has_unconfirmed(update):
            self.era_settling.record_unconfirmed(update.version, now)
        changed = self._apply(update, self.upstreams.apply_update, now)
        self.join_times.merge_from_peer(update.known_for, update.age_by_name, now)
        return changed

    def _apply(
        self, update: UpstreamUpdate, apply: Callable[[UpstreamUpdate, bool], bool], now: float
    ) -> bool:
        names, leaving = self._names(), self._leaving_by_list_and_notice()
        live = self._in_state(LIVE) | self._unknown_live(update)
        changed = apply(update, self.era_settling.is_settling(update.version, now))
        self.era_settling.record_position(self.upstreams.version, now)
        self._record_changes(names, live, now)
        self._reopen_listed_live(leaving)
        return changed

    def since(self, version: int, now: float) -> UpstreamUpdate:
        """Return the entries that a peer at a version lacks, and the recent join times."""
        update = self.upstreams.update_since(version)
        return replace(
            update,
            entries=tuple(
                self.cold_periods.with_seconds_left(entry, now) for entry in update.entries
            ),
            known_for=self.join_times.known_for(now),
            age_by_name=self.join_times.age_by_name(now),
        )

    def apply_event(self, event: WatchEvent, now: float) -> bool:
        """Apply one event of the watch on upstreams; return whether it changed anything."""
        names, live, leaving = (
            self._names(),
            self._in_state(LIVE),
            self._leaving_by_list_and_notice(),
        )
        changed = self._apply_to_list(event)
        self.era_settling.record_position(self.upstreams.version, now)
        if changed:
            self._record_changes(names, live, now)
            self._reopen_listed_live(leaving)
        return changed

    def remove_unconfirmed(self, now: float) -> bool:
        """Remove upstreams that a settled era lacks; return whether any were; see UpstreamList."""
        return self.era_settling.poll_settled(now) and self.upstreams.remove_unconfirmed()

    def _apply_to_list(self, event: WatchEvent) -> bool:
        if event.type == "set":
            upstream = self.reader.read_upstream(event.name, event.version, event.value)
            if upstream is not None:
                return self.upstreams.set(upstream, event.version)
        if event.type in ("set", "unreadable"):
            return self.upstreams.mark_unreadable(event.name, event.version)
        if event.type == "removed":
            return self.upstreams.remove(event.name, event.version)
        return False

    def _record_changes(
        self, names_before: frozenset[str], live_before: dict[str, Upstream], now: float
    ) -> None:
        self.join_times.record_joins(names_before, self._names(), now)
        self.cold_periods.update(self.upstreams.entry_by_name.values(), now)
        self._record_vanished(live_before, now)

    def _record_vanished(self, live_before: dict[str, Upstream], now: float) -> None:
        """Record which live upstreams vanished without a report, and which are back."""
        for name, entry in self.upstreams.entry_by_name.items():
            if entry.upstream.state != REMOVED:
                self.vanished.discard(entry.upstream.id)
            elif name in live_before and not self._has_restarted(entry.upstream):
                self.vanished.add(live_before[name], now)

    def _leaving_by_list_and_notice(self) -> frozenset[str]:
        """Return the upstreams that are leaving both by the list and by a notice."""
        by_name = self.upstreams.entry_by_name
        notified = (name for name in self.notices.names() if name in by_name)
        return frozenset(name for name in notified if by_name[name].upstream.state == LEAVING)

    def _reopen_listed_live(self, leaving_before: frozenset[str]) -> None:
        """Reopen the upstreams that the list showed as leaving before and shows as live now.

        An upstream that a notice closed is not reopened by a live entry alone, as the list may be
        behind by minutes.
        """
        for name in leaving_before:
            entry = self.upstreams.entry_by_name.get(name)
            if entry is not None and entry.upstream.state == LIVE:
                self.notices.cancel_leaving(name)

    def _unknown_live(self, update: UpstreamUpdate) -> dict[str, Upstream]:
        """Return the live upstreams of an update that this router does not know, by name.

        Those that are removed at once are missing from a newer listing and may have lapsed.
        """
        unknown = [
            entry.upstream.named_by_start()
            for entry in update.entries
            if entry.upstream.state == LIVE
            and self.upstreams.newest_start(entry.upstream.id) is None
        ]
        return {upstream.name: upstream for upstream in unknown}

    def _has_restarted(self, removed: Upstream) -> bool:
        newest = self.upstreams.newest_start(removed.id)
        return newest is not None and newest.upstream.name != removed.name

    def _names(self) -> frozenset[str]:
        return frozenset(self.upstreams.entry_by_name)

    def _in_state(self, state: str) -> dict[str, Upstream]:
        entries = self.upstreams.entry_by_name.items()
        return {name: each.upstream for name, each in entries if each.upstream.state == state}


def _has_unconfirmed(update: UpstreamUpdate) -> bool:
    """Return whether an update holds upstreams neither written nor listed in its era."""
    era = era_of(update.version)
    return any(
        entry.upstream.state != REMOVED and era_of(entry.version) < era for entry in update.entries
    )
