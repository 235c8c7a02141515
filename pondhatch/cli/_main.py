"""The command line: ``pondhatch COMMAND``.

Exit codes: 0 done; 1 the input or configuration is invalid, nothing was done;
2 wrong usage; 3 another change came first, nothing was done; 4 the platform or
router cannot be reached, nothing was done; 5 the outcome is unknown.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from pondhatch import __version__
from pondhatch._early_port import LISTEN_OPTION, open_early
from pondhatch._early_signals import handle_early
from pondhatch.cli._reports import EXIT_INPUT
from pondhatch.cli._run_command import run
from pondhatch.configuration import ConfigurationError
from pondhatch.kernel import enable_garbage_collection


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        code = _dispatch(arguments)
    except ConfigurationError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_INPUT
    except KeyboardInterrupt:
        return EXIT_INPUT
    return int(code)


def _dispatch(arguments: list[str]) -> int:
    handle_early(arguments)
    open_early(arguments)
    if arguments[:1] == [run.__name__] and len(arguments) > 1 and arguments[1][:1] != "-":
        # Callers may wait for a router to start, and it runs for long. Parsing its arguments here
        # avoids importing the other commands and defopt, which take 0.1 s and 7 MB.
        if len(arguments) == 2:
            return run(Path(arguments[1]))
        if len(arguments) == 4 and arguments[2] == LISTEN_OPTION:
            return run(Path(arguments[1]), listen=arguments[3])
    import defopt

    from pondhatch.cli._commands import COMMANDS

    enable_garbage_collection()
    code: int = defopt.run(
        COMMANDS,
        argv=arguments,
        version=__version__,
        short={},
        no_negated_flags=True,
        argparse_kwargs={"prog": "pondhatch", "description": __doc__},
    )
    return code
