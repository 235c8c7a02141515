"""When which software versions served, as far as one router has seen.

While several versions serve a service, and for as long afterwards as callers may resume their
streams, it matters which of them began a stream.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from types import MappingProxyType

import msgspec
from msgspec.structs import replace

#: End of the time of a version that is listed now.
STILL_LISTED = float("inf")
#: Begin of what was there before anything that this router remembers.
SINCE_EVER = float("-inf")
#: Seconds after which streams begin at a version though the platform could not be told of it: by
#: then, another router that reaches the platform has told it.
UNREGISTERED_SECONDS = 2.0
_NONE_MARKED: Mapping[str, Collection[str]] = MappingProxyType({})


class VersionSpan(msgspec.Struct, frozen=True):
    """From when to when a version was listed, in the clock's seconds."""

    first_seen: float
    last_seen: float = STILL_LISTED
    #: Whether this router has seen it listed, and did not only read of it.
    was_listed: bool = True
    #: Since when it is listed, or was last, in the clock's seconds.
    listed_at: float = SINCE_EVER
    #: When the platform first replied that it did not know of it yet, in the clock's seconds: its
    #: streams began later.
    unregistered_at: float = SINCE_EVER
    #: Whether streams may have begun there since, as far as the platform's replies tell.
    was_registered: bool = False


class VersionHistory(msgspec.Struct):
    """The software versions of each service, as listed to this router and as others stored them."""

    #: Since when the versions are known, in the clock's seconds: since this router first had a
    #: list, or since ever once it has read what others stored.
    known_since: float = float("inf")
    _spans_by_service: dict[str, dict[str, VersionSpan]] = msgspec.field(default_factory=dict)
    #: Versions whose streams nobody resumes any more, by service.
    _retired_by_service: dict[str, set[str]] = msgspec.field(default_factory=dict)

    def record(self, versions_by_service: Mapping[str, Collection[str]], now: float) -> None:
        """Record the versions that are listed now."""
        if versions_by_service:
            self.known_since = min(self.known_since, now)
        for service, versions in versions_by_service.items():
            spans = self._spans_by_service.setdefault(service, {})
            for version in versions:
                known = spans.get(version, VersionSpan(now, now))
                listed_at = known.listed_at if known.last_seen == STILL_LISTED else now
                spans[version] = VersionSpan(
                    known.first_seen,
                    listed_at=listed_at,
                    unregistered_at=known.unregistered_at,
                    was_registered=known.was_registered,
                )
                self._retired_by_service.get(service, set()).discard(version)
        for service, spans in self._spans_by_service.items():
            listed = versions_by_service.get(service, ())
            for version, span in spans.items():
                if version not in listed and span.last_seen == STILL_LISTED:
                    spans[version] = replace(span, last_seen=now)

    def record_stored(
        self,
        versions_by_service: Mapping[str, Collection[str]],
        is_complete: bool,
        asked_at: float | None,
        now: float,
        is_written_since: bool = False,
        marked_by_service: Mapping[str, Collection[str]] = _NONE_MARKED,
    ) -> None:
        """Record the versions that other routers stored, as read from the platform.

        ``is_complete`` says that no other version had begun a stream that callers may still resume
        when the platform was asked, at ``asked_at``; None if that is an older copy. A version that
        is not listed here, and that did not expire here, served until now for all that this router
        knows. One that appeared here after all others were known began streams since then, whoever
        has stored it meanwhile. ``is_written_since`` says that others have stored them since this
        router last knew what they had stored: a version that nobody needed any more as far as this
        router knows may have come back, unless it is marked as such.
        """
        for service, versions in versions_by_service.items():
            spans = self._spans_by_service.setdefault(service, {})
            if is_written_since:
                back = set(versions).difference(marked_by_service.get(service, ()))
                self._retired_by_service.get(service, set()).difference_update(back)
            for version in set(versions) - self._retired_by_service.get(service, set()):
                known = spans.get(version)
                if known is None:
                    spans[version] = VersionSpan(
                        SINCE_EVER, now, was_listed=False, was_registered=True
                    )
                elif self.known_since != SINCE_EVER:
                    spans[version] = replace(known, first_seen=SINCE_EVER)
        if is_complete and self.known_since != SINCE_EVER:
            self.known_since = SINCE_EVER
            self._date_unstored(versions_by_service, asked_at)

    def _date_unstored(
        self, versions_by_service: Mapping[str, Collection[str]], asked_at: float | None
    ) -> None:
        """Date the listed versions that nobody had stored: their streams began later.

        What an older copy lacks may have begun streams at any time.
        """
        since = SINCE_EVER if asked_at is None else asked_at
        for service, spans in self._spans_by_service.items():
            for version in spans.keys() - set(versions_by_service.get(service, ())):
                span = spans[version]
                spans[version] = replace(span, first_seen=min(span.first_seen, since))

    def listed_since(self, service: str, since: float) -> tuple[str, ...]:
        """Return the versions that were listed at some time since then, the first seen first."""
        spans = self._spans_by_service.get(service, {})
        found = [(span.first_seen, name) for name, span in spans.items() if span.last_seen > since]
        return tuple(name for _, name in sorted(found))

    def record_named(self, service: str, named: Collection[str], asked_at: float) -> None:
        """Record which versions of a service the platform, asked at a time, knew of.

        One that it had known of before began streams before, whatever it knows now; so may one that
        it could not be told of for long.
        """
        spans = self._spans_by_service.get(service, {})
        for version, span in spans.items():
            if span.was_registered or (version not in named and span.last_seen != STILL_LISTED):
                continue
            if version in named or asked_at - span.first_seen > UNREGISTERED_SECONDS:
                spans[version] = replace(span, was_registered=True)
            elif span.unregistered_at == SINCE_EVER:
                spans[version] = replace(span, unregistered_at=asked_at)

    def second_version_since(self, service: str, since: float) -> float | None:
        """Return a time before which the first of the versions listed since then served alone.

        None without a second one, and if one appeared earlier or together with the first, or if the
        first had left by then as far as this router has seen: then no version may have served
        alone. Also if the platform knew of a later one once it was asked: this router may have
        learned late of it, and does not know since when it began streams.
        """
        listed = self.listed_since(service, since)
        if len(listed) < 2:
            return None
        first, *later = (self._spans_by_service[service][each] for each in listed)
        known_since = max(since, self.known_since)
        is_dated = all(
            each.first_seen > max(known_since, first.first_seen)
            and each.unregistered_at > known_since
            for each in later
        )
        if not is_dated or not first.was_listed:
            return None
        return min(each.unregistered_at for each in later)

    def listed(self, service: str) -> frozenset[str]:
        """Return the versions that are listed now."""
        spans = self._spans_by_service.get(service, {})
        return frozenset(name for name, span in spans.items() if span.last_seen == STILL_LISTED)

    def listed_at(self, service: str, version: str) -> float:
        """Return since when a listed version is listed, without a break, in the clock's seconds."""
        return self._spans_by_service[service][version].listed_at

    def seen_since(self, service: str, since: float) -> frozenset[str]:
        """Return the versions that this router has seen listed at some time since then."""
        spans = self._spans_by_service.get(service, {})
        return frozenset(
            name for name, span in spans.items() if span.was_listed and span.last_seen > since
        )

    def services(self) -> tuple[str, ...]:
        """Return the services of which versions are known."""
        return tuple(self._spans_by_service)

    def drop_old(self, before: float) -> None:
        """Forget versions that were last listed before then."""
        for service, spans in self._spans_by_service.items():
            for version in [name for name, span in spans.items() if span.last_seen < before]:
                del spans[version]
                self._retired_by_service.setdefault(service, set()).add(version)
