"""The plug-in registry, the shared event loop, and helpers that every process needs."""

from pondhatch.kernel._addresses import host_and_port
from pondhatch.kernel._backoff import Backoff
from pondhatch.kernel._garbage_collection import enable_garbage_collection
from pondhatch.kernel._loop import Tasks, as_deferred, as_future, install_reactor
from pondhatch.kernel._registry import REGISTRY, Plugin, Registry, RegistryError
from pondhatch.kernel._standstill import Standstill
from pondhatch.kernel._wire_form import without_defaults

__all__ = [
    "REGISTRY",
    "Backoff",
    "Plugin",
    "Registry",
    "RegistryError",
    "Standstill",
    "Tasks",
    "as_deferred",
    "as_future",
    "enable_garbage_collection",
    "host_and_port",
    "install_reactor",
    "without_defaults",
]
