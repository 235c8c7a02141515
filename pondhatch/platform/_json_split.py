"""Splitting JSON into its parts where one part keeps the whole from being read.

Anyone may write an object to the store: bytes that are no text, or tables nested so deep that
the decoder gives up. Here only brackets and texts are looked at, without recursion, so that
the other objects of the same answer can still be read. Each function goes through its bytes
once: a megabyte of brackets and texts alone, the most that an object holds, takes 0.3 s.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

#: A text, or what begins, ends or divides a list or table. Unrolled, so that a text that does
#: not end costs no more than its length.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
#: The name of a value of a table.
_NAME = re.compile(rb'\s*"([^"\\]*)"\s*:\s*')


def elements(raw: bytes) -> list[bytes]:
    """Return the elements of a list as they stand; none where it is none, or does not end."""
    return [part for part in _parts(raw, b"[") if part.strip()] if _ends(raw) else []


def members(raw: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the names and values of a table as they stand; none where it is none."""
    for part in _parts(raw, b"{"):
        found = _NAME.match(part)
        if found is not None:
            yield found.group(1).decode(errors="replace"), part[found.end() :]


def member(raw: bytes, name: str) -> bytes:
    """Return a value of a table as it stands, empty where there is none of that name."""
    return next((value for found, value in members(raw) if found == name), b"")


def _ends(raw: bytes) -> bool:
    return raw.rstrip()[-1:] == b"]"


def _parts(raw: bytes, begin: bytes) -> Iterator[bytes]:
    """Yield what stands between the commas of the outermost list or table."""
    if raw.lstrip()[:1] != begin:
        return
    depth = start = 0
    for found in _TOKEN.finditer(raw):
        token = found.group()
        if token in (b"[", b"{"):
            depth += 1
            start = found.end() if depth == 1 else start
        elif token in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                yield raw[start : found.start()]
                return
        elif token == b"," and depth == 1:
            yield raw[start : found.start()]
            start = found.end()
