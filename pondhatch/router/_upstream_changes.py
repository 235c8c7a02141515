"""Changes of the list of upstreams, and what can be told only by comparing before and after.

Two things follow from a change beside the list itself: which upstreams joined lately, and
which vanished without having said that they leave.
"""

from __future__ import annotations

from collections.abc import Mapping

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

#: Seconds by which two routers may differ on when an upstream joined: what a packet and a
#: pull take, several times over.
SLACK_SECONDS = 1.0
#: Seconds after the first list in which upstreams that appear are taken to have been there
#: before: those of a fleet that starts list themselves one after the other, and no chat
#: has its context at the engine ranked second.
STARTING_SECONDS = 20.0


class Joins(msgspec.Struct):
    """When upstreams joined, but for those of a fleet that starts."""

    #: In the clock's seconds, by the upstream's name.
    _joined_at: dict[str, float] = msgspec.field(default_factory=dict)
    #: When this router first knew of upstreams, in the clock's seconds.
    _listed_at: float = float("inf")

    def is_young(self, name: str, now: float) -> bool:
        """Return whether an upstream joined after this router knew the list, and lately."""
        joined = self._joined_at.get(name)
        return joined is not None and now - joined < YOUNG_SECONDS

    def known_for(self, now: float) -> float:
        """Return for how many seconds a list has been known, here or by who told of it."""
        return max(0.0, now - self._listed_at)

    def age_by_name(self, now: float) -> dict[str, float]:
        """Return the seconds since upstreams joined, for those that are young."""
        return {name: now - at for name, at in self._joined_at.items() if now - at < YOUNG_SECONDS}

    def told(self, known_for: float, age_by_name: Mapping[str, float], now: float) -> None:
        """Take in what a peer knows that has known the list for longer.

        So a router that restarts in a fleet that runs tells newcomers from others as the
        others do: it would send their chats to engines that never saw them otherwise.
        """
        if known_for <= self.known_for(now) + SLACK_SECONDS:
            return
        self._listed_at = now - known_for
        self._joined_at.update({name: now - age for name, age in age_by_name.items()})

    def note(self, before: frozenset[str], after: frozenset[str], now: float) -> None:
        """Note the upstreams that are new; ``before`` and ``after`` are the names listed."""
        if not before:
            self._listed_at = now
        if now - self._listed_at < STARTING_SECONDS:
            return
        old = [name for name, at in self._joined_at.items() if now - at >= YOUNG_SECONDS]
        for name in old:
            del self._joined_at[name]
        for name in after - before:
            self._joined_at[name] = now


class Settling(msgspec.Struct):
    """When the platform's era began, as this router saw it."""

    _era: int = 0
    #: Until when the era settles, in the clock's seconds; infinitely long ago where none does.
    _until: float = float("-inf")

    def note(self, version: Position, now: float) -> None:
        """Take in the position that the list has come to."""
        era = era_of(version)
        if era > self._era:
            # The first era that a router hears of follows no other here.
            self._until = now + SETTLE_SECONDS if self._era else float("-inf")
            self._era = era

    def begins(self, version: Position, now: float) -> bool:
        """Return whether what is as of a position comes while its era settles."""
        begins = bool(self._era) and era_of(version) > self._era
        return begins or now < self._until

    def is_over(self, now: float) -> bool:
        """Return, once for each era, whether it has settled."""
        if self._until == float("-inf") or now < self._until:
            return False
        self._until = float("-inf")
        return True


class UpstreamChanges(msgspec.Struct, frozen=True):
    """Takes changes into a list of upstreams and notes who joined and who vanished."""

    upstreams: UpstreamList
    vanished: VanishedUpstreams
    #: What upstreams said of themselves.
    notices: Notices = msgspec.field(default_factory=Notices)
    joins: Joins = msgspec.field(default_factory=Joins)
    reader: UpstreamReader = msgspec.field(default_factory=UpstreamReader)
    settling: Settling = msgspec.field(default_factory=Settling)
    cold: ColdPeriods = msgspec.field(default_factory=ColdPeriods)

    def take_listing(self, listed: Listed, now: float) -> bool:
        """Take in what the platform lists; return whether any was news."""
        return self.take(self.reader.read_listing(listed), now)

    def take(self, update: UpstreamUpdate, now: float) -> bool:
        """Take in a listing's or a peer's entries; return whether any was news."""
        names, live, leaving = self._names(), self._in_state(LIVE), self._known_leaving()
        news = self.upstreams.apply_update(update, self.settling.begins(update.version, now))
        self.settling.note(self.upstreams.version, now)
        self._note(names, live, now)
        self._note_staying(leaving)
        self.joins.told(update.known_for, update.age_by_name, now)
        return news

    def since(self, version: int, now: float) -> UpstreamUpdate:
        """Return what a peer at a version lacks, and what is known of who joined lately."""
        update = self.upstreams.update_since(version)
        return replace(
            update,
            entries=tuple(self.cold.with_seconds_left(entry, now) for entry in update.entries),
            known_for=self.joins.known_for(now),
            age_by_name=self.joins.age_by_name(now),
        )

    def take_event(self, event: WatchEvent, now: float) -> bool:
        """Take in one event of a watch on upstreams; return whether it was news."""
        names, live, leaving = self._names(), self._in_state(LIVE), self._known_leaving()
        news = self._apply(event)
        self.settling.note(self.upstreams.version, now)
        if news:
            self._note(names, live, now)
            self._note_staying(leaving)
        return news

    def settle(self, now: float) -> bool:
        """Do what is due once an era has settled; return whether the list has changed."""
        return self.settling.is_over(now) and self.upstreams.settle()

    def _apply(self, event: WatchEvent) -> bool:
        if event.type == "set":
            upstream = self.reader.read_upstream(event.name, event.version, event.value)
            if upstream is not None:
                return self.upstreams.set(upstream, event.version)
        if event.type in ("set", "unreadable"):
            return self.upstreams.mark_unreadable(event.name, event.version)
        if event.type == "removed":
            return self.upstreams.remove(event.name, event.version)
        return False

    def _note(
        self, names_before: frozenset[str], live_before: dict[str, Upstream], now: float
    ) -> None:
        self.joins.note(names_before, self._names(), now)
        self.cold.update(self.upstreams.entry_by_name.values(), now)
        self._note_vanished(live_before, now)

    def _note_vanished(self, live_before: dict[str, Upstream], now: float) -> None:
        """Note whose entries went without a word, and whose are back."""
        for name, entry in self.upstreams.entry_by_name.items():
            if entry.upstream.state != REMOVED:
                self.vanished.discard(entry.upstream.id)
            elif name in live_before and not self._started_again(entry.upstream):
                self.vanished.add(live_before[name], now)

    def _known_leaving(self) -> frozenset[str]:
        """Return the upstreams that leave both by the list and by an answer of theirs."""
        by_name = self.upstreams.entry_by_name
        said = (name for name in self.notices.names() if name in by_name)
        return frozenset(name for name in said if by_name[name].upstream.state == LEAVING)

    def _note_staying(self, leaving_before: frozenset[str]) -> None:
        """Note the upstreams that say that they take work again after they had said they leave.

        The list alone does not open what an answer closed: it may be behind by minutes.
        """
        for name in leaving_before:
            entry = self.upstreams.entry_by_name.get(name)
            if entry is not None and entry.upstream.state == LIVE:
                self.notices.stays(name)

    def _started_again(self, ended: Upstream) -> bool:
        newest = self.upstreams.newest_start(ended.id)
        return newest is not None and newest.upstream.name != ended.name

    def _names(self) -> frozenset[str]:
        return frozenset(self.upstreams.entry_by_name)

    def _in_state(self, state: str) -> dict[str, Upstream]:
        entries = self.upstreams.entry_by_name.items()
        return {name: each.upstream for name, each in entries if each.upstream.state == state}
