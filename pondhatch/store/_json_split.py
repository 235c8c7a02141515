"""Splitting of JSON into its items, for answers in which an item cannot be decoded.

Any writer may store an object that is not valid UTF-8 or is nested too deep to decode. Only
brackets and strings are scanned here, without recursion, so that the other objects of the same
answer can still be decoded. Each function scans its bytes once: a megabyte of nothing but
brackets and strings, the largest object that the store holds, takes 0.3 s.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

#: Exceptions of decoding bytes that are not valid JSON or are nested too deep.
JSON_ERRORS = (msgspec.DecodeError, RecursionError)

#: A string, or a bracket or comma outside of strings. The pattern of strings is unrolled,
#: so that an unterminated one takes time in proportion to its length.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
#: The key of an object's member.
_KEY = re.compile(rb'\s*"([^"\\]*)"\s*:\s*')


def elements(raw: bytes) -> list[bytes]:
    """Return the raw elements of an array. Raises msgspec.DecodeError if it is none."""
    stripped = raw.strip()
    if stripped[:1] != b"[" or stripped[-1:] != b"]":
        raise msgspec.DecodeError("not an array")
    return [part for part in _raw_items(raw, b"[") if part.strip()]


def members(raw: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the keys and raw values of an object; none if it is not an object."""
    for part in _raw_items(raw, b"{"):
        match = _KEY.match(part)
        if match is not None:
            yield match.group(1).decode(errors="replace"), part[match.end() :]


def member(raw: bytes, wanted_key: str) -> bytes:
    """Return the raw value of an object's key, empty if it has no such key."""
    return next((value for key, value in members(raw) if key == wanted_key), b"")


def _raw_items(raw: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield the raw items between the commas of the outermost array or object."""
    if raw.lstrip()[:1] != opening:
        return
    depth = start = 0
    for match in _TOKEN.finditer(raw):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            start = match.end() if depth == 1 else start
        elif token in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                yield raw[start : match.start()]
                return
        elif token == b"," and depth == 1:
            yield raw[start : match.start()]
            start = match.end()
