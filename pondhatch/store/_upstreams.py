"""The list of upstreams: as the platform lists them, relayed between routers.

The list carries the platform's position, and each entry the position of its own
change. A router takes an entry only if its position is higher than the one it
holds, so that a stale watcher or peer never brings back an older state.

A platform that comes back from an older copy begins an era, and its positions are above all
that were before. What it then shows of an upstream is older than what is known: one that had
left since the copy stands in it as if it took work, and one that had come does not stand in
it until it has written itself again. So while an era settles, nothing that was known to leave
or gone is taken back, nothing is taken for gone that only does not stand there, and what
upstreams do from then on counts as ever. Once it has settled, what nobody has written or shown in
this era is gone.
"""

from __future__ import annotations

import msgspec

from pondhatch.placement import name_of_start
from pondhatch.store._position import Position, era_of

#: States of an upstream in the platform's list.
LIVE = "live"
LEAVING = "leaving"
REMOVED = "removed"

#: Removed entries kept so that peers that are behind learn of the removal.
MAX_REMOVED = 2048


class Upstream(msgspec.Struct, frozen=True):
    """A back end: a model engine or an instance of a plain service."""

    name: str
    service: str
    #: "http://IP:port".
    url: str
    hall: str
    state: str = LIVE
    #: Whether it can resume a broken stream from a position.
    resumes: bool = False
    #: Whether it refuses an order with an old fencing number.
    checks_fencing: bool = False
    #: Requests that it can take at once; 0 where its service says so.
    slots: int = 0
    #: When it started, in milliseconds since 1970; 0 where nobody says.
    start: int = 0
    #: For how many seconds it was still cold when it said so.
    cold_seconds: float = 0.0
    #: The id that it answers to, which an earlier start of it had as well; empty where its name
    #: is that.
    instance: str = ""

    @property
    def id(self) -> str:
        """The id that it answers to."""
        return self.instance or self.name

    def named_by_start(self) -> Upstream:
        """Return it under a name that no other start of it has.

        All that routers take to be so of an upstream they keep by its name: what it holds, how
        well it is, what runs there. So none of that is ever looked up for another start.
        """
        if not self.start or self.instance:
            return self
        return msgspec.structs.replace(
            self, name=name_of_start(self.name, self.start), instance=self.name
        )

    def as_listed(self) -> Upstream:
        """Return it as the platform lists it, under its id."""
        return msgspec.structs.replace(self, name=self.id, instance="")


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream and the platform's position at its last change."""

    upstream: Upstream
    version: Position


class UpstreamUpdate(msgspec.Struct, frozen=True):
    """Entries for a router that is behind."""

    #: Version of the list once the entries are taken in.
    version: int
    entries: tuple[UpstreamEntry, ...]
    #: Whether the entries are all there are.
    whole: bool
    #: Names that are listed with entries that make no sense: not gone, but not news either.
    left_out: frozenset[str] = frozenset()
    #: Seconds for which the router that sends it has known a list; 0 from the platform.
    known_for: float = 0.0
    #: Seconds since upstreams joined, by the names of those that did so lately.
    age_by_name: dict[str, float] = {}


class UpstreamList(msgspec.Struct):
    """All upstreams known to a router."""

    version: Position = 0
    entry_by_name: dict[str, UpstreamEntry] = msgspec.field(default_factory=dict)
    #: Version below which removed entries may be missing.
    complete_since: Position = 0
    #: The name of the newest start of each upstream, by its id.
    _name_by_id: dict[str, str] = msgspec.field(default_factory=dict)

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream that was not removed, or None."""
        entry = self.entry_by_name.get(name)
        if entry is None or entry.upstream.state == REMOVED:
            return None
        return entry.upstream

    def of_service(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's upstreams that take new work, by name."""
        found = [
            entry.upstream
            for entry in self.entry_by_name.values()
            if entry.upstream.service == service and entry.upstream.state == LIVE
        ]
        return tuple(sorted(found, key=lambda upstream: upstream.name))

    def set(self, upstream: Upstream, version: int) -> bool:
        """Take in one entry; return whether it was news."""
        changed = self._set(upstream, version)
        if changed:
            self._drop_oldest_removed()
        return changed

    def _set(self, upstream: Upstream, version: int) -> bool:
        upstream = self._with_known_start(upstream).named_by_start()
        known = self.entry_by_name.get(upstream.name)
        if known is not None and known.version >= version:
            return False
        if not self._supersede(upstream, version):
            return False
        self.entry_by_name[upstream.name] = UpstreamEntry(upstream, version)
        self._name_by_id[upstream.id] = upstream.name
        self.version = max(self.version, version)
        return True

    def _with_known_start(self, upstream: Upstream) -> Upstream:
        """Return one that leaves, and of which nobody says when it started, as it was known."""
        known = self.newest_start(upstream.id)
        if upstream.start or upstream.state != LEAVING or known is None:
            return upstream
        return msgspec.structs.replace(upstream, start=known.upstream.start)

    def _supersede(self, upstream: Upstream, version: int) -> bool:
        """End another start of an upstream; return False where that one is the newer.

        The platform's version decides: clocks of upstreams may step back.
        """
        name = self._name_by_id.get(upstream.id, upstream.name)
        other = self.entry_by_name.get(name)
        if other is None or name == upstream.name:
            return True
        if other.version >= version:
            return False
        ended = msgspec.structs.replace(other.upstream, state=REMOVED)
        self.entry_by_name[name] = UpstreamEntry(ended, version)
        return True

    def newest_start(self, upstream_id: str) -> UpstreamEntry | None:
        """Return the newest start of an upstream, None where none was ever listed."""
        return self.entry_by_name.get(self._name_by_id.get(upstream_id, ""))

    def remove(self, upstream_id: str, version: int) -> bool:
        """Note that the platform no longer lists an upstream."""
        known = self.newest_start(upstream_id)
        if known is None:
            self.advance_to(version)
            return False
        return self.set(msgspec.structs.replace(known.upstream, state=REMOVED), version)

    def mark_unreadable(self, upstream_id: str, version: int) -> bool:
        """Note that what the platform lists of an upstream names none: it gets nothing new.

        What runs there goes on.
        """
        known = self.newest_start(upstream_id)
        if known is None or known.upstream.state == REMOVED:
            self.advance_to(version)
            return False
        return self._set(msgspec.structs.replace(known.upstream, state=LEAVING), version)

    def advance_to(self, version: int) -> None:
        """Note that nothing changed up to a version."""
        self.version = max(self.version, version)

    def update_since(self, version: int) -> UpstreamUpdate:
        """Return what a router at a version lacks."""
        whole = version < self.complete_since
        # Who takes a start in ends the one before it.
        newest = map(self.entry_by_name.__getitem__, self._name_by_id.values())
        entries = tuple(
            UpstreamEntry(entry.upstream.as_listed(), entry.version)
            for entry in newest
            if whole or entry.version > version
        )
        return UpstreamUpdate(self.version, entries, whole)

    def apply_update(self, update: UpstreamUpdate, is_settling: bool = False) -> bool:
        """Take in a peer's or a listing's entries; return whether any was news.

        ``is_settling`` says that the era of what is taken in has begun just now.
        """
        changed = False
        newer = update.version > self.version
        for entry in update.entries:
            if is_settling and self._would_revive(entry):
                continue
            changed = self._set(entry.upstream, entry.version) or changed
        for upstream_id in update.left_out:
            changed = self.mark_unreadable(upstream_id, update.version) or changed
        if update.whole and newer and not is_settling:
            changed = self._remove_unlisted(update) or changed
        # Once for all of them: it goes through the whole list, and with 2,100 entries, one by
        # one, nothing else ran for 0.15 s.
        self._drop_oldest_removed()
        self.advance_to(update.version)
        return changed

    def _would_revive(self, entry: UpstreamEntry) -> bool:
        """Return whether an entry shows a start as taking work that is known to leave or gone."""
        known = self.entry_by_name.get(self._with_known_start(entry.upstream).named_by_start().name)
        if known is None or entry.upstream.state != LIVE:
            return False
        is_of_era = era_of(known.version) == era_of(entry.version)
        return known.upstream.state != LIVE and not is_of_era

    def settle(self) -> bool:
        """Take for gone what nobody has written or shown in this era; return whether any was."""
        era = era_of(self.version)
        unconfirmed = [
            self.entry_by_name[name].upstream
            for name in self._name_by_id.values()
            if era_of(self.entry_by_name[name].version) < era
            and self.entry_by_name[name].upstream.state != REMOVED
        ]
        for upstream in unconfirmed:
            self._set(msgspec.structs.replace(upstream, state=REMOVED), self.version)
        return bool(unconfirmed)

    def _remove_unlisted(self, update: UpstreamUpdate) -> bool:
        listed = {entry.upstream.id for entry in update.entries} | update.left_out
        newest = [self.entry_by_name[name] for name in self._name_by_id.values()]
        gone = [
            entry.upstream
            for entry in newest
            if entry.upstream.id not in listed and entry.version <= update.version
        ]
        for upstream in gone:
            self._set(msgspec.structs.replace(upstream, state=REMOVED), update.version)
        return bool(gone)

    def _drop_oldest_removed(self) -> None:
        removed = sorted(
            (entry.version, name)
            for name, entry in self.entry_by_name.items()
            if entry.upstream.state == REMOVED
        )
        for version, name in removed[: max(0, len(removed) - MAX_REMOVED)]:
            self.complete_since = max(self.complete_since, version)
            dropped = self.entry_by_name.pop(name).upstream
            if self._name_by_id.get(dropped.id) == name:
                del self._name_by_id[dropped.id]
