"""An account's limits divided among routers by the account's home router."""

from __future__ import annotations

import random
import unittest

from pondhatch.limits import AccountGate, AccountLimits, Allowed, ShareHome, ShareUser

FLEET_LIMITS = AccountLimits(requests_per_second=40.0, burst=20, concurrency=16)
STEP = 0.05


class Routers:
    """Several routers and the home of account "a", which may be unreachable."""

    def __init__(self, count: int) -> None:
        self.users = [ShareUser() for _ in range(count)]
        self.gates = [AccountGate() for _ in range(count)]
        self.home = ShareHome()
        self.home_is_reachable = True
        self.now = 0.0
        self._ends: list[list[float]] = [[] for _ in range(count)]

    def run(self, seconds: float, arrivals: list[float], request_seconds: float = 0.1) -> list[int]:
        """Send router i ``arrivals[i]`` requests a second; return how many each allowed."""
        rng = random.Random(3)
        allowed = [0] * len(self.users)
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for index, rate in enumerate(arrivals):
                self._end_due(index)
                wanted = rate * STEP
                arrival_count = int(wanted) + (rng.random() < wanted % 1)
                allowed[index] += sum(
                    self._request(index, request_seconds) for _ in range(arrival_count)
                )
            self._exchange()
        return allowed

    def _request(self, index: int, request_seconds: float) -> bool:
        gate, user = self.gates[index], self.users[index]
        user.record_arrival("a", gate.running("a"), self.now)
        own_limits = user.limits("a", FLEET_LIMITS, len(self.users), self.now)
        if not isinstance(gate.begin("a", own_limits, self.now), Allowed):
            return False
        self._ends[index].append(self.now + request_seconds)
        return True

    def _end_due(self, index: int) -> None:
        due = [end for end in self._ends[index] if end <= self.now]
        self._ends[index] = [end for end in self._ends[index] if end > self.now]
        for _ in due:
            self.gates[index].end("a")

    def _exchange(self) -> None:
        for index, user in enumerate(self.users):
            for demand in user.due_demands(self.now, len(self.users), {"a": FLEET_LIMITS}):
                if self.home_is_reachable:
                    user.record_share(
                        self.home.allocate_share(f"r{index}", demand, FLEET_LIMITS, self.now),
                        self.now,
                    )


class SharesTest(unittest.TestCase):
    def test_an_account_at_one_router_gets_most_of_its_limit(self) -> None:
        routers = Routers(8)
        routers.run(5, [38.0] + [0.0] * 7)
        allowed = routers.run(20, [38.0] + [0.0] * 7)
        self.assertGreater(allowed[0] / 20, 0.8 * FLEET_LIMITS.requests_per_second)

    def test_a_surge_is_held_to_the_limit_through_any_routers(self) -> None:
        for arrivals in ([400.0] + [0.0] * 7, [50.0] * 8, [200.0, 150.0] + [8.0] * 6):
            with self.subTest(arrivals=arrivals):
                routers = Routers(8)
                routers.run(5, arrivals)
                allowed = sum(routers.run(20, arrivals)) / 20
                self.assertLess(allowed, 1.1 * FLEET_LIMITS.requests_per_second)
                self.assertGreater(allowed, 0.75 * FLEET_LIMITS.requests_per_second)

    def test_the_first_seconds_of_a_surge_are_bounded_by_the_burst_of_each_router(self) -> None:
        routers = Routers(8)
        allowed = sum(routers.run(3, [100.0] * 8))
        # Without a share, each router applies the whole limits for the first 2 s.
        most = 8 * (FLEET_LIMITS.burst + 2 * FLEET_LIMITS.requests_per_second)
        self.assertLess(allowed, most)

    def test_running_requests_are_shared_out_as_well(self) -> None:
        routers = Routers(4)
        routers.run(6, [50.0] * 4, request_seconds=3.0)
        routers.run(6, [50.0] * 4, request_seconds=3.0)
        running = sum(gate.running("a") for gate in routers.gates)
        self.assertLessEqual(running, FLEET_LIMITS.concurrency + 4)

    def test_a_router_that_cannot_reach_the_home_falls_back_to_its_base(self) -> None:
        routers = Routers(8)
        routers.run(5, [20.0] * 8)
        routers.home_is_reachable = False
        routers.run(6, [20.0] * 8)
        allowed = sum(routers.run(20, [20.0] * 8)) / 20
        self.assertLess(allowed, 0.3 * FLEET_LIMITS.requests_per_second)
        self.assertGreater(allowed, 0.1 * FLEET_LIMITS.requests_per_second)

    def test_a_router_alone_holds_the_whole_limit(self) -> None:
        routers = Routers(1)
        allowed = routers.run(20, [100.0])
        self.assertAlmostEqual(allowed[0] / 20, FLEET_LIMITS.requests_per_second, delta=2)

    def test_idle_accounts_are_forgotten(self) -> None:
        routers = Routers(2)
        routers.run(5, [30.0, 30.0])
        routers.run(10, [0.0, 0.0])
        routers.home.forget_old(routers.now)
        self.assertEqual(routers.users[0].own_demand_by_account, {})
        self.assertEqual(routers.home.demand_by_account, {})


class LastRouterTest(unittest.TestCase):
    def test_the_last_router_still_computes_demands_while_it_stops(self) -> None:
        user = ShareUser()
        for _ in range(50):
            user.record_arrival("a", 3, 1.0)
        self.assertIsInstance(user.due_demands(2.0, 0, {"a": FLEET_LIMITS}), tuple)
