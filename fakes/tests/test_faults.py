"""Faults of upstreams over real sockets: what the caller receives and what ran."""

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

#: Prefixes of the words in the answer to a single message.
WORD_PREFIXES = [f"1.{index}" for index in range(16)]


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
        self.assertTrue(self.is_whole_answer(answer.choices[0].message.content or ""))

    def test_a_crossed_answer_is_dropped_and_the_request_run_elsewhere(self) -> None:
        for engine in self.engines[:1]:
            engine.arm("cross", count=1)
        texts = [self.stream(f"cross {index}") for index in range(6)]
        self.assertTrue(all(self.is_whole_answer(text) for text in texts), texts)

    def test_a_late_answer_never_reaches_the_next_request_of_a_connection(self) -> None:
        for fault in ("late", "duplicate"):
            for pause in (0.0, 0.01, 0.05, 0.07):
                with self.subTest(fault=fault, pause=pause):
                    self.arm_all(fault, count=3, seconds=pause)
                    texts = [self.stream(f"{fault} {pause} {index}") for index in range(8)]
                    self.assertTrue(all(self.is_whole_answer(text) for text in texts), texts)

    def test_garbled_bytes_within_an_answer_are_an_explicit_error(self) -> None:
        for index in range(4):
            self.arm_all("garble", count=1)
            received: list[str] = []
            with self.assertRaisesRegex(openai.APIError, "engine-"):
                self.stream_into(received, f"garble {index}")
            words = "".join(received).split()
            self.assertEqual(
                [word.rsplit(".", 1)[0] for word in words], WORD_PREFIXES[: len(words)]
            )

    def test_a_refusal_moves_the_request_on(self) -> None:
        self.engines[0].arm("refuse", count=3)
        texts = [self.stream(f"refuse {index}") for index in range(6)]
        self.assertTrue(all(self.is_whole_answer(text) for text in texts), texts)

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
        self.eventually(lambda: self.in_flight() == 0, 5)

    def in_flight(self) -> int:
        states = [router.state() for router in self.fleet.routers]
        return sum(u["in_flight_here"] for state in states for u in state["upstreams"])


class OneEngineTest(FleetCase):
    """A single engine, so that no request can be retried elsewhere."""

    HALLS = ("recife-1",)
    ENGINES = 1

    def tearDown(self) -> None:
        self.disarm()

    def test_a_late_answer_where_the_next_is_due_costs_only_the_connection(self) -> None:
        for fault in ("late", "duplicate"):
            for pause in (0.05, 0.07):
                with self.subTest(fault=fault, pause=pause):
                    self.arm_all(fault, count=2, seconds=pause)
                    texts = [self.stream(f"alone {fault} {pause} {index}") for index in range(12)]
                    self.assertTrue(all(self.is_whole_answer(text) for text in texts), texts)


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
            self.assertTrue(
                self.is_whole_answer(self.stream(f"resumed at {router}", router, 40), 40)
            )

    def test_a_garbled_stream_goes_on_with_no_token_lost_or_doubled(self) -> None:
        for router in (0, 1):
            self.arm_all("garble", count=1)
            self.assertTrue(
                self.is_whole_answer(self.stream(f"garbled at {router}", router, 40), 40)
            )

    def test_a_stream_survives_the_loss_of_the_owning_router(self) -> None:
        engine = self.engines[0].name
        owner = self.owner_of(engine)
        entry = next(index for index, r in enumerate(self.fleet.routers) if r is not owner)
        content = next(
            f"owned {index}"
            for index in range(200)
            if self.runs_at(f"owned {index}", engine, entry)
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
        self.assertTrue(self.is_whole_answer(texts[0], 400), texts[0][-80:])


class FrozenRouterTest(OwnerCase):
    """An owner that stops replying without closing its connections."""

    ENGINES = 4

    def test_a_stream_survives_an_owning_router_that_freezes(self) -> None:
        entry, frozen = self.fleet.routers[0], self.fleet.routers[1]
        engine = next(e.name for e in self.engines if self.owner_of(e.name) is frozen)
        content = next(
            f"cold {index}" for index in range(200) if self.runs_at(f"cold {index}", engine, 0)
        )
        texts: list[str] = []
        caller = threading.Thread(target=lambda: texts.append(self.stream(content, 0, 300)))
        caller.start()
        time.sleep(0.5)
        frozen.process.send_signal(signal.SIGSTOP)
        caller.join(30)
        self.assertEqual(len(texts), 1)
        self.assertTrue(self.is_whole_answer(texts[0], 300), texts[0][-80:])
        self.assertTrue(self.is_whole_answer(self.stream("while it is frozen", 0)))
        frozen.process.send_signal(signal.SIGCONT)
        self.eventually(lambda: len(entry.state()["members"]) == 2, 15)


class PlainFaultTest(FleetCase):
    """Calls that may not be repeated."""

    def tearDown(self) -> None:
        self.disarm()

    def test_a_call_that_may_have_run_is_not_repeated_and_is_reported_unknown(self) -> None:
        self.portal.arm("cut")
        answer = self.call_plain("/proofs/log", b"caption", X_Call_Id="cut-post")
        self.assertEqual(answer.headers["X-Pondhatch-Outcome"], "unknown")
        self.assertEqual(answer.headers["X-Should-Retry"], "false")
        self.assertEqual(self.call_counts()["cut-post"], 1)

    def test_a_call_reported_as_not_run_did_not_run(self) -> None:
        self.portal.arm("refuse", count=5)
        answer = self.call_plain("/proofs/log", b"caption", X_Call_Id="refused-post")
        self.assertEqual(answer.headers["X-Pondhatch-Outcome"], "not-run")
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        self.assertNotIn("refused-post", self.call_counts())

    def test_a_keyed_call_runs_once_however_often_it_is_sent(self) -> None:
        sent: Any = {"X_Call_Id": "keyed", "Idempotency_Key": "k-1"}
        first = self.call_plain("/proofs/log", b"caption", **sent)
        repeats = [
            self.call_plain("/proofs/log", b"caption", index % 2, **sent) for index in range(4)
        ]
        self.assertEqual({each.body for each in repeats}, {first.body})
        self.assertEqual({each.headers["X-Pondhatch-Replayed"] for each in repeats}, {"true"})
        self.assertEqual(self.call_counts()["keyed"], 1)

    def test_a_key_presented_while_the_first_try_runs_is_refused(self) -> None:
        self.portal.arm("stall", seconds=1.5)
        sent: Any = {"X_Call_Id": "slow", "Idempotency_Key": "k-2"}
        first = threading.Thread(target=lambda: self.call_plain("/proofs/log", b"x", 0, **sent))
        first.start()
        time.sleep(0.5)
        meanwhile = self.call_plain("/proofs/log", b"x", 1, **sent)
        self.assertIn(b"key-running", meanwhile.body)
        first.join()
        self.eventually(lambda: self.call_plain("/proofs/log", b"x", 1, **sent).status == 200)
        self.assertEqual(self.call_counts()["slow"], 1)

    def test_a_key_whose_first_try_was_cut_is_unknown_at_every_router(self) -> None:
        self.portal.arm("cut")
        sent: Any = {"X_Call_Id": "cut-keyed", "Idempotency_Key": "k-3"}
        self.call_plain("/proofs/log", b"x", 0, **sent)
        for router in (0, 1):
            self.eventually(
                lambda router=router: (
                    b"key-unknown"  # type: ignore[misc]
                    in self.call_plain("/proofs/log", b"x", router, **sent).body
                )
            )
        self.assertEqual(self.call_counts()["cut-keyed"], 1)

    def test_a_key_reused_for_another_request_is_refused(self) -> None:
        self.call_plain("/proofs/one", b"x", Idempotency_Key="k-4")
        self.assertIn(
            b"key-reused", self.call_plain("/proofs/two", b"x", Idempotency_Key="k-4").body
        )


class LeavingTest(FleetCase):
    """A leaving upstream gets no new work once three seconds have passed."""

    ENGINES = 3

    def assert_gets_no_work(self, engine: int) -> None:
        time.sleep(3)
        before = len(self.runs(self.engines[engine]))
        texts = [self.stream(f"leaving {engine} {index}", index % 2) for index in range(25)]
        self.assertTrue(all(self.is_whole_answer(text) for text in texts))
        self.assertEqual(len(self.runs(self.engines[engine])), before)

    def test_an_upstream_listed_as_leaving_gets_no_work(self) -> None:
        self.fleet.put_upstream(self.engines[0], "leaving")
        self.assert_gets_no_work(0)
        self.fleet.put_upstream(self.engines[0], "live")
        self.eventually(lambda: self.gets_work(0))

    def test_an_engine_that_reports_leaving_gets_no_work_during_an_outage(self) -> None:
        fetch(f"{self.fleet.platform_url}/faults", {"name": "outage", "count": 1, "seconds": 8})
        self.engines[1].arm("leaving", count=1000)
        self.assert_gets_no_work(1)
        self.engines[1].arm("leaving", count=0)
        self.eventually(lambda: self.gets_work(1), 15)
        # The next test writes to the platform.
        self.eventually(self.is_platform_reachable, 15)

    def is_platform_reachable(self) -> bool:
        try:
            fetch(f"{self.fleet.platform_url}/v1/objects/upstream")
        except urllib.error.HTTPError as error:
            error.close()
            return False
        return True

    def test_an_engine_configured_as_leaving_gets_no_work(self) -> None:
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
        self.eventually(lambda: self.gets_work(2))

    def gets_work(self, engine: int) -> bool:
        before = len(self.runs(self.engines[engine]))
        for index in range(20):
            self.stream(f"again {engine} {index}")
        return len(self.runs(self.engines[engine])) > before


class DrainTest(FleetCase):
    """A planned stop cuts no request."""

    HALLS = ("recife-1", "recife-1", "recife-2")

    def test_two_routers_that_stop_together_finish_their_streams_and_exit_0(self) -> None:
        texts: list[str] = []
        callers = [
            threading.Thread(
                target=lambda index=index: texts.append(
                    self.stream(f"drain {index}", index % 3, 900)
                )
            )
            for index in range(12)
        ]
        for caller in callers:
            caller.start()
        # Each stream is long enough to be still running when the last has begun.
        self.eventually(lambda: len(self.all_runs()) == 12, 60)
        for router in self.fleet.routers[:2]:
            router.process.send_signal(signal.SIGTERM)
        codes = [router.process.wait(60) for router in self.fleet.routers[:2]]
        self.assertEqual(codes, [0, 0])
        for caller in callers:
            caller.join(60)
        self.assertEqual(len(texts), 12)
        self.assertTrue(all(self.is_whole_answer(text, 900) for text in texts))


class StopSignalTest(FleetCase):
    """One router that gets several stop signals."""

    HALLS = ("recife-1",)
    ENGINES = 1

    def test_repeated_stop_signals_leave_the_exit_code_0(self) -> None:
        process = self.fleet.routers[0].process
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
