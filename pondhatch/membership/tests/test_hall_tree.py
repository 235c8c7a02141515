"""Guards the trees of the halls: all routers below one top, whichever member looks at them."""

from __future__ import annotations

import unittest

from pondhatch.membership import Member, Phase, TreeLevel
from pondhatch.membership._hall_tree import TREE_FANOUT, HallTree
from pondhatch.membership._member_table import Address


def members_of(count: int, halls: int, draining: tuple[int, ...] = ()) -> tuple[Member, ...]:
    return tuple(
        Member(
            f"r{number}",
            Address("10.0.0.1", 7000 + number),
            f"h{number % halls}",
            Phase.DRAINING if number in draining else Phase.LIVE,
        )
        for number in range(count)
    )


class HallTreeTest(unittest.TestCase):
    def trees(self, members: tuple[Member, ...]) -> dict[str, HallTree]:
        trees = {each.name: HallTree(each.name, each.hall) for each in members}
        for tree in trees.values():
            tree.update(members)
        return trees

    def test_every_router_is_reached_once_from_the_top_of_the_fleet(self) -> None:
        for count, halls in ((1, 1), (8, 4), (24, 4), (100, 11), (470, 11)):
            with self.subTest(count=count, halls=halls):
                trees = self.trees(members_of(count, halls))
                tops = [name for name, tree in trees.items() if tree.level == TreeLevel.FLEET_TOP]
                self.assertEqual(len(tops), 1)
                reached, told = [tops[0]], [*trees[tops[0]].other_tops, *trees[tops[0]].children]
                while told:
                    self.assertLessEqual(len(told), count)
                    reached += [each.name for each in told]
                    told = [child for each in told for child in trees[each.name].children]
                self.assertEqual(sorted(reached), sorted(trees))

    def test_levels_follow_the_distance_from_the_top(self) -> None:
        trees = self.trees(members_of(100, 4))
        levels = [tree.level for tree in trees.values()]
        counts = [levels.count(level) for level in TreeLevel]
        self.assertEqual(counts[:4], [1, 1, 2, 4 * TREE_FANOUT])
        for tree in trees.values():
            if tree.is_top:
                self.assertEqual(
                    {trees[child.name].level for child in tree.children}, {TreeLevel.SECOND}
                )

    def test_a_draining_router_stands_outside_the_tree(self) -> None:
        trees = self.trees(members_of(8, 4, draining=(3,)))
        self.assertEqual(trees["r3"].level, TreeLevel.LOWER)
        self.assertEqual(trees["r3"].children, ())
        told = [each.name for tree in trees.values() for each in (*tree.children, *tree.other_tops)]
        self.assertNotIn("r3", told)

    def test_a_draining_router_of_a_hall_without_others_knows_the_other_tops(self) -> None:
        trees = self.trees(members_of(4, 4, draining=(3,)))
        self.assertEqual(len(trees["r3"].other_tops), 3)
        self.assertFalse(trees["r3"].is_top)
