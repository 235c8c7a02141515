"""End-to-end tests over real processes, with the unmodified OpenAI client."""

from __future__ import annotations

import os
import unittest
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, ClassVar

import openai

from fakes._local_fleet import ROOT, LocalFleet

KEY = "example-visualisers-pina"
MESSAGES = [{"role": "user", "content": "brise-soleil in travertine " * 40}]


class EndToEndTest(unittest.TestCase):
    """Three routers, three engines, one plain service and the platform."""

    fleet: ClassVar[LocalFleet]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(LocalFleet(log_level="ERROR"))
        for index in range(3):
            cls.fleet.add_backend(
                "engine", f"engine-{index}", "scene-language", f"recife-{index % 2 + 1}"
            )
        cls.fleet.add_backend("plain", "portal-0", "proof-portal", "recife-1")
        cls.fleet.add_routers(["recife-1", "recife-1", "recife-2"])
        applied = cls.fleet.apply(ROOT / "examples/render-desk")
        if applied.returncode != 0:
            raise AssertionError(applied.stderr)
        cls.fleet.await_convergence(1)

    def client(self, router: int, key: str = KEY) -> openai.OpenAI:
        base = f"{self.fleet.routers[router].callers}/v1"
        return openai.OpenAI(base_url=base, api_key=key, max_retries=0)

    def chat(self, router: int) -> Any:
        return self.client(router).chat.completions

    def fetch(self, path: str, data: bytes | None = None, key: str = KEY) -> tuple[int, bytes]:
        request = urllib.request.Request(
            self.fleet.routers[0].callers + path,
            data=data,
            headers={"Authorization": f"Bearer {key}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=20) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as error:
            with error:
                return error.code, error.read()

    def test_streamed_and_whole_answers_agree_at_every_router(self) -> None:
        answers = set()
        for router in range(3):
            chat = self.chat(router)
            whole = chat.create(model="scene-writer", messages=MESSAGES)
            answers.add(whole.choices[0].message.content)
            stream = chat.create(model="scene-writer", messages=MESSAGES, stream=True)
            answers.add("".join(part.choices[0].delta.content or "" for part in stream))
        self.assertEqual(len(answers), 1)
        self.assertIn("1.15.", answers.pop() or "")

    def test_a_returning_chat_finds_its_cached_context_through_another_router(self) -> None:
        messages = [{"role": "user", "content": "north facade at dusk " * 60}]
        first = self.chat(0).create(model="scene-writer", messages=messages)
        reply = first.choices[0].message.content
        messages += [
            {"role": "assistant", "content": reply or ""},
            {"role": "user", "content": "again"},
        ]
        later = self.chat(2).create(model="scene-writer", messages=messages)
        details = later.usage.prompt_tokens_details if later.usage else None
        self.assertGreater((details.cached_tokens or 0) if details else 0, 300)

    def test_lists_only_the_models_of_the_account(self) -> None:
        self.assertEqual([model.id for model in self.client(1).models.list()], ["scene-writer"])

    def test_plain_services_take_any_method_and_large_bodies(self) -> None:
        body = b"proof" * 200_000
        self.assertEqual(self.fetch("/proofs/assets/echo", body), (200, body))
        status, content = self.fetch("/proofs/list?since=3")
        self.assertEqual((status, content), (200, b"portal-0 GET /proofs/list?since=3"))

    def test_refusals_carry_their_code_and_the_not_run_outcome(self) -> None:
        cases = [
            ("/proofs/x", "no-such-key", 401, b"unknown-key"),
            ("/elsewhere/x", KEY, 404, b"no-service"),
            ("/v1/chat/completions", KEY, 400, b"malformed"),
            ("/v1/chat/completions", "example-studio-aurora", 403, b"not-allowed"),
        ]
        chat = b'{"model": "scene-writer", "messages": [{"role": "user", "content": "x"}]}'
        for path, key, status, code in cases:
            with self.subTest(code=code):
                data = None if path.startswith(("/proofs", "/else")) else chat
                if code == b"malformed":
                    data = b'{"model": 3}'
                found, content = self.fetch(path, data, key)
                self.assertEqual(found, status, content)
                self.assertIn(code, content)
                self.assertIn(b'"not-run"', content)

    def test_a_router_is_one_thread_and_starts_no_process(self) -> None:
        for router in self.fleet.routers:
            tasks = Path(f"/proc/{router.process.pid}/task")
            self.assertEqual([task.name for task in tasks.iterdir()], [str(router.process.pid)])
            children = tasks / str(router.process.pid) / "children"
            self.assertEqual(children.read_text(), "")

    def test_a_router_uses_no_io_uring(self) -> None:
        for router in self.fleet.routers:
            opened = Path(f"/proc/{router.process.pid}/fd").iterdir()
            self.assertFalse([fd for fd in opened if "io_uring" in os.readlink(fd)])

    def test_the_dump_explains_decisions_and_names_no_key(self) -> None:
        self.fetch("/proofs/explained")
        admin = self.fleet.routers[0].admin
        text = self.fleet.run_cli("dump", "--admin", admin).stdout
        self.assertIn("visualisers-pina -> proof-portal: portal-0, whole", text)
        as_json = self.fleet.run_cli("dump", "--admin", admin, "--json").stdout
        where = self.fleet.run_cli("where", "--admin", admin).stdout.splitlines()
        self.assertEqual(len(where), len(self.fleet.routers))
        self.assertTrue(all(line.startswith("1  router-") for line in where), where)
        for shown in (text, as_json):
            self.assertNotIn(KEY, shown)
            self.assertNotIn("key_hash", shown)


if __name__ == "__main__":
    unittest.main()
