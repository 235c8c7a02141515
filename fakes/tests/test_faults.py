"""Faults of upstreams over real sockets: what the caller gets, and what ran."""

from __future__ import annotations

import signal
import threading
import time
import unittest
import urllib.error
from typing import Any

import openai

from fakes._local_fleet import ROOT, fetch
from fakes.tests._fleet_case import FleetCase

#: How the words of an answer to a single message begin.
NUMBERED = [f"1.{at}" for at in range(16)]


class EngineFaultTest(FleetCase):
    """Engines that cannot resume."""

    def tearDown(self) -> None:
        self.disarm()

    def test_a_cut_stream_is_an_explicit_error(self) -> None:
        self.arm_all("cut")
        with self.assertRaisesRegex(openai.APIError, "engine-"):
            self.stream("cut")

    def test_a_stream_that_ends_without_its_last_event_is_an_explicit_error(self) -> None:
        self.arm_all("end-early")
        with self.assertRaisesRegex(openai.APIError, "without its last event"):
            self.stream("end early")

    def test_a_delayed_answer_is_still_whole(self) -> None:
        self.arm_all("delay", seconds=0.2)
        messages = [{"role": "user", "content": "late but whole"}]
        answer = self.chat().create(model="scene-writer", messages=messages)
        self.assertTrue(self.whole(answer.choices[0].message.content or ""))

    def test_a_crossed_answer_is_dropped_and_the_request_run_elsewhere(self) -> None:
        for engine in self.engines[:1]:
            engine.arm("cross", count=1)
        texts = [self.stream(f"cross {at}") for at in range(6)]
        self.assertTrue(all(self.whole(text) for text in texts), texts)

    def test_a_late_answer_never_reaches_the_next_request_of_a_connection(self) -> None:
        for fault in ("late", "duplicate"):
            for pause in (0.0, 0.01, 0.05, 0.07):
                with self.subTest(fault=fault, pause=pause):
                    self.arm_all(fault, count=3, seconds=pause)
                    texts = [self.stream(f"{fault} {pause} {at}") for at in range(8)]
                    self.assertTrue(all(self.whole(text) for text in texts), texts)

    def test_bytes_that_are_no_answer_in_the_middle_of_one_are_an_explicit_error(self) -> None:
        for at in range(4):
            self.arm_all("garble", count=1)
            received: list[str] = []
            with self.assertRaisesRegex(openai.APIError, "engine-"):
                self.stream_into(received, f"garble {at}")
            words = "".join(received).split()
            self.assertEqual([word.rsplit(".", 1)[0] for word in words], NUMBERED[: len(words)])

    def test_a_refusal_moves_the_request_on(self) -> None:
        self.engines[0].arm("refuse", count=3)
        texts = [self.stream(f"refuse {at}") for at in range(6)]
        self.assertTrue(all(self.whole(text) for text in texts), texts)

    def test_a_caller_that_goes_away_ends_the_engines_work(self) -> None:
        before = {run["request_id"] for run in self.all_runs()}
        messages = [{"role": "user", "content": "going away"}]
        stream = self.chat().create(
            model="scene-writer", messages=messages, stream=True, max_tokens=2000
        )
        next(iter(stream))
        stream.close()

        def cancelled() -> bool:
            new = [run for run in self.all_runs() if run["request_id"] not in before]
            return [run["outcome"] for run in new] == ["cancelled"]

        self.eventually(cancelled, 5)
        self.eventually(lambda: self.held() == 0, 5)

    def held(self) -> int:
        states = [router.state() for router in self.fleet.routers]
        return sum(u["in_flight_here"] for state in states for u in state["upstreams"])


class OneEngineTest(FleetCase):
    """An engine that nothing can stand in for."""

    HALLS = ("recife-1",)
    ENGINES = 1

    def tearDown(self) -> None:
        self.disarm()

    def test_a_late_answer_in_the_place_of_the_next_one_costs_a_connection_alone(self) -> None:
        for fault in ("late", "duplicate"):
            for pause in (0.05, 0.07):
                with self.subTest(fault=fault, pause=pause):
                    self.arm_all(fault, count=2, seconds=pause)
                    texts = [self.stream(f"alone {fault} {pause} {at}") for at in range(12)]
                    self.assertTrue(all(self.whole(text) for text in texts), texts)


class OwnerCase(FleetCase):
    """Engines that can resume a stream."""

    RESUMES = True

    def tearDown(self) -> None:
        self.disarm()

    def runs_at(self, content: str, engine: str, entry: int) -> bool:
        self.stream(content, entry, tokens=1)
        return bool(self.fleet.routers[entry].state()["decisions"][0]["engine"] == engine)


class ResumeTest(OwnerCase):
    """Streams that break."""

    def test_a_cut_stream_goes_on_with_no_token_lost_or_doubled(self) -> None:
        for router in (0, 1):
            self.arm_all("cut", count=1)
            self.assertTrue(self.whole(self.stream(f"resumed at {router}", router, 40), 40))

    def test_a_garbled_stream_goes_on_with_no_token_lost_or_doubled(self) -> None:
        for router in (0, 1):
            self.arm_all("garble", count=1)
            self.assertTrue(self.whole(self.stream(f"garbled at {router}", router, 40), 40))

    def test_a_stream_survives_the_loss_of_the_owning_router(self) -> None:
        engine = self.engines[0].name
        owner = self.owner_of(engine)
        entry = next(at for at, r in enumerate(self.fleet.routers) if r is not owner)
        content = next(
            f"owned {at}" for at in range(200) if self.runs_at(f"owned {at}", engine, entry)
        )
        texts: list[str] = []
        caller = threading.Thread(
            target=lambda: texts.append(self.stream(content, entry, tokens=400))
        )
        caller.start()
        time.sleep(0.6)
        owner.process.kill()
        caller.join(30)
        self.assertEqual(len(texts), 1)
        self.assertTrue(self.whole(texts[0], 400), texts[0][-80:])


class FrozenRouterTest(OwnerCase):
    """An owner that stops answering without closing anything."""

    ENGINES = 4

    def test_a_stream_survives_an_owning_router_that_freezes(self) -> None:
        entry, frozen = self.fleet.routers[0], self.fleet.routers[1]
        engine = next(e.name for e in self.engines if self.owner_of(e.name) is frozen)
        content = next(f"cold {at}" for at in range(200) if self.runs_at(f"cold {at}", engine, 0))
        texts: list[str] = []
        caller = threading.Thread(target=lambda: texts.append(self.stream(content, 0, 300)))
        caller.start()
        time.sleep(0.5)
        frozen.process.send_signal(signal.SIGSTOP)
        caller.join(30)
        self.assertEqual(len(texts), 1)
        self.assertTrue(self.whole(texts[0], 300), texts[0][-80:])
        self.assertTrue(self.whole(self.stream("while it is frozen", 0)))
        frozen.process.send_signal(signal.SIGCONT)
        self.eventually(lambda: len(entry.state()["members"]) == 2, 15)


class PlainFaultTest(FleetCase):
    """Calls that may not be repeated."""

    def tearDown(self) -> None:
        self.disarm()

    def test_a_call_that_may_have_run_is_not_run_again_and_said_to_be_unknown(self) -> None:
        self.portal.arm("cut")
        answer = self.plain("/proofs/log", b"caption", X_Call_Id="cut-post")
        self.assertEqual(answer.headers["X-Pondhatch-Outcome"], "unknown")
        self.assertEqual(answer.headers["X-Should-Retry"], "false")
        self.assertEqual(self.calls()["cut-post"], 1)

    def test_a_call_said_not_to_have_run_did_not(self) -> None:
        self.portal.arm("refuse", count=5)
        answer = self.plain("/proofs/log", b"caption", X_Call_Id="refused-post")
        self.assertEqual(answer.headers["X-Pondhatch-Outcome"], "not-run")
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        self.assertNotIn("refused-post", self.calls())

    def test_a_keyed_call_runs_once_however_often_it_is_sent(self) -> None:
        sent: Any = {"X_Call_Id": "keyed", "Idempotency_Key": "k-1"}
        first = self.plain("/proofs/log", b"caption", **sent)
        again = [self.plain("/proofs/log", b"caption", at % 2, **sent) for at in range(4)]
        self.assertEqual({each.body for each in again}, {first.body})
        self.assertEqual({each.headers["X-Pondhatch-Replayed"] for each in again}, {"true"})
        self.assertEqual(self.calls()["keyed"], 1)

    def test_a_key_presented_while_the_first_try_runs(self) -> None:
        self.portal.arm("stall", seconds=1.5)
        sent: Any = {"X_Call_Id": "slow", "Idempotency_Key": "k-2"}
        first = threading.Thread(target=lambda: self.plain("/proofs/log", b"x", 0, **sent))
        first.start()
        time.sleep(0.5)
        meanwhile = self.plain("/proofs/log", b"x", 1, **sent)
        self.assertIn(b"key-running", meanwhile.body)
        first.join()
        self.eventually(lambda: self.plain("/proofs/log", b"x", 1, **sent).status == 200)
        self.assertEqual(self.calls()["slow"], 1)

    def test_a_key_whose_first_try_was_cut_is_unknown_at_every_router(self) -> None:
        self.portal.arm("cut")
        sent: Any = {"X_Call_Id": "cut-keyed", "Idempotency_Key": "k-3"}
        self.plain("/proofs/log", b"x", 0, **sent)
        for router in (0, 1):
            self.eventually(
                lambda router=router: (
                    b"key-unknown"  # type: ignore[misc]
                    in self.plain("/proofs/log", b"x", router, **sent).body
                )
            )
        self.assertEqual(self.calls()["cut-keyed"], 1)

    def test_a_key_is_for_one_request(self) -> None:
        self.plain("/proofs/one", b"x", Idempotency_Key="k-4")
        self.assertIn(b"key-reused", self.plain("/proofs/two", b"x", Idempotency_Key="k-4").body)


class LeavingTest(FleetCase):
    """Upstreams that leave get no new work within three seconds."""

    ENGINES = 3

    def assert_gets_no_work(self, engine: int) -> None:
        time.sleep(3)
        before = len(self.runs(self.engines[engine]))
        texts = [self.stream(f"leaving {engine} {at}", at % 2) for at in range(25)]
        self.assertTrue(all(self.whole(text) for text in texts))
        self.assertEqual(len(self.runs(self.engines[engine])), before)

    def test_by_the_platforms_list(self) -> None:
        self.fleet.list_upstream(self.engines[0], "leaving")
        self.assert_gets_no_work(0)
        self.fleet.list_upstream(self.engines[0], "live")
        self.eventually(lambda: self.takes_work_again(0))

    def test_by_its_own_word_while_the_platform_is_out(self) -> None:
        fetch(f"{self.fleet.platform_url}/faults", {"name": "outage", "count": 1, "seconds": 8})
        self.engines[1].arm("leaving", count=1000)
        self.assert_gets_no_work(1)
        self.engines[1].arm("leaving", count=0)
        self.eventually(lambda: self.takes_work_again(1), 15)
        # The next test writes there.
        self.eventually(self.platform_answers, 15)

    def platform_answers(self) -> bool:
        try:
            fetch(f"{self.fleet.platform_url}/v1/objects/upstream")
        except urllib.error.HTTPError as error:
            error.close()
            return False
        return True

    def test_by_an_operators_word(self) -> None:
        text = (ROOT / "examples/render-desk/fleet.yaml").read_text()
        changed = self.fleet.folder / "fleet.yaml"
        for leaving in ("[engine-2]", "[]"):
            changed.write_text(
                text.replace("deadline: 120", f"deadline: 120\n    leaving: {leaving}")
            )
            applied = self.fleet.apply(changed)
            self.assertEqual(applied.returncode, 0, applied.stderr)
            if leaving != "[]":
                self.assert_gets_no_work(2)
        self.eventually(lambda: self.takes_work_again(2))

    def takes_work_again(self, engine: int) -> bool:
        before = len(self.runs(self.engines[engine]))
        for at in range(20):
            self.stream(f"again {engine} {at}")
        return len(self.runs(self.engines[engine])) > before


class DrainTest(FleetCase):
    """A planned stop cuts nothing."""

    HALLS = ("recife-1", "recife-1", "recife-2")

    def test_two_routers_that_stop_at_once_finish_their_streams_and_exit_0(self) -> None:
        texts: list[str] = []
        callers = [
            threading.Thread(
                target=lambda at=at: texts.append(self.stream(f"drain {at}", at % 3, 900))
            )
            for at in range(12)
        ]
        for caller in callers:
            caller.start()
        # Each is long enough to be running still when the last has begun.
        self.eventually(lambda: len(self.all_runs()) == 12, 60)
        for router in self.fleet.routers[:2]:
            router.process.send_signal(signal.SIGTERM)
        codes = [router.process.wait(60) for router in self.fleet.routers[:2]]
        self.assertEqual(codes, [0, 0])
        for caller in callers:
            caller.join(60)
        self.assertEqual(len(texts), 12)
        self.assertTrue(all(self.whole(text, 900) for text in texts))


class StopSignalTest(FleetCase):
    """One router, asked to stop more than once."""

    HALLS = ("recife-1",)
    ENGINES = 1

    def test_signals_that_come_again_do_not_spoil_the_exit_code(self) -> None:
        process = self.fleet.routers[0].process
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
