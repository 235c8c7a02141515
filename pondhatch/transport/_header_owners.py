"""Who may set which header: one table for each interface.

A header goes on only if its sender may say it to whoever gets it next. A name that stands in
no table is the sender's own and goes on, unless `Connection` lists it (RFC 9110, 7.6.1).
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from pondhatch.observing import Metrics
from pondhatch.requests import Headers
from pondhatch.transport._headers import HOP_HEADERS


class Owner(enum.Enum):
    """Who may set a header, and to whom."""

    #: A caller to an upstream; goes on byte for byte, whatever `Connection` lists.
    CALLER = enum.auto()
    #: A caller to the router; it ends here, and the router says its own where it has one.
    CALLER_TO_ROUTER = enum.auto()
    #: The router alone, to upstreams or to callers.
    ROUTER = enum.auto()
    #: An upstream alone, in its answers.
    UPSTREAM = enum.auto()
    #: The length of a message: the router frames requests anew, an answer keeps its own.
    FRAMING = enum.auto()
    #: Either side of one connection, to the other.
    CONNECTION = enum.auto()


#: Kinds of dropped headers that are counted: a caller's copy of what only routers may set;
DROPPED_ROUTERS = "router"
#: a caller's copy of what only upstreams may say;
DROPPED_UPSTREAMS = "upstream"
#: what its sender's own `Connection` lists;
DROPPED_LISTED = "listed"
#: what an upstream's answer says in the place of the router.
DROPPED_FROM_ANSWERS = "answer"
#: Ends here as it should, in nearly every message; not counted.
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

#: What HTTP itself says, whatever the interface. What a body is goes with the body: it must
#: not get lost because `Connection` lists it.
_HTTP_OWNERS: Mapping[str, Owner] = {
    **dict.fromkeys(HOP_HEADERS, Owner.CONNECTION),
    "expect": Owner.CONNECTION,
    "content-length": Owner.FRAMING,
    "content-type": Owner.CALLER,
    "content-encoding": Owner.CALLER,
    "host": Owner.CALLER,
}

#: Is told the kind of each dropped header that is counted.
NoteDropped = Callable[[str], None]


def dropped_header_counter(metrics: Metrics) -> NoteDropped:
    """Return what counts dropped headers by kind: a line for each would help a flood along."""
    return lambda kind: metrics.count(f"headers_dropped.{kind}")


class HeaderOwners:
    """An interface's headers by who may set them. Never changed."""

    def __init__(self, owner_by_name: Mapping[str, Owner]) -> None:
        own = {name.lower(): owner for name, owner in owner_by_name.items()}
        self.owner_by_name: Mapping[str, Owner] = MappingProxyType({**_HTTP_OWNERS, **own})
        self._not_listable = _PLAIN_OPTIONS.union(self.owner_by_name)
        # By name, so that a header costs one look-up; a name without an entry goes on.
        self._from_callers = self._kinds(_KIND_FROM_CALLERS)
        self._from_upstreams = self._kinds(_KIND_FROM_UPSTREAMS)

    def from_caller(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return what of a caller's headers goes on to an upstream."""
        return self._forward(headers, self._from_callers, note)

    def from_upstream(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return what of an answer's headers goes on to its caller."""
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
        """Return the names that `Connection` lists and no table knows: the table goes first."""
        names = (option.strip().lower() for option in options.split(","))
        return [each for each in names if each not in self._not_listable]

    def _drop_listed(
        self, headers: list[tuple[str, str]], listed: set[str], note: NoteDropped
    ) -> Headers:
        kept = tuple(pair for pair in headers if pair[0].lower() not in listed)
        for _ in range(len(headers) - len(kept)):
            note(DROPPED_LISTED)
        return kept
