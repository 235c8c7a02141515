"""Prints the results of commands and defines their exit codes."""

from __future__ import annotations

import sys

from pondhatch.configuration import (
    Edit,
    FleetConfiguration,
    Inconsistent,
    LostRace,
    NotWritten,
    Published,
    PublishOutcome,
)
from pondhatch.store import Unavailable

EXIT_DONE = 0
EXIT_INPUT = 1
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5


def print_edits(
    edits: tuple[Edit, ...], before: FleetConfiguration, after: FleetConfiguration
) -> None:
    """Print what edits change, and every account that they affect."""
    for edit in edits:
        exists = (edit.kind, edit.name) in before.raw_by_entry
        sign = "-" if edit.value is None else "~" if exists else "+"
        print(f"{sign} {edit.kind} {edit.name}")
    affected_accounts = [
        account
        for account, policy in after.policy_by_account.items()
        if before.policy_by_account.get(account, policy) != policy
    ]
    for account in sorted(affected_accounts):
        print(f"  changes account {account}: {after.policy_by_account[account]}")
    if not edits:
        print("nothing to change")


def report_outcome(outcome: PublishOutcome) -> int:
    """Print the outcome of a change; return the exit code."""
    if isinstance(outcome, Published):
        print(f"accepted as version {outcome.version}")
        return EXIT_DONE
    if isinstance(outcome, LostRace):
        winner = outcome.winner
        print(f"conflict: {winner.author} made change {winner.version} first:", file=sys.stderr)
        for edit in winner.edits:
            print(f"  {edit.kind} {edit.name}: {edit.value}", file=sys.stderr)
        print("your change was not applied; review the other one and apply again", file=sys.stderr)
        return EXIT_CONFLICT
    if isinstance(outcome, NotWritten):
        print(f"nothing was applied: {outcome.reason}", file=sys.stderr)
        return EXIT_UNREACHABLE
    if isinstance(outcome, Inconsistent):
        print(f"nothing was applied: {outcome.reason}", file=sys.stderr)
        return EXIT_INPUT
    print(
        f"unknown: change {outcome.change_id} may be in force as version {outcome.version}"
        f" ({outcome.reason}); see 'pondhatch history'",
        file=sys.stderr,
    )
    return EXIT_UNKNOWN


def report_unreadable(found: Unavailable | Inconsistent) -> int:
    """Print why the configuration cannot be read; return the exit code."""
    print(f"cannot read the configuration: {found.reason}", file=sys.stderr)
    return EXIT_UNREACHABLE if isinstance(found, Unavailable) else EXIT_INPUT
