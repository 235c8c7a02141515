"""The command that shows the timeline of a request or an object from the routers' log lines."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import msgspec

from pondhatch.cli._reports import EXIT_DONE, EXIT_INPUT
from pondhatch.explaining import Timeline, build_timeline, read_lines


def explain(name: str, *files: Path, json: bool = False) -> int:
    """Show how a request ended or how an object's state changed, and what routers knew then.

    :param name: a request's id or digest, an upstream, a router, a hall, or a configuration's
        version
    :param files: log files of routers with "log: {form: lines}", of as many routers as possible
    :param json: print one JSON object
    """
    texts: list[str] = []
    for file in files:
        try:
            texts += file.read_text(errors="replace").splitlines()
        except OSError as error:
            print(f"{file}: {error.strerror}", file=sys.stderr)
            return EXIT_INPUT
    parsed = read_lines(texts)
    timeline = build_timeline(name, parsed.lines)
    if not timeline.events:
        counts = f"{len(parsed.lines)} lines, {parsed.skipped} others"
        print(f"nothing is said of {name!r} in {len(files)} files ({counts})", file=sys.stderr)
        return EXIT_INPUT
    print(msgspec.json.encode(timeline).decode() if json else _format_timeline(timeline))
    return EXIT_DONE


def _format_timeline(timeline: Timeline) -> str:
    lines = [f"{_format_time(each.at)}  {each.router}: {each.text}" for each in timeline.events]
    if timeline.known:
        lines += ["", "What its router held to be so as it ended:"]
        lines += [f"  since {_format_time(each.at)}: {each.text}" for each in timeline.known]
    return "\n".join(lines)


def _format_time(at: float) -> str:
    return f"{time.strftime('%H:%M:%S', time.gmtime(at))}.{int(at % 1 * 1000):03d}"
