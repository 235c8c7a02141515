"""Which side may set which header, as one table for each interface.

A header is forwarded only if its sender may set it for the recipient. Headers that are in no
table belong to the sender and are forwarded, unless `Connection` lists them (RFC 9110, 7.6.1).
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from pondhatch.observing import Metrics
from pondhatch.requests import Headers
from pondhatch.transport._headers import HOP_HEADERS


class Owner(enum.Enum):
    """Which side may set a header, and for which recipient."""

    #: Callers, for upstreams; forwarded byte for byte, whatever `Connection` lists.
    CALLER = enum.auto()
    #: Callers, for the router; not forwarded, and replaced by the router's own if it has one.
    CALLER_TO_ROUTER = enum.auto()
    #: Only the router, for upstreams or callers.
    ROUTER = enum.auto()
    #: Only upstreams, in their answers.
    UPSTREAM = enum.auto()
    #: Message length: the router sets it in requests, and forwards that of answers unchanged.
    FRAMING = enum.auto()
    #: Either side of a connection, for the other side only.
    CONNECTION = enum.auto()


# Kinds of dropped headers, by which they are counted.
#: Headers that only routers may set, set by a caller.
DROPPED_ROUTERS = "router"
#: Headers that only upstreams may set, set by a caller.
DROPPED_UPSTREAMS = "upstream"
#: Headers that their sender listed in `Connection`.
DROPPED_LISTED = "listed"
#: Headers that only routers may set, set in an upstream's answer.
DROPPED_FROM_ANSWERS = "answer"
#: Headers whose drop is expected in nearly every message, and therefore not counted.
_NOT_COUNTED = ""

_KIND_FROM_CALLERS = {
    Owner.CALLER_TO_ROUTER: _NOT_COUNTED,
    Owner.ROUTER: DROPPED_ROUTERS,
    Owner.UPSTREAM: DROPPED_UPSTREAMS,
    Owner.FRAMING: _NOT_COUNTED,
    Owner.CONNECTION: _NOT_COUNTED,
}
_KIND_FROM_UPSTREAMS = {
    Owner.CALLER_TO_ROUTER: _NOT_COUNTED,
    Owner.ROUTER: DROPPED_FROM_ANSWERS,
    Owner.CONNECTION: _NOT_COUNTED,
}

_CONNECTION_HEADER = "connection"
#: Options of `Connection` that name no header.
_PLAIN_OPTIONS = frozenset({"close", ""})

#: Headers defined by HTTP, for every interface. Those that describe the body are forwarded with
#: it: they must not be lost because `Connection` lists them.
_HTTP_OWNERS: Mapping[str, Owner] = {
    **dict.fromkeys(HOP_HEADERS, Owner.CONNECTION),
    "expect": Owner.CONNECTION,
    "content-length": Owner.FRAMING,
    "content-type": Owner.CALLER,
    "content-encoding": Owner.CALLER,
    "host": Owner.CALLER,
}

#: Called with the kind of each dropped header that is counted.
NoteDropped = Callable[[str], None]


def dropped_header_counter(metrics: Metrics) -> NoteDropped:
    """Return a counter of dropped headers by kind: a log line for each could flood the log."""
    return lambda kind: metrics.count(f"headers_dropped.{kind}")


class HeaderOwners:
    """The owner of each header of an interface. Immutable."""

    def __init__(self, owner_by_name: Mapping[str, Owner]) -> None:
        own = {name.lower(): owner for name, owner in owner_by_name.items()}
        self.owner_by_name: Mapping[str, Owner] = MappingProxyType({**_HTTP_OWNERS, **own})
        self._not_listable = _PLAIN_OPTIONS.union(self.owner_by_name)
        # By name, so that each header costs one look-up; names without an entry are forwarded.
        self._from_callers = self._kinds(_KIND_FROM_CALLERS)
        self._from_upstreams = self._kinds(_KIND_FROM_UPSTREAMS)

    def from_caller(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return those of a caller's headers that are forwarded to an upstream."""
        return self._forward(headers, self._from_callers, note)

    def from_upstream(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return those of an answer's headers that are forwarded to its caller."""
        return self._forward(headers, self._from_upstreams, note)

    def _kinds(self, kind_by_owner: Mapping[Owner, str]) -> Mapping[str, str]:
        owned = self.owner_by_name.items()
        return {name: kind_by_owner[owner] for name, owner in owned if owner in kind_by_owner}

    def _forward(
        self, headers: Headers, kind_by_name: Mapping[str, str], note: NoteDropped
    ) -> Headers:
        forwarded: list[tuple[str, str]] = []
        listed: set[str] = set()
        for pair in headers:
            name = pair[0].lower()
            kind = kind_by_name.get(name)
            if kind is None:
                forwarded.append(pair)
            elif kind:
                note(kind)
            elif name == _CONNECTION_HEADER:
                listed.update(self._listed_names(pair[1]))
        return self._drop_listed(forwarded, listed, note) if listed else tuple(forwarded)

    def _listed_names(self, options: str) -> Iterable[str]:
        """Return the names that `Connection` lists and no table holds; tables take precedence."""
        names = (option.strip().lower() for option in options.split(","))
        return [each for each in names if each not in self._not_listable]

    def _drop_listed(
        self, headers: list[tuple[str, str]], listed: set[str], note: NoteDropped
    ) -> Headers:
        kept = tuple(pair for pair in headers if pair[0].lower() not in listed)
        for _ in range(len(headers) - len(kept)):
            note(DROPPED_LISTED)
        return kept
