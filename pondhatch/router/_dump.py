"""The state dump, built of registered sections that each read the views they declare.

A new section is a class that registers itself, among the others or in any module that is imported;
the dump then includes it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol, cast

from pondhatch.kernel import REGISTRY
from pondhatch.router._authority import Authority
from pondhatch.router._dump_sections import SECTION_KIND, Counters, Dump
from pondhatch.router._state import RouterState


class Section(Protocol):
    """A part of the dump."""

    def content(self) -> Dump:
        """Return the section's keys; never an API key nor the hash of one."""


def dump_state(state: RouterState, authority: Authority, counters: Mapping[str, Any]) -> Dump:
    """Return a router's state as plain data; sections follow in the order of their names."""
    views = {RouterState: state, Authority: authority, Counters: Counters(counters)}
    dump: Dump = {}
    for name in REGISTRY.names(SECTION_KIND):
        section = cast(Section, REGISTRY.build(SECTION_KIND, name, views))
        dump.update(section.content())
    return dump
