"""The commands that show the configuration and its history."""

from __future__ import annotations

import sys
import time

from pondhatch.cli._configuration_task import run_with_configuration
from pondhatch.cli._reports import EXIT_DONE, EXIT_INPUT
from pondhatch.configuration import FleetConfiguration
from pondhatch.store import Platform


def show(*, platform: str, name: str = "") -> int:
    """Show the configuration that the platform stores, without keys.

    :param platform: the platform's URL
    :param name: show only this account
    """

    async def work(_: Platform, configuration: FleetConfiguration) -> int:
        print(f"version {configuration.version}")
        for account, policy in sorted(configuration.policy_by_account.items()):
            if name in ("", account):
                print(f"{account}: {policy}")
        if name and name not in configuration.policy_by_account:
            print(f"no account {name!r}", file=sys.stderr)
            return EXIT_INPUT
        return EXIT_DONE

    return run_with_configuration(platform, work)


def history(*, platform: str) -> int:
    """Show the changes since the last snapshot: time, author, note and entries.

    :param platform: the platform's URL
    """

    async def work(_: Platform, configuration: FleetConfiguration) -> int:
        for change in configuration.recent_changes:
            at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.made_at))
            entries = ", ".join(f"{edit.kind} {edit.name}" for edit in change.edits)
            print(f"{change.version}  {at} UTC  {change.author}  {change.note or '-'}: {entries}")
        return EXIT_DONE

    return run_with_configuration(platform, work)
