"""Rendezvous hashing: every router ranks the same names the same way.

XXH3 with the key as its seed costs a tenth of a keyed blake2b. A cryptographic hash is not
needed, since an attacker who can choose where a hash falls gains nothing.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable

import xxhash

from pondhatch.placement._starts import upstream_id_of

#: Size of the cache of encoded names: three times the upstreams and routers of the largest
#: supported fleet. A cached lookup costs no more than encoding a name again.
NAME_CACHE_SIZE = 8192


@functools.lru_cache(maxsize=NAME_CACHE_SIZE)
def _hashed_part(name: str) -> bytes:
    """Return the upstream id in a name, so that an upstream keeps its rank when it restarts."""
    return upstream_id_of(name).encode()


def scorer(key: str) -> Callable[[str], int]:
    """Return a function from a name to its 64-bit score for a key; the highest score wins."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    digest = xxhash.xxh3_64_intdigest
    return lambda name: digest(_hashed_part(name), seed)


def ranked(key: str, names: Iterable[str], limit: int | None = None) -> tuple[str, ...]:
    """Return the names, best first, in an order that is the same at every router.

    ``limit`` is the maximum number of names returned, None for all.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    digest = xxhash.xxh3_64_intdigest
    # Building the list of scores inline costs half as much as a sort with a key function.
    scored = [(digest(_hashed_part(name), seed), name) for name in names]
    scored.sort(reverse=True)
    return tuple([name for _, name in scored[:limit]])


def winner(key: str, names: Iterable[str]) -> str | None:
    """Return the best name for a key, or None where there are no names."""
    return max(names, key=scorer(key), default=None)
