"""Weighted rendezvous hashing: each name wins keys in proportion to its weight.

A name's rating for a key is -weight / ln(score as a fraction); the highest wins. A change of one
name's weight moves only keys that this name gains or loses. Names of equal weight have the order
of plain rendezvous hashing.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from pondhatch.placement._rendezvous import ranked, scorer, winner

#: Dropped low bits of a score, and the number of values that remain: with one half added, each
#: fraction fits a float's 53 bits, so that none is rounded to 0 or 1.
_DROPPED_BITS = 12
_STEPS = 2.0**52


def weighted_ranked(key: str, weight_by_name: Mapping[str, float]) -> tuple[str, ...]:
    """Return the names, best first, in an order that is the same at every router."""
    if _are_equal(weight_by_name):
        return ranked(key, weight_by_name)
    return tuple([name for _, _, name in sorted(_rated(key, weight_by_name), reverse=True)])


def weighted_winner(key: str, weight_by_name: Mapping[str, float]) -> str | None:
    """Return the best name for a key, or None where there are no names."""
    if _are_equal(weight_by_name):
        return winner(key, weight_by_name)
    return max(_rated(key, weight_by_name))[-1]


def _are_equal(weight_by_name: Mapping[str, float]) -> bool:
    return len(set(weight_by_name.values())) <= 1


def _rated(key: str, weight_by_name: Mapping[str, float]) -> list[tuple[float, int, str]]:
    """Return each name with its rating, and its score to order names of equal rating."""
    score, log = scorer(key), math.log
    scored = [(score(name), name, weight) for name, weight in weight_by_name.items()]
    return [
        (-weight / log(((name_score >> _DROPPED_BITS) + 0.5) / _STEPS), name_score, name)
        for name_score, name, weight in scored
    ]
