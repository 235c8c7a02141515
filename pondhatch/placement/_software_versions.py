"""When which software versions served, as far as one router has seen.

While several versions serve a service, and for as long afterwards as callers may resume their
streams, it matters which of them began a stream.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import msgspec

#: End of the time of a version that is listed now.
STILL_LISTED = float("inf")


class VersionSpan(msgspec.Struct, frozen=True):
    """From when to when a version was listed, in the clock's seconds."""

    first_seen: float
    last_seen: float = STILL_LISTED


class VersionHistory(msgspec.Struct):
    """The software versions of each service, since this router first had a list of upstreams."""

    #: When this router first had a list, in the clock's seconds.
    known_since: float = float("inf")
    _spans_by_service: dict[str, dict[str, VersionSpan]] = msgspec.field(default_factory=dict)

    def record(self, versions_by_service: Mapping[str, Collection[str]], now: float) -> None:
        """Record the versions that are listed now."""
        if versions_by_service:
            self.known_since = min(self.known_since, now)
        for service, versions in versions_by_service.items():
            spans = self._spans_by_service.setdefault(service, {})
            for version in versions:
                known = spans.get(version, VersionSpan(now))
                spans[version] = VersionSpan(known.first_seen)
        for service, spans in self._spans_by_service.items():
            listed = versions_by_service.get(service, ())
            for version, span in spans.items():
                if version not in listed and span.last_seen == STILL_LISTED:
                    spans[version] = VersionSpan(span.first_seen, now)

    def listed_since(self, service: str, since: float) -> tuple[str, ...]:
        """Return the versions that were listed at some time since then, the first seen first."""
        spans = self._spans_by_service.get(service, {})
        found = [(span.first_seen, name) for name, span in spans.items() if span.last_seen > since]
        return tuple(name for _, name in sorted(found))

    def second_version_seen_at(self, service: str, since: float) -> float | None:
        """Return when the second of the versions listed since then appeared; None without one.

        None also if it appeared earlier, or this router did not see it appear: then one version may
        not have served alone since.
        """
        listed = self.listed_since(service, since)
        if len(listed) < 2:
            return None
        second = self._spans_by_service[service][listed[1]].first_seen
        return second if second > max(since, self.known_since) else None

    def drop_old(self, before: float) -> None:
        """Forget versions that were last listed before then."""
        for spans in self._spans_by_service.values():
            for version in [name for name, span in spans.items() if span.last_seen < before]:
                del spans[version]
