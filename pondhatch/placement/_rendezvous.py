"""Rendezvous hashing: every router ranks the same names the same way."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

#: Bytes of a hash score; 64 bits make ties negligible.
SCORE_BYTES = 8


def score(key: str, name: str) -> int:
    """Return the 64-bit score of a name for a key; the highest score wins."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=SCORE_BYTES)
    return int.from_bytes(digest.digest(), "big")


def ranked(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names, best first, in the order that every router agrees on."""
    return tuple(sorted(names, key=lambda name: (score(key, name), name), reverse=True))


def winner(key: str, names: Iterable[str]) -> str | None:
    """Return the best name for a key, or None where there are no names."""
    return max(names, key=lambda name: (score(key, name), name), default=None)
