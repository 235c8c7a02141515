"""The commands, in the order in which the help lists them."""

from __future__ import annotations

from pondhatch.cli._change_commands import apply, check, diff, undo
from pondhatch.cli._explain_command import explain
from pondhatch.cli._hall_commands import evacuate, reopen
from pondhatch.cli._key_commands import new_key
from pondhatch.cli._router_commands import dump, lift, where
from pondhatch.cli._run_command import run
from pondhatch.cli._view_commands import history, show

COMMANDS = [
    run,
    check,
    diff,
    apply,
    undo,
    show,
    where,
    history,
    evacuate,
    reopen,
    dump,
    explain,
    lift,
    new_key,
]
