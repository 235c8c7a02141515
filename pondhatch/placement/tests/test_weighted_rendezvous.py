"""Guards against wins that are not in proportion to weights, and equal weights that reorder."""

from __future__ import annotations

import math
import unittest
from unittest import mock

from pondhatch.placement import (
    _weighted_rendezvous,
    ranked,
    weighted_ranked,
    weighted_winner,
    winner,
)

NAMES = tuple(f"r{index}" for index in range(9))
KEYS = tuple(f"key-{index}" for index in range(2000))


class WeightedRendezvousTest(unittest.TestCase):
    def test_equal_weights_give_the_plain_order_whatever_they_are(self) -> None:
        for weight in (0.1, 1.0, 7.3):
            weight_by_name = dict.fromkeys(NAMES, weight)
            for key in KEYS[:200]:
                self.assertEqual(weighted_ranked(key, weight_by_name), ranked(key, NAMES))
                self.assertEqual(weighted_winner(key, weight_by_name), winner(key, NAMES))
        self.assertEqual((weighted_winner("key", {}), weighted_ranked("key", {})), (None, ()))

    def test_names_of_one_weight_keep_their_plain_order_beside_others(self) -> None:
        weight_by_name = {**dict.fromkeys(NAMES, 1.3), "other": 0.4}
        for key in KEYS[:200]:
            order = weighted_ranked(key, weight_by_name)
            self.assertEqual(order[0], weighted_winner(key, weight_by_name))
            self.assertEqual(tuple(n for n in order if n != "other"), ranked(key, NAMES))

    def test_each_wins_in_proportion_to_its_weight(self) -> None:
        weight_by_name = {"small": 0.1, "usual": 1.0, "large": 2.2}
        total_weight = sum(weight_by_name.values())
        winners = [weighted_winner(key, weight_by_name) for key in KEYS]
        for name, weight in weight_by_name.items():
            share = weight / total_weight
            # Four standard deviations of this number of independent draws.
            deviation = 4 * math.sqrt(share * (1 - share) / len(KEYS))
            self.assertAlmostEqual(winners.count(name) / len(KEYS), share, delta=deviation)

    def test_the_lowest_and_the_highest_hash_can_be_rated(self) -> None:
        score_by_name = {"lowest": 0, "highest": 2**64 - 1}
        with mock.patch.object(
            _weighted_rendezvous, "scorer", lambda key: score_by_name.__getitem__
        ):
            order = weighted_ranked("key", {"lowest": 10.0, "highest": 0.1})
        self.assertEqual(order, ("highest", "lowest"))
