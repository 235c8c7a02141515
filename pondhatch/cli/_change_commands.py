"""The commands that change the configuration, or show what a change would do."""

from __future__ import annotations

import sys
import time
import uuid
from pathlib import Path

from pondhatch.cli._configuration_task import run_with_configuration
from pondhatch.cli._reports import (
    EXIT_DONE,
    EXIT_INPUT,
    print_edits,
    report_outcome,
    report_unreadable,
)
from pondhatch.configuration import (
    CHANGES_PER_SNAPSHOT,
    Change,
    Edit,
    FleetConfiguration,
    Published,
    changed_edits,
    checked_configuration,
    publish,
    read_configuration,
    read_files,
    write_snapshot,
)
from pondhatch.store import Platform


def check(*files: Path) -> int:
    """Check files of services, templates and accounts without applying them.

    :param files: YAML files, or folders of them
    """
    entries = read_files(files)
    checked = checked_configuration(FleetConfiguration(), entries, entries.edits)
    services, accounts = len(checked.service_by_name), len(checked.policy_by_account)
    print(
        f"ok: {services} services, {len(checked.template_by_name)} templates, {accounts} accounts"
    )
    return EXIT_DONE


def diff(*files: Path, platform: str, prune: bool = False) -> int:
    """Show what applying files would change, and every account that is affected.

    :param files: YAML files, or folders of them
    :param platform: the platform's URL
    :param prune: also show entries that are in force but not in the files
    """
    return apply(*files, platform=platform, author="", dry_run=True, prune=prune)


def apply(
    *files: Path,
    platform: str,
    author: str,
    note: str = "",
    dry_run: bool = False,
    prune: bool = False,
) -> int:
    """Apply files of services, templates and accounts, either completely or not at all.

    :param files: YAML files, or folders of them
    :param platform: the platform's URL
    :param author: who makes the change; kept in the history
    :param note: the reason of the change; kept in the history
    :param dry_run: only show what would change
    :param prune: also remove entries that are in force but not in the files
    """
    entries = read_files(files)

    async def work(store: Platform, configuration: FleetConfiguration) -> int:
        edits = changed_edits(configuration, entries, prune)
        edited = checked_configuration(configuration, entries, edits)
        print_edits(edits, configuration, edited)
        if dry_run or not edits:
            return EXIT_DONE
        return await _publish(store, _new_change(configuration, edits, author, note), edited)

    return run_with_configuration(platform, work)


def undo(version: int, *, platform: str, author: str) -> int:
    """Revert a change by a new change that restores the replaced entries.

    :param version: the version of the change to revert
    :param platform: the platform's URL
    :param author: who reverts it; kept in the history
    """

    async def work(store: Platform, configuration: FleetConfiguration) -> int:
        undone = next(
            (each for each in configuration.recent_changes if each.version == version), None
        )
        if undone is None:
            print(
                f"change {version} is not among those kept since the last snapshot", file=sys.stderr
            )
            return EXIT_INPUT
        before = await read_configuration(store, FleetConfiguration(), until_version=version - 1)
        if not isinstance(before, FleetConfiguration):
            return report_unreadable(before)
        edits = _inverse_edits(before, undone)
        edited = configuration.with_edits(edits)
        if not isinstance(edited, FleetConfiguration):
            print(f"cannot revert change {version}: {edited}", file=sys.stderr)
            return EXIT_INPUT
        print_edits(edits, configuration, edited)
        change = _new_change(configuration, edits, author, f"takes back {version}")
        return await _publish(store, change, edited)

    return run_with_configuration(platform, work)


def _new_change(
    configuration: FleetConfiguration, edits: tuple[Edit, ...], author: str, note: str
) -> Change:
    return Change(configuration.version + 1, uuid.uuid4().hex, author, time.time(), note, edits)


def _inverse_edits(before: FleetConfiguration, undone: Change) -> tuple[Edit, ...]:
    """Return edits that restore the entries as they were before a change."""
    return tuple(
        Edit(edit.kind, edit.name, before.entry_or_none(edit.kind, edit.name))
        for edit in undone.edits
    )


async def _publish(store: Platform, change: Change, edited: FleetConfiguration) -> int:
    """Publish a change, print the outcome and return the exit code."""
    outcome = await publish(store, change)
    if isinstance(outcome, Published):
        await _snapshot_if_due(store, edited, outcome.version)
    return report_outcome(outcome)


async def _snapshot_if_due(store: Platform, edited: FleetConfiguration, version: int) -> None:
    if version % CHANGES_PER_SNAPSHOT != 0:
        return
    configuration = await read_configuration(store, FleetConfiguration())
    if isinstance(configuration, FleetConfiguration) and configuration.version >= version:
        await write_snapshot(store, configuration.snapshot())
