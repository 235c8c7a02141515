"""The command that runs a router."""

from __future__ import annotations

from pathlib import Path

from pondhatch.cli._event_loop import run_on_reactor
from pondhatch.cli._reports import EXIT_DONE
from pondhatch.configuration import load_settings
from pondhatch.kernel import install_reactor
from pondhatch.observing import setup_logs


def run(settings: Path) -> int:
    """Run a router until it is asked to stop by SIGTERM or SIGINT.

    :param settings: YAML file with the settings of this process
    """
    loaded = load_settings(settings)
    setup_logs(loaded.log.form, loaded.log.level, loaded.name)
    install_reactor()
    from twisted.internet import reactor

    from pondhatch.cli._router_process import serve
    from pondhatch.transport import install_numeric_resolver

    install_numeric_resolver(reactor)
    run_on_reactor(serve(loaded, reactor, settings))
    return EXIT_DONE
