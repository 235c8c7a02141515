"""Each check reports the violation of its promise, and nothing else."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from soak._checks import CHECK_BY_NAME, violations
from soak._records import (
    Arrival,
    Attempt,
    Disturbance,
    EngineLife,
    KeyUse,
    ObservedVersion,
    Records,
    Route,
)
from soak._stream_checks import stream

WHOLE_STREAM = stream("v1")
STREAM = Route("/notes/a", is_repeatable=True, is_stream=True)
ONCE = Route("/proofs/a", is_repeatable=False, is_stream=False)


def attempt(name: str, route: Route = ONCE, at: float = 10.0, **changes: Any) -> Attempt:
    """Return a request that engine e answered completely, through router r."""
    body = WHOLE_STREAM if route.is_stream else b"body by e"
    whole = Attempt(name, route, "r", at, at + 0.1, 200, f"e.{name}", True, body)
    return replace(whole, **changes)


def arrival(name: str, at: float = 10.05, **changes: Any) -> Arrival:
    """Return that request as engine e saw it."""
    return replace(Arrival(name, "e", at, at + 0.01, True, False, 0.0), **changes)


def refusal(name: str, route: Route = ONCE) -> Attempt:
    """Return a request that the router refused."""
    return attempt(name, route, status=503, signature="", body=b"")


class ChecksTest(unittest.TestCase):
    def violated_checks(self, **records: Any) -> set[str]:
        return {each.partition(":")[0] for each in violations(Records(**records))}

    def test_a_run_that_keeps_all_promises_passes(self) -> None:
        attempts = [attempt("a"), attempt("b", STREAM), refusal("c")]
        arrivals = [arrival("a"), arrival("b"), arrival("b", at=10.07)]
        self.assertEqual(self.violated_checks(attempts=attempts, arrivals=arrivals), set())

    def test_dropped_keys(self) -> None:
        late, in_time = KeyUse("r", 10.0, 12.1, 200), KeyUse("r", 10.0, 11.9, 200)
        self.assertEqual(self.violated_checks(key_uses=[late]), {"dropped keys"})
        refused = replace(late, status=401)
        self.assertEqual(self.violated_checks(key_uses=[in_time, refused]), set())
        for name, is_excused in (("r", True), ("store", True), ("other", False)):
            with self.subTest(name):
                struck = [Disturbance("freeze", name, 8.0, 9.5)]
                found = self.violated_checks(key_uses=[late], disturbances=struck)
                self.assertEqual(found, set() if is_excused else {"dropped keys"})

    def test_bad_parts(self) -> None:
        self.assertEqual(self.violated_checks(ends_by_bad_part={"bad01": 6}), set())
        self.assertEqual(self.violated_checks(ends_by_bad_part={"bad01": 7}), {"bad parts"})

    def test_whole_answers(self) -> None:
        for changes in ({"body": b"body by f"}, {"signature": "e.other"}, {"signature": ""}):
            with self.subTest(changes):
                self.assertEqual(
                    self.violated_checks(attempts=[attempt("a", **changes)]), {"whole answers"}
                )
        cut = attempt("a", STREAM, body=WHOLE_STREAM[:-1])
        self.assertEqual(self.violated_checks(attempts=[cut]), {"whole answers"})
        self.assertEqual(self.violated_checks(attempts=[replace(cut, is_whole=False)]), set())

    # A whole stream after the comments of an engine that was given up was reported as if only the
    # comments had come.
    def test_a_stream_is_whole_by_its_events_and_not_by_its_comments(self) -> None:
        comments, half = b": still here\n\n" * 3, len(WHOLE_STREAM) // 2
        events = WHOLE_STREAM.split(b"\n\n", 1)
        broken = {"whole answers"}
        rows: tuple[tuple[bytes, set[str]], ...] = (
            (comments + WHOLE_STREAM, set()),
            (b": still here\n" + WHOLE_STREAM + comments, set()),
            (events[0] + b"\n\n" + comments + events[1], set()),
            (comments, broken),
            (comments + WHOLE_STREAM[:half], broken),
            (comments + WHOLE_STREAM[:-1], broken),
            (comments + WHOLE_STREAM + WHOLE_STREAM, {*broken, "each event once"}),
            (comments + b": still he" + WHOLE_STREAM, broken),
            (WHOLE_STREAM + b": still he", broken),
        )
        for body, violated in rows:
            with self.subTest(body=body):
                found = self.violated_checks(attempts=[attempt("a", STREAM, body=body)])
                self.assertEqual(found, violated)

    # Guards tries that broke off, whose events no other check counts.
    def test_each_event_once(self) -> None:
        events = [f"id: {number}\ndata: {number} v1\n\n".encode() for number in range(1, 7)]
        for numbers, last_event, is_kept in (
            ((1, 2), 0, True),
            ((4, 5), 3, True),
            ((), 3, True),
            ((2, 3), 0, False),
            ((3, 4), 3, False),
            ((5,), 3, False),
            ((4, 6), 3, False),
            ((4, 4), 3, False),
        ):
            body = b"".join(events[number - 1] for number in numbers)
            part = attempt("a", STREAM, is_whole=False, body=body, last_event=last_event)
            with self.subTest(numbers=numbers, last_event=last_event):
                violated = self.violated_checks(attempts=[part])
                self.assertEqual(violated, set() if is_kept else {"each event once"})

    def test_one_software_version(self) -> None:
        begun = attempt("a", STREAM, is_whole=False, body=WHOLE_STREAM[:50])
        for version, violated in (("v1", set()), ("v2", {"one software version"})):
            rest = attempt(
                "b", STREAM, 11.0, resumed_attempt="a", last_event=3, body=stream(version, 3)
            )
            with self.subTest(version):
                self.assertEqual(self.violated_checks(attempts=[begun, rest]), violated)
        both = attempt("a", STREAM, body=WHOLE_STREAM[:50] + stream("v2", 3))
        self.assertIn("one software version", self.violated_checks(attempts=[both]))

    def test_streams_go_on(self) -> None:
        begun = [attempt(f"a{n}", STREAM) for n in range(12)]
        lives = {name: EngineLife(name, "lang", "v1", 0.0) for name in ("e", "f")}
        for refused, violated in ((6, set()), (7, {"streams go on"})):
            resumed = [
                attempt(
                    f"b{n}",
                    STREAM,
                    20.0,
                    resumed_attempt=f"a{n}",
                    last_event=3,
                    status=503 if n < refused else 200,
                    body=b"" if n < refused else stream("v1", 3),
                )
                for n in range(12)
            ]
            records: dict[str, Any] = {"attempts": begun + resumed}
            with self.subTest(refused=refused):
                self.assertEqual(self.violated_checks(**records, engine_lives=lives), violated)
                # One engine of the version alone, or a router that was disturbed, excuses it.
                self.assertEqual(
                    self.violated_checks(**records, engine_lives={"e": lives["e"]}), set()
                )
                killed = [Disturbance("kill", "r", 19.5, 19.6)]
                self.assertEqual(
                    self.violated_checks(**records, engine_lives=lives, disturbances=killed),
                    set(),
                )

    def test_streams_outlive_routers(self) -> None:
        at = 10.0
        begun = [attempt(f"b{number}", STREAM, at) for number in range(40)]
        resumed = [
            replace(refusal(f"r{number}", STREAM), resumed_attempt=f"b{number}", last_event=3)
            for number in range(12)
        ]
        late = [replace(each, sent_at=14.0, ended_at=14.1) for each in resumed]
        others = [
            attempt(f"o{number}", STREAM, 10.3, resumed_attempt=f"b{20 + number}", last_event=3)
            for number in range(20)
        ]
        others = [replace(each, body=stream("v1", 3)) for each in others]
        attempts = [*begun, *late, *others]
        lives = {name: EngineLife(name, "lang", "v1", 0.0) for name in ("e", "f")}
        kill = Disturbance("kill-all", "q", 11.0, 12.0)
        records: dict[str, Any] = {"attempts": attempts, "engine_lives": lives}
        self.assertEqual(
            self.violated_checks(**records, disturbances=[kill]), {"streams outlive routers"}
        )
        for allowed in (
            [replace(kill, begins=10.5)],
            [replace(kill, name="r", ends=13.5)],
            [kill, Disturbance("store-out", "store", 11.0, 11.5)],
            [kill, Disturbance("freeze", "e", 13.0, 13.5)],
        ):
            self.assertEqual(self.violated_checks(**records, disturbances=allowed), set())

    def test_at_most_once(self) -> None:
        twice = [arrival("a"), arrival("a", engine="f")]
        self.assertEqual(
            self.violated_checks(attempts=[attempt("a")], arrivals=twice), {"at most once"}
        )
        refused = [arrival("a"), arrival("a", ran=False)]
        self.assertEqual(self.violated_checks(attempts=[attempt("a")], arrivals=refused), set())

    def test_true_refusals(self) -> None:
        found = self.violated_checks(attempts=[refusal("a")], arrivals=[arrival("a")])
        self.assertEqual(found, {"true refusals"})
        found = self.violated_checks(attempts=[refusal("a")], arrivals=[arrival("a", ran=False)])
        self.assertEqual(found, set())

    def test_leaving_engines(self) -> None:
        first = attempt("a"), arrival("a", announced_leaving=True)
        for sent_at, breaks in ((11.9, False), (12.2, True)):
            late = attempt("b", at=sent_at), arrival("b", at=sent_at + 0.05)
            records = {"attempts": [first[0], late[0]], "arrivals": [first[1], late[1]]}
            with self.subTest(sent_at=sent_at):
                self.assertEqual(bool(self.violated_checks(**records)), breaks)
                freeze = Disturbance("freeze", "r", 11.0, 11.5)
                self.assertFalse(self.violated_checks(**records, disturbances=[freeze]))

    # Guards against blaming a router for requests to an engine whose address was taken over.
    def test_leaving_engines_get_requests_only_for_the_engine_that_ended_at_their_address(
        self,
    ) -> None:
        lives = {
            "e": EngineLife("e", "lang", "v1", 2.0),
            "ended": EngineLife("ended", "lang", "v1", 1.0, 2.0),
            "serving": EngineLife("serving", "lang", "v1", 1.0),
            "ended-later": EngineLife("ended-later", "lang", "v1", 1.0, 12.5),
        }
        attempts = [attempt("a"), attempt("b", at=12.2)]
        for meant_for, breaks in (
            ("ended", False),
            ("e", True),
            ("serving", True),
            ("ended-later", True),
            ("unknown", True),
            ("", True),
        ):
            late = arrival("b", at=12.25, ran=False, meant_for=meant_for)
            arrivals = [arrival("a", announced_leaving=True), late]
            found = self.violated_checks(attempts=attempts, arrivals=arrivals, engine_lives=lives)
            with self.subTest(meant_for=meant_for):
                self.assertEqual("leaving engines" in found, breaks)

    def test_resting_engines(self) -> None:
        asked = arrival("a", ran=False, rest_seconds=3.0)
        for times, breaks in (((10.2, 10.3, 10.4), False), ((11.0, 11.0, 12.9), True)):
            later = {f"b{index}": when for index, when in enumerate(times)}
            attempts = [refusal("a"), *(attempt(name, STREAM, at) for name, at in later.items())]
            arrivals = [asked, *(arrival(name, at) for name, at in later.items())]
            with self.subTest(times=times):
                found = self.violated_checks(attempts=attempts, arrivals=arrivals)
                self.assertEqual(found, {"resting engines"} if breaks else set())

    def test_cut_off_routers(self) -> None:
        cut = Disturbance("path-hanging", "r", 10.0, 20.0)
        here = [replace(refusal(f"a{index}"), sent_at=14.0, ended_at=14.1) for index in range(12)]
        others = [replace(attempt(f"b{index}", at=14.0), router="s") for index in range(12)]
        arrivals = [arrival(each.id, at=14.05) for each in others]
        records: dict[str, Any] = {"arrivals": arrivals, "disturbances": [cut]}
        self.assertEqual(
            self.violated_checks(attempts=here + others, **records), {"cut off routers"}
        )
        early = [replace(each, sent_at=12.9, ended_at=13.0) for each in here]
        self.assertEqual(self.violated_checks(attempts=early + others, **records), set())
        self.assertEqual(self.violated_checks(attempts=here[:10] + others, **records), set())
        # It may have been served through a router that was killed.
        for router in ("r", "s"):
            records["disturbances"] = [cut, Disturbance("kill-all", router, 8.0, 9.0)]
            self.assertEqual(self.violated_checks(attempts=here + others, **records), set())
            later = [replace(each, sent_at=15.1, ended_at=15.2) for each in here + others]
            self.assertEqual(self.violated_checks(attempts=later, **records), {"cut off routers"})

    def test_planned_stops(self) -> None:
        lost = attempt("a", status=None, is_whole=False, ended_at=11.0)
        stop = Disturbance("stop", "r", 10.5, 12.0)
        records: dict[str, Any] = {"attempts": [lost], "arrivals": [arrival("a")]}
        self.assertEqual(self.violated_checks(**records, disturbances=[stop]), {"planned stops"})
        crash = Disturbance("engine-crash", "e", 10.6, 10.7)
        self.assertEqual(self.violated_checks(**records, disturbances=[stop, crash]), set())

    def test_configuration_goes_on(self) -> None:
        versions = [ObservedVersion("r", 0, 1.0, 8), ObservedVersion("r", 0, 2.0, 7)]
        self.assertEqual(self.violated_checks(versions=versions), {"configuration goes on"})
        after_restart = [versions[0], ObservedVersion("r", 1, 2.0, 7)]
        self.assertEqual(self.violated_checks(versions=after_restart), set())

    def test_recovery(self) -> None:
        tail = [*(attempt(f"a{index}", at=21.0) for index in range(8)), refusal("b"), refusal("c")]
        late = [replace(each, sent_at=21.0) for each in tail]
        self.assertEqual(self.violated_checks(attempts=late, recovery_deadline=20.0), {"recovery"})
        self.assertEqual(
            self.violated_checks(attempts=late[:9], recovery_deadline=20.0), {"recovery"}
        )
        self.assertEqual(self.violated_checks(attempts=late[:8], recovery_deadline=20.0), set())

    def test_lives(self) -> None:
        self.assertEqual(self.violated_checks(unexpected_exits=["r"]), {"lives"})

    def test_errors(self) -> None:
        self.assertEqual(self.violated_checks(errors=["KeyError: 1", "KeyError: 1"]), {"errors"})

    def test_every_check_has_a_test(self) -> None:
        for name in CHECK_BY_NAME:
            self.assertTrue(hasattr(self, f"test_{name.replace(' ', '_')}"), name)
