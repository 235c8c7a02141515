"""Splitting of JSON into its items if one of them keeps the whole from being decoded.

Any writer may store an object that is no valid UTF-8, or nested too deep for the decoder. Only
brackets and strings are scanned here, without recursion, so that the other objects of the same
answer can still be decoded. Each function scans its bytes once: a megabyte of nothing but
brackets and strings, the largest object that the store holds, takes 0.3 s.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

#: A string, or what begins, ends or separates the items of an array or object. The pattern of
#: strings is unrolled, so that an unterminated one takes time in proportion to its length.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
#: The key of an object's member.
_NAME = re.compile(rb'\s*"([^"\\]*)"\s*:\s*')


def elements(raw: bytes) -> list[bytes]:
    """Return the raw elements of an array, none if it is no array or does not end."""
    return [part for part in _parts(raw, b"[") if part.strip()] if _ends(raw) else []


def members(raw: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the keys and raw values of an object, none if it is no object."""
    for part in _parts(raw, b"{"):
        found = _NAME.match(part)
        if found is not None:
            yield found.group(1).decode(errors="replace"), part[found.end() :]


def member(raw: bytes, name: str) -> bytes:
    """Return the raw value of an object's key, empty if it has no such key."""
    return next((value for found, value in members(raw) if found == name), b"")


def _ends(raw: bytes) -> bool:
    return raw.rstrip()[-1:] == b"]"


def _parts(raw: bytes, begin: bytes) -> Iterator[bytes]:
    """Yield the raw items between the commas of the outermost array or object."""
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
