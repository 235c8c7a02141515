"""The list of upstreams, as read from the platform and relayed between routers.

The list carries the platform's position, and each entry the position of its own change. A router
applies an entry only if its position is higher than that of the known one, so a stale watch or
peer never restores an older state.

Nothing is applied for an upstream that is unknown and no newer than the newest complete listing
that this router read, since the listing would have shown it: it had left by then, and a peer that
names it has not heard of that yet. It is kept as removed as of the listing, so that the peer learns
of it.

A platform that is restored from an older copy begins a new era, whose positions are above all
earlier ones, although its content is older than what routers know: upstreams that have left since
the copy are listed as live, and upstreams that have joined since are missing until they write
their entries again. So while an era settles, an upstream known to be leaving or removed is not
revived, and one that is only missing from a listing is not removed; writes made in the new era
apply as usual. Once the era has settled, upstreams that were neither written nor listed in it are
removed.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pondhatch.store._position import Position, era_of
from pondhatch.store._upstream_entries import (
    LEAVING,
    LIVE,
    REMOVED,
    Upstream,
    UpstreamEntry,
    UpstreamUpdate,
)

#: Number of removed entries kept so that peers that are behind learn of the removal.
MAX_REMOVED = 2048


class UpstreamList(msgspec.Struct):
    """All upstreams that a router knows."""

    version: Position = 0
    entry_by_name: dict[str, UpstreamEntry] = msgspec.field(default_factory=dict)
    #: Version below which removed entries may be missing.
    complete_since: Position = 0
    #: Name of each upstream's newest start, by id.
    _name_by_id: dict[str, str] = msgspec.field(default_factory=dict)
    #: Position of the newest complete listing that this router read.
    _listed_at: Position = 0
    #: Ids that this listing names with entries that do not decode.
    _unreadable_ids: frozenset[str] = frozenset()
    #: Ids that this listing lacked while its era settled.
    _unlisted_ids: frozenset[str] = frozenset()

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream by name; None if it is unknown or removed."""
        entry = self.entry_by_name.get(name)
        if entry is None or entry.upstream.state == REMOVED:
            return None
        return entry.upstream

    def of_service(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's live upstreams, which take new work, sorted by name."""
        found = [
            entry.upstream
            for entry in self.entry_by_name.values()
            if entry.upstream.service == service and entry.upstream.state == LIVE
        ]
        return tuple(sorted(found, key=lambda upstream: upstream.name))

    def set(self, upstream: Upstream, version: int) -> bool:
        """Apply one entry; return whether it was newer than the known one."""
        changed = self._set(upstream, version)
        if changed:
            self._drop_oldest_removed()
        return changed

    def _set(self, upstream: Upstream, version: int) -> bool:
        """Apply one entry like ``set``, but keep removed entries beyond MAX_REMOVED."""
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
        """Return an upstream with its known start if it is leaving and states none.

        With the start time goes the software version: an entry of which only the state can be
        read states neither.
        """
        known = self.newest_start(upstream.id)
        if upstream.start or upstream.state != LEAVING or known is None:
            return upstream
        version = upstream.software_version or known.upstream.software_version
        return msgspec.structs.replace(
            upstream, start=known.upstream.start, software_version=version
        )

    def _supersede(self, upstream: Upstream, version: int) -> bool:
        """Mark the known start of an upstream as removed if the given one replaces it.

        Return False if the known start is the newer one, so that the given one is not applied.
        The platform's version decides which start is newer, since clocks of upstreams may step
        back.
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
        """Return the newest start of an upstream; None if it was never listed."""
        return self.entry_by_name.get(self._name_by_id.get(upstream_id, ""))

    def remove(self, upstream_id: str, version: int) -> bool:
        """Mark an upstream that the platform no longer lists as removed."""
        self._unreadable_ids -= {upstream_id}
        known = self.newest_start(upstream_id)
        if known is None:
            self.advance_to(version)
            return False
        return self.set(msgspec.structs.replace(known.upstream, state=REMOVED), version)

    def mark_unreadable(self, upstream_id: str, version: int) -> bool:
        """Mark an upstream whose entry does not decode as leaving, so that it gets no new work.

        Requests that run there go on.
        """
        known = self.newest_start(upstream_id)
        if known is None or known.upstream.state == REMOVED:
            self.advance_to(version)
            return False
        return self._set(msgspec.structs.replace(known.upstream, state=LEAVING), version)

    def advance_to(self, version: int) -> None:
        """Advance the list's version without a change."""
        self.version = max(self.version, version)

    def update_since(self, version: int) -> UpstreamUpdate:
        """Return the entries that a router at a version lacks."""
        is_complete = version < self.complete_since
        # The newest starts suffice: applying one marks the start before it as removed.
        newest = map(self.entry_by_name.__getitem__, self._name_by_id.values())
        entries = tuple(
            UpstreamEntry(entry.upstream.as_listed(), entry.version)
            for entry in newest
            if is_complete or entry.version > version
        )
        return UpstreamUpdate(self.version, entries, is_complete)

    def apply_listing(self, listing: UpstreamUpdate, is_settling: bool = False) -> bool:
        """Apply a listing of the platform; return whether anything changed.

        What a complete listing lacks had left by its position, also where a peer told of a later
        position before. ``is_settling`` says that the era of the listing has not settled yet.
        """
        held = self.version
        changed = self._apply_entries(listing, listing.entries, is_settling)
        if listing.whole and listing.version >= self._listed_at:
            self._listed_at = listing.version
            self._unreadable_ids = listing.left_out
            unlisted = {each.id for each in self._unlisted(listing)} if is_settling else ()
            self._unlisted_ids = frozenset(unlisted)
        gone = self._remove_unlisted(listing) if listing.whole and not is_settling else ()
        if listing.version <= held and any(each.state != REMOVED for each in gone):
            # These removals are no newer than what peers hold, so only a complete list has them.
            self.complete_since = held + 1
        self._finish(listing)
        return changed or bool(gone)

    def apply_update(self, update: UpstreamUpdate, is_settling: bool = False) -> bool:
        """Apply the entries of a peer; return whether anything changed.

        ``is_settling`` says that the era of the update has not settled yet.
        """
        is_newer = update.version > self.version
        entries = [self._as_of_listing(entry, is_settling) for entry in update.entries]
        changed = self._apply_entries(update, entries, is_settling)
        if update.whole and is_newer and not is_settling:
            changed = bool(self._remove_unlisted(update)) or changed
        self._finish(update)
        return changed

    def _apply_entries(
        self, update: UpstreamUpdate, entries: Iterable[UpstreamEntry], is_settling: bool
    ) -> bool:
        changed = False
        for entry in entries:
            if is_settling and self._would_revive(entry):
                continue
            changed = self._set(entry.upstream, entry.version) or changed
        for upstream_id in update.left_out:
            changed = self.mark_unreadable(upstream_id, update.version) or changed
        return changed

    def _finish(self, update: UpstreamUpdate) -> None:
        # Once for all entries, since it scans the whole list: called for each of 2,100 entries,
        # it blocked the event loop for 0.15 s.
        self._drop_oldest_removed()
        self.advance_to(update.version)

    def _as_of_listing(self, entry: UpstreamEntry, is_settling: bool) -> UpstreamEntry:
        """Return a peer's entry, or its removal if a newer complete listing lacks the upstream."""
        if not self._has_left(entry, is_settling):
            return entry
        removed = msgspec.structs.replace(entry.upstream, state=REMOVED)
        return UpstreamEntry(removed, self._listed_at)

    def _has_left(self, entry: UpstreamEntry, is_settling: bool) -> bool:
        """Return whether an upstream had left by the newest complete listing.

        While an era settles, upstreams of earlier eras may be missing from its listings.
        """
        upstream = entry.upstream
        if upstream.state == REMOVED or entry.version > self._listed_at:
            return False
        known = self.newest_start(upstream.id)
        if upstream.id in self._unreadable_ids or (
            known is not None and known.upstream.state != REMOVED
        ):
            return False
        return not is_settling or era_of(entry.version) == era_of(self._listed_at)

    def _would_revive(self, entry: UpstreamEntry) -> bool:
        """Return whether an entry lists a start as live that is known as leaving or removed."""
        known = self.entry_by_name.get(self._with_known_start(entry.upstream).named_by_start().name)
        if known is None or entry.upstream.state != LIVE:
            return False
        is_same_era = era_of(known.version) == era_of(entry.version)
        return known.upstream.state != LIVE and not is_same_era

    def remove_unconfirmed(self) -> bool:
        """Remove upstreams neither written nor listed in this era; return whether any were.

        So are those that the newest listing lacked, unless they were written since.
        """
        newest = map(self.entry_by_name.__getitem__, self._name_by_id.values())
        unconfirmed = [
            entry.upstream
            for entry in newest
            if entry.upstream.state != REMOVED and not self._is_confirmed(entry)
        ]
        for upstream in unconfirmed:
            self._set(msgspec.structs.replace(upstream, state=REMOVED), self.version)
        return bool(unconfirmed)

    def _is_confirmed(self, entry: UpstreamEntry) -> bool:
        """Return whether an entry was written or listed in this era, as of its newest listing."""
        is_unlisted = entry.upstream.id in self._unlisted_ids and entry.version <= self._listed_at
        return era_of(entry.version) == era_of(self.version) and not is_unlisted

    def _unlisted(self, update: UpstreamUpdate) -> list[Upstream]:
        """Return the upstreams that a complete list lacks although it is as new as they are."""
        listed = {entry.upstream.id for entry in update.entries} | update.left_out
        newest = [self.entry_by_name[name] for name in self._name_by_id.values()]
        return [
            entry.upstream
            for entry in newest
            if entry.upstream.id not in listed and entry.version <= update.version
        ]

    def _remove_unlisted(self, update: UpstreamUpdate) -> list[Upstream]:
        """Mark what a complete list lacks as removed; return it as it was known."""
        gone = self._unlisted(update)
        for upstream in gone:
            self._set(msgspec.structs.replace(upstream, state=REMOVED), update.version)
        return gone

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
