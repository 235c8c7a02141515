"""The command that runs a router."""

from __future__ import annotations

from pathlib import Path

from pondhatch._early_port import LISTEN_OPTION
from pondhatch.cli._event_loop import run_on_reactor
from pondhatch.cli._reports import EXIT_DONE
from pondhatch.configuration import ConfigurationError, Problem, Settings, load_settings
from pondhatch.kernel import host_and_port, install_reactor
from pondhatch.observing import setup_logs


def run(settings: Path, *, listen: str | None = None) -> int:
    """Run a router until it is asked to stop by SIGTERM or SIGINT.

    :param settings: YAML file with the settings of this process
    :param listen: IP:PORT of the callers' address in the settings; that port then accepts
        connections while the program is still loading, so that callers wait instead of being
        refused
    """
    loaded = load_settings(settings)
    if listen is not None:
        _check_address(settings, loaded, listen)
    setup_logs(loaded.log.form, loaded.log.level, loaded.name)
    install_reactor()
    from twisted.internet import reactor

    from pondhatch.cli._serving import serve
    from pondhatch.transport import install_numeric_resolver

    install_numeric_resolver(reactor)
    run_on_reactor(serve(loaded, reactor, settings))
    return EXIT_DONE


def _check_address(settings: Path, loaded: Settings, listen: str) -> None:
    """Raise ConfigurationError if the address opened early is not that of the callers' port."""
    callers = loaded.callers
    if host_and_port(listen) != (callers.host, callers.port):
        expected = f"expected the address given by {LISTEN_OPTION}, {listen!r}"
        found = f"found {callers.host}:{callers.port}"
        raise ConfigurationError(
            (Problem(str(settings), 0, "callers.address", f"{expected}, {found}"),)
        )
