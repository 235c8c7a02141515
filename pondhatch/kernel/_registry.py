"""The plug-in registry.

A plug-in is a class that registers itself under a kind and a name, and declares in the class
attribute ``DEPENDENCIES`` the types of its views, the objects that it uses. The registry passes it
instances of just these when it builds it, so no plug-in looks up another.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, ClassVar, TypeVar

import msgspec

PluginType = TypeVar("PluginType", bound="type[Plugin]")
View = TypeVar("View")


class RegistryError(Exception):
    """A plug-in is unknown, registered twice, or lacks a dependency."""


class Plugin:
    """Base class of plug-ins, which receive only the views that they declare."""

    #: Types of the views that the plug-in uses.
    DEPENDENCIES: ClassVar[tuple[type[Any], ...]] = ()

    def __init__(self, views: Mapping[type[Any], Any]) -> None:
        self._views = views

    def view(self, view_type: type[View]) -> View:
        """Return a declared dependency. Raises RegistryError for an undeclared one."""
        if view_type not in self.DEPENDENCIES:
            raise RegistryError(f"{type(self).__name__} does not declare {view_type.__name__}")
        found: View = self._views[view_type]
        return found


class Registry(msgspec.Struct):
    """Plug-in classes by kind and name."""

    #: Classes by (kind, name).
    by_kind_and_name: dict[tuple[str, str], type[Plugin]] = msgspec.field(default_factory=dict)

    def register(self, kind: str, name: str) -> Callable[[PluginType], PluginType]:
        """Return a class decorator that registers the class under a kind and a name.

        The decorator raises RegistryError if the name is taken.
        """

        def record(plugin: PluginType) -> PluginType:
            if (kind, name) in self.by_kind_and_name:
                raise RegistryError(f"{kind} {name!r} is registered twice")
            self.by_kind_and_name[kind, name] = plugin
            return plugin

        return record

    def names(self, kind: str) -> tuple[str, ...]:
        """Return the names registered under a kind, sorted."""
        return tuple(sorted(name for each, name in self.by_kind_and_name if each == kind))

    def build(self, kind: str, name: str, views: Mapping[type[Any], Any]) -> Plugin:
        """Build a plug-in, passing only the views that it declares.

        Raises RegistryError for an unknown name or a missing view.
        """
        plugin = self.by_kind_and_name.get((kind, name))
        if plugin is None:
            known = ", ".join(self.names(kind)) or "none"
            raise RegistryError(f"no {kind} named {name!r}; known: {known}")
        missing = [
            view_type.__name__ for view_type in plugin.DEPENDENCIES if view_type not in views
        ]
        if missing:
            raise RegistryError(f"{kind} {name!r} needs {', '.join(missing)}")
        return plugin({view_type: views[view_type] for view_type in plugin.DEPENDENCIES})


#: The registry of the plug-ins that pondhatch ships.
REGISTRY = Registry()
