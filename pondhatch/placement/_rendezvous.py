"""Rendezvous hashing: every router ranks the same names the same way.

XXH3 with the key as its seed costs a tenth of a keyed blake2b; nobody gains by
choosing where a hash falls, so a cryptographic one is not needed.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable

import xxhash

from pondhatch.placement._starts import upstream_id_of

#: Names of which the part that is hashed is kept: three times the upstreams and routers of the
#: size to design for. Kept, it costs no more than encoding a name anew.
NAME_CACHE_SIZE = 8192


@functools.lru_cache(maxsize=NAME_CACHE_SIZE)
def _hashed_part(name: str) -> bytes:
    return upstream_id_of(name).encode()


def scorer(key: str) -> Callable[[str], int]:
    """Return a function from name to its 64-bit score for a key; the highest wins."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    digest = xxhash.xxh3_64_intdigest
    return lambda name: digest(_hashed_part(name), seed)


def ranked(key: str, names: Iterable[str], limit: int | None = None) -> tuple[str, ...]:
    """Return the names, best first, in the order that every router agrees on.

    ``most`` asks for only so many of them.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    digest = xxhash.xxh3_64_intdigest
    # A list of scores built in place costs half of a key function's calls.
    scored = [(digest(_hashed_part(name), seed), name) for name in names]
    scored.sort(reverse=True)
    return tuple([name for _, name in scored[:limit]])


def winner(key: str, names: Iterable[str]) -> str | None:
    """Return the best name for a key, or None where there are no names."""
    return max(names, key=scorer(key), default=None)
