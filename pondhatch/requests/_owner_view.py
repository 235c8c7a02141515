"""Interface through which the owner's side reads its router's state."""

from __future__ import annotations

from typing import Protocol

from pondhatch.requests._sending import Target


class OwnerView(Protocol):
    """The parts of the router's state that the owner's side reads."""

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None if it is unknown."""

    def owner_name(self, engine: str) -> str | None:
        """Return the router that owns an engine in this router's view."""

    def elsewhere_in_flight(self, engine: str) -> int:
        """Return the in-flight total of the service's other engines."""

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined recently."""

    def is_draining(self) -> bool:
        """Return whether this router is draining."""

    def is_load_managed(self) -> bool:
        """Return whether load management is on."""
