"""Requests that wait for a slot while load is managed, simulated through the serving code."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Callable
from unittest import mock

from msgspec.structs import replace

from fakes._virtual_loop import run_virtually
from pondhatch.limits import RetryBudget
from pondhatch.placement import Ask, FairQueue, Full, Granted, Plan, ReleaseInterval, RetrySchedule
from pondhatch.placement._forecast import LONGEST_RETRY_AFTER
from pondhatch.requests import (
    AnswerDeadlines,
    AnswerStarted,
    BodySource,
    Collaborators,
    Dispatch,
    EngineRefusal,
    GrantRequest,
    NotRun,
    Placed,
    QueueOutcome,
    ReplayableBody,
    RequestHead,
    RunTimes,
    Target,
    WaitLimits,
    answer_deadlines,
)
from pondhatch.requests._dispatch import FULL_RETRY_AFTER
from pondhatch.requests._engine_queues import EngineQueues
from pondhatch.requests._parallel_waits import FirstGrant, NotGranted, ParallelWait
from pondhatch.requests._wait_limits import GRANT_MARGIN, UsualTimes, in_time, wait_limit
from pondhatch.requests.tests._history import FakeStream, Fleet, RouterView, Sink

#: Slots of a plain upstream, and the range of seconds that a request runs there.
SLOTS = 6
RUN_SECONDS = (0.015, 0.022)
#: Seconds after which callers give up, and within which an answer is in time.
CALLER_TIMEOUT = 1.05
OBJECTIVE = 0.152
#: The wait limits of the service's routes while load is not managed.
WAIT_LIMITS = WaitLimits(0.0, 0.2 * OBJECTIVE, AnswerDeadlines(OBJECTIVE))


class ManagedView(RouterView):
    """A view of plain upstreams; load is managed."""

    def is_load_managed(self) -> bool:
        return True

    def target(self, engine: str) -> Target | None:
        known = super().target(engine)
        return replace(known, load_bound=1.7, load_slack=3, slots=SLOTS) if known else None


class PlainUpstreams:
    """Upstreams of a plain service, which run each request for some milliseconds.

    They count running requests.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.running: Counter[str] = Counter()
        self.max_running = 0
        #: Number of sends of each request.
        self.sends: Counter[str] = Counter()

    async def send(self, target: Target, head: RequestHead, body: BodySource) -> AnswerStarted:
        self.sends[head.request_id.split(".")[0]] += 1
        self.running[target.name] += 1
        self.max_running = max(self.max_running, self.running[target.name])
        try:
            await asyncio.sleep(self._rng.uniform(*RUN_SECONDS))
        finally:
            self.running[target.name] -= 1
        return AnswerStarted(FakeStream(b"", None, False, lambda: None))


class Service:
    """Three routers in front of some plain upstreams, and the outcomes of requests."""

    def __init__(self, engines: tuple[str, ...]) -> None:
        self.rng = random.Random(7)
        with mock.patch("pondhatch.requests.tests._history.RouterView", ManagedView):
            self.fleet = Fleet([], [], False)
        self.fleet.engines = engines
        self.upstreams = PlainUpstreams(self.rng)
        self.run_times = RunTimes()
        self.outcomes: Counter[str] = Counter()
        self.seconds: list[float] = []
        self.retry_after: list[float] = []
        #: Routers that requests arrive at.
        self.entries: tuple[str, ...] = self.fleet.names

    async def request(self, entry: str) -> None:
        """Send one request through a router."""
        clock = asyncio.get_running_loop().time
        began = clock()
        number = self.rng.getrandbits(32)
        head = RequestHead(
            f"q{number}", "a", "s", 0, "POST", "/", (), False, CALLER_TIMEOUT, 5, most_tries=1
        )
        router = self.fleet.routers[entry]
        collaborators = Collaborators(router.entry, self.upstreams, run_times=self.run_times)
        remaining: Callable[[], float] = lambda: began + CALLER_TIMEOUT - clock()  # noqa: E731
        body = ReplayableBody(b"")
        dispatch = Dispatch(
            router.view, collaborators, RetryBudget(), head, body, remaining, WAIT_LIMITS
        )
        reply = await dispatch.run()
        if isinstance(reply, Placed):
            await reply.reply.answer.stream_to(Sink(lambda _: None))
            self.outcomes["whole" if remaining() > 0 else "too late"] += 1
            self.seconds.append(clock() - began)
            return
        self.outcomes[reply.refusal.code] += 1
        if dispatch.queue_result.outcome is not QueueOutcome.NONE:
            self.outcomes[dispatch.queue_result.outcome.value] += 1
        if isinstance(reply.refusal, NotRun):
            self.retry_after.append(reply.refusal.retry_after)

    async def send_bursts(self, rate: float, seconds: float, largest: int) -> None:
        """Send ``rate`` requests per second to random routers, in bursts up to ``largest``."""
        tasks = []
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            size = self.rng.randint(1, largest)
            tasks += [
                asyncio.ensure_future(self.request(self.rng.choice(self.entries)))
                for _ in range(size)
            ]
            await asyncio.sleep(size / rate)
        await asyncio.gather(*tasks)
        # Waits until the last releases have arrived.
        await asyncio.sleep(0.1)

    def left_over(self) -> list[int]:
        """Return the numbers of grants that are still counted or held after everything ended."""
        routers = self.fleet.routers.values()
        counts = [count.granted for each in routers for count in each.gate.by_engine.values()]
        return [*counts, *(len(each.entry.held_by_number) for each in routers)]


class OneUpstreamLeftTest(unittest.TestCase):
    """One of three plain upstreams is left: 140 requests a second in bursts, 15 to 22 ms each."""

    def test_all_requests_of_bursts_are_served_before_callers_time_out(self) -> None:
        """Guards against refusing requests for which a slot becomes free before their deadline."""

        async def main() -> Service:
            service = Service(("e0",))
            await service.send_bursts(140.0, 20.0, 40)
            return service

        service = run_virtually(main())
        self.assertEqual(set(service.outcomes), {"whole"}, service.outcomes)
        self.assertLessEqual(service.upstreams.max_running, SLOTS)
        self.assertFalse(any(service.left_over()))

    def test_a_long_overload_does_not_make_every_request_late(self) -> None:
        """Guards against a queue that is always full, in which every answer is late.

        Three times as many requests arrive as the upstream can run.
        """

        async def main() -> Service:
            service = Service(("e0",))
            await service.send_bursts(500.0, 10.0, 40)
            return service

        service = run_virtually(main())
        in_time = sum(seconds <= OBJECTIVE for seconds in service.seconds)
        self.assertGreater(in_time, 0.75 * len(service.seconds))
        # The upstream stays busy, with a round trip of 20 ms for each request.
        self.assertGreater(len(service.seconds), 1600)
        self.assertLess(service.outcomes["in-vain"], 0.1 * service.outcomes["refused"])
        self.assertLess(service.outcomes["too late"], 0.01 * len(service.seconds))
        self.assertLessEqual(service.upstreams.max_running, SLOTS)
        predicted = [after for after in service.retry_after if after != FULL_RETRY_AFTER]
        self.assertGreater(len(set(predicted)), 0.3 * len(predicted))
        self.assertLessEqual(max(predicted), LONGEST_RETRY_AFTER)


class SeveralQueuesTest(unittest.TestCase):
    """Three plain upstreams with one owner each, in bursts beyond what all can run at once."""

    def test_a_request_that_waits_at_all_of_them_is_sent_to_one(self) -> None:
        """Guards against a second grant being kept or used after the first."""

        async def main() -> Service:
            service = Service(("e0", "e1", "e2"))
            await service.send_bursts(420.0, 5.0, 90)
            return service

        service = run_virtually(main())
        self.assertEqual(set(service.outcomes), {"whole"}, service.outcomes)
        self.assertEqual(set(service.upstreams.sends.values()), {1})
        self.assertFalse(any(service.left_over()))


class SameMomentTest(unittest.TestCase):
    """Two owners grant one request in the same iteration of the event loop."""

    def test_the_second_grant_is_given_back(self) -> None:
        """Guards against a slot that stays taken until its lease ends, as its grant was missed."""
        grants = mock.Mock()

        async def ask(grant_request: GrantRequest) -> Granted:
            await asyncio.sleep(0.01)
            return Granted(1, 6)

        def grant_request(engine: str, _: float) -> GrantRequest:
            return GrantRequest(int(engine[1:]), 1, engine, "a", 0, 5)

        async def main() -> FirstGrant | NotGranted:
            queues = ParallelWait(grants, lambda _: "r0", ask, grant_request)
            return await queues.first_grant(("e0", "e1", "e2"), 1.0)

        first_grant = run_virtually(main())
        assert isinstance(first_grant, FirstGrant)
        released = [call.args[0] for call in grants.release.mock_calls]
        self.assertEqual(sorted([first_grant.grant_request.number, *released]), [0, 1, 2])


class RefusedAfterWaitTest(unittest.TestCase):
    """Engines run fewer requests at once than their owners believe, and one is shutting down."""

    def test_a_request_that_was_granted_and_refused_waits_again(self) -> None:
        """Guards against refusing a granted request for good while another engine has a slot."""

        async def main() -> list[str]:
            with mock.patch("pondhatch.requests.tests._history.RouterView", ManagedView):
                fleet = Fleet([EngineRefusal.LEAVING], [], False)
            fleet.upstreams.slots = dict.fromkeys(fleet.engines, 1)
            after = (0.0, 0.25, 0.25, 0.25)
            await asyncio.gather(
                *(
                    fleet.request_later(index, False, False, each)
                    for index, each in enumerate(after)
                )
            )
            return fleet.history.refused_despite_free_slot

        self.assertEqual(run_virtually(main()), [])


class OwnerDiesTest(unittest.TestCase):
    """One plain upstream is left, and its owner dies while a burst waits there."""

    def test_requests_that_wait_at_an_owner_that_dies_are_served_by_the_next_one(self) -> None:
        """Guards against requests that are lost with a dead router's queue until they time out."""

        async def main() -> Service:
            service = Service(("e0",))
            fleet = service.fleet
            dying = fleet.routers["r0"].view.owner_name("e0") or ""
            service.entries = tuple(name for name in fleet.names if name != dying)
            sending = asyncio.ensure_future(service.send_bursts(100.0, 4.0, 40))
            while fleet.routers[dying].owner._queues.waiting_count("e0") < 2 * SLOTS:
                await asyncio.sleep(0.01)
            fleet.network.silent.add(dying)
            await sending
            return service

        service = run_virtually(main())
        self.assertEqual(set(service.outcomes), {"whole"}, service.outcomes)
        self.assertEqual(set(service.upstreams.sends.values()), {1})


class RisingLoadTest(unittest.TestCase):
    """Load rises from zero, while the totals that owners know are a second old."""

    def test_the_least_loaded_engine_uses_the_mean_of_the_engines_seen(self) -> None:
        plan = Plan("c", [f"e{index}" for index in range(30)])
        for held in (9, 10, 11, 9, 10, 11, 9, 10, 11, 8, 10, 12):
            self.assertIsInstance(plan.next_step(), Ask)
            plan.record_owner_full(held, held)
        least = plan.queue_engines(4)[0]
        self.assertEqual(plan.in_flight_by_engine[least], 8)
        # The 12 engines that were asked have 120 requests in flight.
        self.assertEqual(plan.estimate_in_flight_elsewhere(least, 30), 120 * 30 // 12 - 8)
        self.assertEqual(plan.estimate_in_flight_elsewhere(plan.queue_engines(4)[1], 30), 0)

    def test_a_cold_engine_or_too_few_engines_give_no_mean(self) -> None:
        for engines, is_cold in ((7, False), (9, True)):
            with self.subTest(engines=engines):
                plan = Plan("c", [f"e{index}" for index in range(engines)])
                while isinstance(ask := plan.next_step(), Ask) and not ask.is_last:
                    plan.record_owner_full(9, 9, is_cold)
                self.assertEqual(plan.estimate_in_flight_elsewhere(plan.queue_engines(1)[0], 30), 0)


class QueueRulesTest(unittest.TestCase):
    """The rules for the order, the bounds and the time limits of a queue, each by itself."""

    def test_late_requests_come_after_those_in_time_and_before_the_less_urgent(self) -> None:
        queue = FairQueue(10)
        for account, priority, until in (("late", 5, 1.0), ("less", 7, 9.0), ("in time", 5, 9.0)):
            queue.join(account, priority, 1.0, until, queue_count=2)
        queue.advance_time(1.0)
        order = []
        while (ticket := queue.first()) is not None:
            order.append(ticket.account)
            queue.mark_served(ticket)
        self.assertEqual(order, ["in time", "late", "less"])

    def test_retry_delays_are_one_release_interval_apart(self) -> None:
        schedule = RetrySchedule()
        delays = [schedule.next_delay(0.0, 30.0, 0.1, 1) for _ in range(3)]
        self.assertEqual([round(each, 3) for each in delays], [3.0, 3.1, 3.2])
        self.assertEqual(schedule.next_delay(0.0, 900.0, 0.1, 1), LONGEST_RETRY_AFTER)

    def test_the_wait_limit_leaves_time_for_the_run_and_the_first_event(self) -> None:
        # The stream's first event must come within 4 * 0.6 s.
        plain, stream = answer_deadlines(0.152, False, 0.0), answer_deadlines(0.6, True, 0.1)
        self.assertAlmostEqual(
            wait_limit(plain, 1.0, 0.05, UsualTimes(0.01, 0.1)), 0.9 - GRANT_MARGIN
        )
        self.assertAlmostEqual(
            wait_limit(stream, 60.0, 0.4, UsualTimes(0.3, 9.0)), 1.7 - GRANT_MARGIN
        )
        self.assertAlmostEqual(in_time(stream, 0.2, UsualTimes(0.3, 9.0)), 0.1)

    def test_a_slot_that_stays_free_after_a_refusal_counts_as_wrongly_refused(self) -> None:
        async def main() -> list[int]:
            queues = EngineQueues(lambda _: None, is_managed=lambda: True)
            queues._interval_by_engine["e"] = ReleaseInterval(0.0, 1.0, 9)
            grant_request = GrantRequest(1, 1, "e", "a", 0, 5, max_wait_ms=900, in_time=100)
            waiting = asyncio.ensure_future(
                queues.wait(grant_request, Full(1, 1), lambda: Granted(1, 1))
            )
            await asyncio.sleep(0)
            refused = await queues.wait(grant_request, Full(1, 1), lambda: Granted(1, 1))
            counts = []
            for at in (0.1, 0.2, 0.3):
                queues.note_released("e", at)
                await waiting
                counts.append(queues.wrongly_refused)
            assert isinstance(refused, Full)
            return [*counts, refused.predicted_ms]

        self.assertEqual(run_virtually(main()), [0, 1, 1, 1000])
