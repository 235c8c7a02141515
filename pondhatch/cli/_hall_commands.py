"""The commands that begin and end the evacuation of a data hall."""

from __future__ import annotations

import sys
from collections import Counter

from pondhatch.cli._event_loop import run_on_reactor
from pondhatch.cli._reports import (
    EXIT_CONFLICT,
    EXIT_DONE,
    EXIT_INPUT,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
)
from pondhatch.kernel import install_reactor
from pondhatch.router import EVACUATION_KIND, UPSTREAM_KIND
from pondhatch.store import (
    IN_FORCE,
    LIVE,
    Accepted,
    Conflict,
    Evacuations,
    Found,
    Listed,
    OutcomeUnknown,
    Platform,
    Unavailable,
    Upstream,
    UpstreamReader,
)


def evacuate(hall: str, *, platform: str, dry_run: bool = False) -> int:
    """Send no new requests to a data hall's upstreams; requests that run there finish there.

    First shows, by service, how many upstreams this removes and how many are left.

    :param hall: the data hall, as upstreams name it
    :param platform: the platform's URL
    :param dry_run: only show the effect
    """
    return _run_set_evacuation(hall, platform, in_force=True, dry_run=dry_run)


def reopen(hall: str, *, platform: str, dry_run: bool = False) -> int:
    """End a data hall's evacuation, so that its upstreams are used again.

    :param hall: the data hall, as upstreams name it
    :param platform: the platform's URL
    :param dry_run: only show the effect
    """
    return _run_set_evacuation(hall, platform, in_force=False, dry_run=dry_run)


def _run_set_evacuation(hall: str, url: str, in_force: bool, dry_run: bool) -> int:
    install_reactor()

    async def work() -> int:
        from pondhatch.standard import HttpPlatform

        return await set_evacuation(HttpPlatform(url), hall, in_force, dry_run)

    return run_on_reactor(work())


async def set_evacuation(platform: Platform, hall: str, in_force: bool, dry_run: bool) -> int:
    """Print the effect of beginning or ending an evacuation, then write it unless in a dry run.

    Returns the exit code.
    """
    listed = await platform.list(UPSTREAM_KIND)
    listed_evacuations = await platform.list(EVACUATION_KIND)
    if isinstance(listed, Unavailable) or isinstance(listed_evacuations, Unavailable):
        print("cannot reach the platform; nothing was done", file=sys.stderr)
        return EXIT_UNREACHABLE
    live = _live_upstreams(listed)
    if hall not in {upstream.hall for upstream in live}:
        known_halls = ", ".join(sorted({upstream.hall for upstream in live})) or "none"
        print(
            f"HALL: no live upstream is in {hall!r}; expected one of: {known_halls}",
            file=sys.stderr,
        )
        return EXIT_INPUT
    evacuations = Evacuations()
    evacuations.apply_listing(listed_evacuations, now=0.0)
    others = evacuations.halls - {hall}
    _print_effect(live, hall, others | {hall} if in_force else others, in_force)
    return EXIT_DONE if dry_run else await _write(platform, hall, in_force)


async def _write(platform: Platform, hall: str, in_force: bool) -> int:
    known = await platform.get(EVACUATION_KIND, hall)
    if isinstance(known, Unavailable):
        print("cannot reach the platform; nothing was done", file=sys.stderr)
        return EXIT_UNREACHABLE
    value = {IN_FORCE: in_force}
    if isinstance(known, Found):
        version = known.object.version
        return _report_write(await platform.update(EVACUATION_KIND, hall, value, version))
    return _report_write(await platform.create(EVACUATION_KIND, hall, value))


def _report_write(written: Accepted | Conflict | OutcomeUnknown | Unavailable) -> int:
    """Print the outcome of a write; return the exit code."""
    if isinstance(written, Accepted):
        print("accepted; in force at every router within seconds")
        return EXIT_DONE
    if isinstance(written, Conflict):
        print("conflict: another change came first; nothing was done", file=sys.stderr)
        return EXIT_CONFLICT
    if isinstance(written, Unavailable):
        print(f"nothing was done: {written.reason}", file=sys.stderr)
        return EXIT_UNREACHABLE
    print(f"unknown: it may be in force ({written.reason}); run the command again", file=sys.stderr)
    return EXIT_UNKNOWN


def _live_upstreams(listed: Listed) -> list[Upstream]:
    entries = UpstreamReader().read_listing(listed).entries
    return [each.upstream for each in entries if each.upstream.state == LIVE]


def _print_effect(
    live: list[Upstream], hall: str, evacuated_halls: frozenset[str], in_force: bool
) -> None:
    """Print, for each service in the hall, how many upstreams are left to serve it."""
    upstreams_in_hall = Counter(each.service for each in live if each.hall == hall)
    remaining = Counter(each.service for each in live if each.hall not in evacuated_halls)
    print(f"{hall} is {'evacuated' if in_force else 'open'}:")
    for service, count in sorted(upstreams_in_hall.items()):
        effect = "get no new requests" if in_force else "are used again"
        print(f"  {service}: {count} upstreams {effect}, {remaining[service]} available")
        if not remaining[service]:
            print(f"  {service}: no upstream is left, its requests are refused")
