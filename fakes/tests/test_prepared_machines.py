"""Router processes with the settings of the prepared machines, over sockets."""

from __future__ import annotations

import signal
import threading
import unittest
import urllib.error
import urllib.request
import uuid
from dataclasses import dataclass
from typing import Any, ClassVar

from fakes._local_fleet import Backend, fetch
from fakes._machines_engine import STREAM_EVENTS
from fakes._machines_fleet import HALLS, MachinesFleet, MachinesRouter, eventually, with_version
from pondhatch.platform.tests._wire import CONFIGURATION

KEY = "key-1"
WHOLE_STREAM = b"".join(
    b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, STREAM_EVENTS + 1)
)


@dataclass(frozen=True)
class Answer:
    status: int
    headers: Any
    body: bytes


class MachinesCase(unittest.TestCase):
    """Two routers in two halls, two engines of each service."""

    fleet: ClassVar[MachinesFleet]

    @classmethod
    def setUpClass(cls) -> None:
        fleet = MachinesFleet(log_level="ERROR")
        cls.fleet = cls.enterClassContext(fleet)
        cls.fleet.put_object("config", "main", CONFIGURATION)
        for index in range(2):
            for service in ("lang", "portal"):
                cls.fleet.add_engine(f"i-{service}-{index}", service, HALLS[index])
        for hall in HALLS:
            cls.fleet.add_router(hall)
        eventually(lambda: all(router.is_ready() for router in cls.fleet.machine_routers))
        eventually(lambda: all(cls.is_served(router) for router in cls.fleet.machine_routers))

    @classmethod
    def is_served(cls, router: MachinesRouter) -> bool:
        return cls.send_request(router, "/x").status == 200

    @classmethod
    def send_request(
        cls,
        router: MachinesRouter,
        path: str,
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        sent = {
            "Host": "desk.example",
            "Attempt-Id": uuid.uuid4().hex[:16],
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "5000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        request = urllib.request.Request(router.caller_url + path, data=body, headers=sent)
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                return Answer(answer.status, answer.headers, answer.read())
        except urllib.error.HTTPError as error:
            with error:
                return Answer(error.code, error.headers, error.read())

    def engines(self, service: str) -> list[Backend]:
        return [each for each in self.fleet.backends if each.service == service]

    def runs(self, service: str, attempt: str) -> list[dict[str, Any]]:
        found = [run for each in self.engines(service) for run in fetch(f"{each.url}/runs")]
        return [run for run in found if run["id"] == attempt]


class ServingTest(MachinesCase):
    def test_a_request_reaches_an_engine_unchanged_and_its_answer_comes_back(self) -> None:
        for router in self.fleet.machine_routers:
            attempt = uuid.uuid4().hex[:16]
            answer = self.send_request(router, "/proofs/a?b=1", b"hello", Attempt_Id=attempt)
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.body.startswith(b"hello by i-portal-"), answer.body)
            self.assertTrue(answer.headers["Instance-Signature"].endswith(attempt))
            (run,) = self.runs("portal", attempt)
            self.assertEqual(run["headers"]["tenant"], "pina")
            self.assertNotIn("authorization", run["headers"])
            self.assertLessEqual(int(run["headers"]["deadline-ms"]), 1500)

    def test_an_unknown_key_and_an_unknown_host_are_refused(self) -> None:
        router = self.fleet.machine_routers[0]
        self.assertEqual(self.send_request(router, "/proofs/a", b"x", Authorization="").status, 401)
        self.assertEqual(
            self.send_request(router, "/proofs/a", b"x", Host="other.example").status, 404
        )

    def test_a_router_serves_its_metrics_as_text(self) -> None:
        router = self.fleet.machine_routers[0]
        self.send_request(router, "/proofs/a", b"x")
        metrics = fetch(router.metrics_url)
        outcome = 'pondhatch_requests_total{outcome="whole",router="edge-0"}'
        self.assertIn(outcome, metrics)
        self.assertIn("pondhatch_requests_placed_seconds_bucket", metrics)
        self.assertIn("pondhatch_routers_known", metrics)

    def test_a_broken_stream_resumes_at_another_engine_in_the_same_answer(self) -> None:
        for engine in self.engines("lang"):
            engine.arm("cut", 1)
        attempt = uuid.uuid4().hex[:16]
        answer = self.send_request(
            self.fleet.machine_routers[0], "/notes/a", b"x", Attempt_Id=attempt
        )
        for engine in self.engines("lang"):
            engine.arm("cut", 0)
        runs = self.runs("lang", attempt)
        self.assertEqual((answer.status, answer.body), (200, WHOLE_STREAM))
        self.assertEqual([run["outcome"] for run in runs].count("cut"), 1)
        self.assertIn("2", [run["headers"].get("last-event-id") for run in runs])

    def test_an_unrepeatable_request_with_a_crossed_answer_runs_once(self) -> None:
        for engine in self.engines("portal"):
            engine.arm("cross", 1)
        attempt = uuid.uuid4().hex[:16]
        answer = self.send_request(
            self.fleet.machine_routers[0], "/proofs/a", b"x", Attempt_Id=attempt
        )
        for engine in self.engines("portal"):
            engine.arm("cross", 0)
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.runs("portal", attempt)), 1)

    def test_a_request_reported_as_not_run_did_not_run(self) -> None:
        # Enough refusals for all tries: a request is sent once more to an engine that was full.
        for engine in self.engines("portal"):
            engine.arm("refuse", 100)
        attempt = uuid.uuid4().hex[:16]
        answer = self.send_request(
            self.fleet.machine_routers[0], "/proofs/a", b"x", Attempt_Id=attempt
        )
        for engine in self.engines("portal"):
            engine.arm("refuse", 0)
        self.assertEqual(answer.status, 503)
        self.assertIsNotNone(answer.headers["Retry-After"])
        self.assertEqual(self.runs("portal", attempt), [])

    def test_an_engines_own_failure_keeps_its_signature(self) -> None:
        for engine in self.engines("portal"):
            engine.arm("fail", 1)
        answer = self.send_request(self.fleet.machine_routers[0], "/proofs/a", b"x")
        for engine in self.engines("portal"):
            engine.arm("fail", 0)
        self.assertEqual((answer.status, answer.body), (500, b"failed"))
        self.assertIsNotNone(answer.headers["Instance-Signature"])


class ChangeTest(MachinesCase):
    def test_a_new_configuration_applies_at_every_router_and_revokes_a_key(self) -> None:
        newer = with_version(CONFIGURATION, 20)
        newer["Tenants"][0]["ApiKeys"] = ["key-9"]
        self.fleet.put_object("config", "main", newer)
        for router in self.fleet.machine_routers:
            eventually(
                lambda router=router: self.send_request(router, "/proofs/a", b"x").status == 401,  # type: ignore[misc]
                5,
            )
            answer = self.send_request(router, "/proofs/a", b"x", Authorization="Bearer key-9")
            self.assertEqual(answer.status, 200)
        restored = with_version(CONFIGURATION, 21)
        self.fleet.put_object("config", "main", restored)
        for router in self.fleet.machine_routers:
            eventually(
                lambda router=router: self.send_request(router, "/proofs/a", b"x").status == 200,  # type: ignore[misc]
                5,
            )

    def test_a_draining_engine_gets_no_new_requests(self) -> None:
        leaving = self.engines("portal")[0]
        self.fleet.put_engine(leaving, "draining")
        others = {each.name for each in self.engines("portal")} - {leaving.name}

        def only_others(router: MachinesRouter) -> bool:
            answers = [self.send_request(router, "/proofs/a", b"x").body.decode() for _ in range(8)]
            return {answer.split()[-1] for answer in answers} <= others

        for router in self.fleet.machine_routers:
            eventually(lambda router=router: only_others(router), 5)  # type: ignore[misc]
        self.fleet.put_engine(leaving, "ready")

    def test_traffic_continues_through_an_outage_and_a_compaction_of_the_store(self) -> None:
        self.fleet.object_store.arm("outage", 1, 2.5)
        for _ in range(10):
            for router in self.fleet.machine_routers:
                self.assertEqual(self.send_request(router, "/x").status, 200)
        self.fleet.object_store.arm("compact", 1)
        newer = with_version(CONFIGURATION, 30)
        newer["Routes"] = [each for each in newer["Routes"] if each["Name"] != "r-proofs"]
        eventually(lambda: self._put_configuration(newer), 10)
        for router in self.fleet.machine_routers:
            eventually(
                lambda router=router: self.send_request(router, "/proofs/a").status == 200,  # type: ignore[misc]
                10,
            )

    def _put_configuration(self, configuration: dict[str, Any]) -> bool:
        try:
            self.fleet.put_object("config", "main", configuration)
        except urllib.error.HTTPError as error:
            error.close()
            return False
        return True


class ShutdownTest(MachinesCase):
    def test_a_stop_cuts_no_request_and_ends_readiness_at_once(self) -> None:
        router = self.fleet.machine_routers[0]
        for engine in self.engines("portal"):
            engine.arm("stall", 1, 1.0)
        answers: list[Answer] = []
        caller = threading.Thread(
            target=lambda: answers.append(self.send_request(router, "/proofs/a", b"x"))
        )
        caller.start()
        eventually(lambda: self._in_flight() > 0, 5)
        router.process.send_signal(signal.SIGTERM)
        eventually(lambda: not router.is_ready(), 2)
        late = self.send_request(router, "/x")
        caller.join()
        self.assertEqual((answers[0].status, late.status), (200, 200))
        self.assertEqual(late.headers["Connection"], "close")
        self.assertEqual(router.process.wait(timeout=10), 0)

    def _in_flight(self) -> int:
        runs = [run for each in self.engines("portal") for run in fetch(f"{each.url}/runs")]
        return [run["outcome"] for run in runs].count("running")
