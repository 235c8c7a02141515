"""Run a stand-in as a process: ``python -m fakes engine|plain|platform|...``."""

from __future__ import annotations

import sys

from pondhatch._early_port import RUN_COMMAND
from pondhatch._early_signals import handle_early

# A diverted router handles signals as early as any other: the imports below take half a second.
handle_early([RUN_COMMAND] if sys.argv[1:2] == ["diverted-router"] else [])

from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import defopt  # noqa: E402

from pondhatch.kernel import install_reactor  # noqa: E402


def engine(
    *,
    name: str,
    port: int = 0,
    slots: int = 8,
    step: float = 0.005,
    cache_tokens: int = 50_000,
    checks_fencing: bool = False,
) -> None:
    """Run a model engine.

    :param name: its name
    :param port: TCP port on loopback; 0 takes a free one
    :param slots: requests that run concurrently
    :param step: seconds between two tokens of one request
    :param cache_tokens: size of the prefix cache, in tokens
    :param checks_fencing: refuse orders with an old fencing number
    """
    install_reactor()
    from fakes._engine import Engine, EngineSettings

    settings = EngineSettings(
        name,
        slots=slots,
        token_interval=step,
        cache_tokens=cache_tokens,
        checks_fencing=checks_fencing,
    )
    engine = Engine(settings)
    _listen(engine.app, port, engine.surplus)


def plain(*, name: str, port: int = 0, idle_seconds: int = 0) -> None:
    """Run an instance of a plain service.

    :param name: its name
    :param port: TCP port on loopback; 0 takes a free one
    :param idle_seconds: how long it states to keep idle connections; 0 to state nothing
    """
    install_reactor()
    from fakes._plain import PlainService

    service = PlainService(name, idle_seconds)
    _listen(service.app, port, service.surplus)


def platform(*, port: int = 0) -> None:
    """Run the platform.

    :param port: TCP port on loopback; 0 takes a free one
    """
    install_reactor()
    from fakes._platform import PlatformFake

    _listen(PlatformFake().app, port)


def machines_store(*, port: int = 0) -> None:
    """Run the prepared machines' store.

    :param port: TCP port on loopback; 0 takes a free one
    """
    install_reactor()
    from fakes._machines_store import MachinesStoreFake

    _listen(MachinesStoreFake().app, port)


def machines_engine(
    *,
    name: str,
    port: int = 0,
    software_version: str = "",
    events: int = 6,
    event_interval: float = 0.02,
) -> None:
    """Run an engine of the prepared machines.

    :param name: its id
    :param port: TCP port on loopback; 0 takes a free one
    :param software_version: version of its software, which the events of its streams name
    :param events: events in a stream
    :param event_interval: seconds between two events
    """
    install_reactor()
    from fakes._machines_engine import MachinesEngine

    engine = MachinesEngine(name, software_version, events, event_interval)
    _listen(engine.app, port, engine.surplus)


def diverted_router(settings: Path, *, diversions: Path) -> None:
    """Run a router whose connections to some addresses go elsewhere, as on paths of its own.

    :param settings: its settings file
    :param diversions: JSON object with the port to connect to by "IP:port"
    """
    from fakes._diverted_router import divert_connections
    from pondhatch.cli import main

    divert_connections(diversions)
    raise SystemExit(main(["run", str(settings)]))


def _listen(app: Any, port: int, surplus: Any = None) -> None:
    from twisted.internet import reactor as installed
    from twisted.web.server import Site

    from fakes._surplus import RepeatingSite

    reactor: Any = installed
    resource = app.resource()
    site = Site(resource) if surplus is None else RepeatingSite(resource, surplus)
    site.log = lambda request: None  # type: ignore[method-assign]
    bound = reactor.listenTCP(port, site, interface="127.0.0.1")
    print(f"listening {bound.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    defopt.run([engine, plain, platform, machines_store, machines_engine, diverted_router])
