"""A fleet of processes shared by the tests of one class."""

from __future__ import annotations

import time
import unittest
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar

import openai

from fakes._local_fleet import ROOT, Backend, LocalFleet, Router, fetch

KEY = "example-visualisers-pina"
#: Faults that ``disarm`` disarms at every stand-in.
FAULTS = (
    "cut",
    "stall",
    "cross",
    "delay",
    "late",
    "duplicate",
    "garble",
    "end-early",
    "refuse",
    "leaving",
    "says-leaving",
    "shed",
)


@dataclass(frozen=True)
class Answer:
    """The answer to a plain request."""

    status: int
    headers: Any
    body: bytes


class FleetCase(unittest.TestCase):
    """Starts the fleet of the example render desk; class attributes set its size."""

    HALLS: ClassVar[tuple[str, ...]] = ("recife-1", "recife-1")
    ENGINES: ClassVar[int] = 2
    RESUMES: ClassVar[bool] = False
    TOKEN_INTERVAL: ClassVar[float] = 0.005
    SETTINGS: ClassVar[dict[str, Any]] = {}
    fleet: ClassVar[LocalFleet]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(LocalFleet(log_level="ERROR"))
        for index in range(cls.ENGINES):
            hall = cls.HALLS[index % len(cls.HALLS)]
            cls.fleet.add_backend(
                "engine",
                f"engine-{index}",
                "scene-language",
                hall,
                cls.RESUMES,
                step=cls.TOKEN_INTERVAL,
            )
        cls.fleet.add_backend("plain", "portal-0", "proof-portal", cls.HALLS[0])
        cls.fleet.add_routers(cls.HALLS, cls.caller_settings(), cls.peer_settings(), **cls.SETTINGS)
        applied = cls.fleet.apply(ROOT / "examples/render-desk")
        if applied.returncode != 0:
            raise AssertionError(applied.stderr)
        cls.fleet.await_convergence(1)

    @classmethod
    def caller_settings(cls) -> dict[str, Any]:
        """Return additional settings of the callers' endpoint."""
        return {}

    @classmethod
    def peer_settings(cls) -> dict[str, Any]:
        """Return additional settings of the peers' endpoint."""
        return {}

    @property
    def engines(self) -> list[Backend]:
        return [each for each in self.fleet.backends if each.service == "scene-language"]

    @property
    def portal(self) -> Backend:
        return next(each for each in self.fleet.backends if each.service == "proof-portal")

    def chat(self, router: int = 0, retries: int = 0) -> Any:
        base = f"{self.fleet.routers[router].callers}/v1"
        return openai.OpenAI(base_url=base, api_key=KEY, max_retries=retries).chat.completions

    def stream(self, content: str, router: int = 0, tokens: int = 16) -> str:
        received: list[str] = []
        self.stream_into(received, content, router, tokens)
        return "".join(received)

    def stream_into(
        self, received: list[str], content: str, router: int = 0, tokens: int = 16
    ) -> None:
        """Append each piece as it arrives, so that the text is available after an error."""
        messages = [{"role": "user", "content": content}]
        parts = self.chat(router).create(
            model="scene-writer", messages=messages, stream=True, max_tokens=tokens
        )
        for part in parts:
            received.append(part.choices[0].delta.content or "")

    def is_whole_answer(self, text: str, tokens: int = 16) -> bool:
        words = text.split()
        return [word.rsplit(".", 1)[0] for word in words] == [
            f"1.{index}" for index in range(tokens)
        ]

    def call_plain(
        self, path: str, body: bytes | None = None, router: int = 0, **headers: Any
    ) -> Answer:
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        sent.setdefault("Authorization", f"Bearer {KEY}")
        url = self.fleet.routers[router].callers + path
        request = urllib.request.Request(url, data=body, headers=sent)
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                return Answer(answer.status, answer.headers, answer.read())
        except urllib.error.HTTPError as error:
            with error:
                return Answer(error.code, error.headers, error.read())

    def call_counts(self) -> dict[str, int]:
        counted: dict[str, int] = fetch(f"{self.portal.url}/calls")["calls"]
        return counted

    def runs(self, engine: Backend) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = fetch(f"{engine.url}/runs")
        return found

    def all_runs(self) -> list[dict[str, Any]]:
        return [run for engine in self.engines for run in self.runs(engine)]

    def arm_all(self, fault: str, count: int = 1, seconds: float = 0.0) -> None:
        for engine in self.engines:
            engine.arm(fault, count, seconds)

    def disarm(self) -> None:
        for backend in self.fleet.backends:
            for fault in FAULTS:
                backend.arm(fault, count=0)

    def eventually(self, condition: Callable[[], bool], seconds: float = 10.0) -> None:
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                self.fail(f"the condition did not hold within {seconds} s")
            time.sleep(0.05)

    def owner_of(self, engine: str) -> Router:
        state = self.fleet.routers[0].state()
        name = next(each["owner"] for each in state["upstreams"] if each["name"] == engine)
        return next(router for router in self.fleet.routers if router.name == name)
