"""The subcommands."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import sys
import time
import uuid
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from pondhatch.cli._reports import (
    EXIT_DONE,
    EXIT_INPUT,
    EXIT_UNREACHABLE,
    print_edits,
    report,
    unreadable,
)
from pondhatch.configuration import (
    CHANGES_PER_SNAPSHOT,
    Change,
    Edit,
    Fleet,
    Published,
    checked,
    differences,
    load_settings,
    publish,
    read_files,
    read_fleet,
    write_snapshot,
)
from pondhatch.kernel import as_future, install_reactor
from pondhatch.observing import setup_logs
from pondhatch.store import Platform

Result = TypeVar("Result")

#: Seconds to wait for a router's admin port.
ADMIN_SECONDS = 5


def run(settings: Path) -> int:
    """Run a router until it is asked to stop by SIGTERM or SIGINT.

    :param settings: YAML file with the settings of this process
    """
    loaded = load_settings(settings)
    setup_logs(loaded.log.form, loaded.log.level, loaded.name)
    loop = install_reactor()
    from twisted.internet import reactor

    from pondhatch.cli._router_process import serve
    from pondhatch.transport import install_numeric_resolver

    install_numeric_resolver(reactor)
    _with_reactor(loop, serve(loaded, reactor, settings))
    return EXIT_DONE


def check(*files: Path) -> int:
    """Check files of services, templates and accounts without applying them.

    :param files: YAML files, or folders of them
    """
    sources = read_files(files)
    fleet = checked(Fleet(), sources, sources.edits)
    services, accounts = len(fleet.service_by_name), len(fleet.policy_by_account)
    print(f"ok: {services} services, {len(fleet.template_by_name)} templates, {accounts} accounts")
    return EXIT_DONE


def diff(*files: Path, platform: str, prune: bool = False) -> int:
    """Show what applying files would change, and every account it touches.

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
    """Apply files of services, templates and accounts: all of it, or nothing.

    :param files: YAML files, or folders of them
    :param platform: the platform's URL
    :param author: who makes the change; kept in its history
    :param note: why; kept in its history
    :param dry_run: only show what would change
    :param prune: also remove entries that are in force but not in the files
    """
    sources = read_files(files)

    async def work(store: Platform) -> int:
        fleet = await read_fleet(store, Fleet())
        if not isinstance(fleet, Fleet):
            return unreadable(fleet)
        edits = differences(fleet, sources, prune)
        edited = checked(fleet, sources, edits)
        print_edits(edits, fleet, edited)
        if dry_run or not edits:
            return EXIT_DONE
        change = _change(fleet, edits, author, note)
        outcome = await publish(store, change)
        if isinstance(outcome, Published):
            await _snapshot_if_due(store, edited, outcome.version)
        return report(outcome)

    return _with_platform(platform, work)


def undo(version: int, *, platform: str, author: str) -> int:
    """Take a change back, as a new change that restores what it replaced.

    :param version: the version of the change to take back
    :param platform: the platform's URL
    :param author: who takes it back
    """

    async def work(store: Platform) -> int:
        fleet = await read_fleet(store, Fleet())
        if not isinstance(fleet, Fleet):
            return unreadable(fleet)
        undone = next((each for each in fleet.recent if each.version == version), None)
        if undone is None:
            print(
                f"change {version} is not among those kept since the last snapshot", file=sys.stderr
            )
            return EXIT_INPUT
        before = await read_fleet(store, Fleet(), until=version - 1)
        if not isinstance(before, Fleet):
            return unreadable(before)
        edits = _inverse(before, undone)
        edited = fleet.with_edits(edits)
        if not isinstance(edited, Fleet):
            print(f"cannot take back change {version}: {edited}", file=sys.stderr)
            return EXIT_INPUT
        print_edits(edits, fleet, edited)
        outcome = await publish(store, _change(fleet, edits, author, f"takes back {version}"))
        if isinstance(outcome, Published):
            await _snapshot_if_due(store, edited, outcome.version)
        return report(outcome)

    return _with_platform(platform, work)


def show(*, platform: str, name: str = "") -> int:
    """Show the configuration that the platform holds, without keys.

    :param platform: the platform's URL
    :param name: show only this account
    """

    async def work(store: Platform) -> int:
        fleet = await read_fleet(store, Fleet())
        if not isinstance(fleet, Fleet):
            return unreadable(fleet)
        print(f"version {fleet.version}")
        for account, policy in sorted(fleet.policy_by_account.items()):
            if name in ("", account):
                print(f"{account}: {policy}")
        if name and name not in fleet.policy_by_account:
            print(f"no account {name!r}", file=sys.stderr)
            return EXIT_INPUT
        return EXIT_DONE

    return _with_platform(platform, work)


def history(*, platform: str) -> int:
    """Show the changes since the last snapshot: who, when, why, what.

    :param platform: the platform's URL
    """

    async def work(store: Platform) -> int:
        fleet = await read_fleet(store, Fleet())
        if not isinstance(fleet, Fleet):
            return unreadable(fleet)
        for change in fleet.recent:
            at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.made_at))
            what = ", ".join(f"{edit.kind} {edit.name}" for edit in change.edits)
            print(f"{change.version}  {at} UTC  {change.author}  {change.note or '-'}: {what}")
        return EXIT_DONE

    return _with_platform(platform, work)


def dump(*, admin: str, json: bool = False) -> int:
    """Show a router's state: members, engines, limits, the last decisions and why.

    :param admin: the router's admin address, as "IP:port"
    :param json: as JSON
    """
    content = _ask_router(admin, "state.json" if json else "state")
    if content is None:
        return EXIT_UNREACHABLE
    print(content.decode(), end="")
    return EXIT_DONE


def where(*, admin: str) -> int:
    """Show which version of the configuration each router has in force, the slowest first.

    :param admin: any router's admin address, as "IP:port"
    """
    content = _ask_router(admin, "state.json")
    if content is None:
        return EXIT_UNREACHABLE
    state = msgspec.json.decode(content)
    for member in sorted(state["members"], key=lambda each: (each["configuration"], each["name"])):
        print(f"{member['configuration']}  {member['name']}  {member['hall']}  {member['status']}")
    return EXIT_DONE


def new_key() -> int:
    """Make an API key: print the key for the caller and the hash for the account."""
    key = f"pk-{secrets.token_urlsafe(32)}"
    print(f"key: {key}")
    print(f"hash: {hashlib.sha256(key.encode()).hexdigest()}")
    return EXIT_DONE


COMMANDS = [run, check, diff, apply, undo, show, where, history, dump, new_key]


def _ask_router(admin: str, path: str) -> bytes | None:
    """Return a page of a router's admin port, or None where it cannot be reached."""

    async def work() -> bytes | None:
        import treq

        try:
            response = await as_future(treq.get(f"http://{admin}/{path}", timeout=ADMIN_SECONDS))
            content: bytes = await as_future(response.content())
        except Exception as error:
            print(f"cannot reach {admin}: {error}", file=sys.stderr)
            return None
        return content

    return _with_reactor(install_reactor(), work())


def _with_platform(url: str, work: Any) -> int:
    loop = install_reactor()

    async def connected() -> int:
        from pondhatch.standard import HttpPlatform

        code: int = await work(HttpPlatform(url))
        return code

    return _with_reactor(loop, connected())


def _with_reactor(loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on the one loop; return what it returns, raise what it raises."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    ended: list[asyncio.Task[Result]] = []

    async def guarded() -> None:
        task = asyncio.ensure_future(work)
        await asyncio.wait([task])
        ended.append(task)
        reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(guarded()))
    reactor.run(installSignalHandlers=False)
    return ended[0].result()


def _change(fleet: Fleet, edits: tuple[Edit, ...], author: str, note: str) -> Change:
    return Change(fleet.version + 1, uuid.uuid4().hex, author, time.time(), note, edits)


def _inverse(before: Fleet, undone: Change) -> tuple[Edit, ...]:
    """Return edits that restore what stood before a change."""
    return tuple(
        Edit(edit.kind, edit.name, before.value_or_none(edit.kind, edit.name))
        for edit in undone.edits
    )


async def _snapshot_if_due(store: Platform, edited: Fleet, version: int) -> None:
    if version % CHANGES_PER_SNAPSHOT != 0:
        return
    fleet = await read_fleet(store, Fleet())
    if isinstance(fleet, Fleet) and fleet.version >= version:
        await write_snapshot(store, fleet.snapshot())
