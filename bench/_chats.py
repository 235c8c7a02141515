"""Sends multi-turn chats to a fleet with the stock client and counts the outcomes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import openai

#: Default number of tokens in an answer of the stand-in engine.
ANSWER_TOKENS = 16
#: Least share of the previous turn's prompt that must be cached for the context to count as found.
FOUND_SHARE = 0.9


@dataclass
class Tally:
    """Counts of the turns sent and of their outcomes."""

    sent: int = 0
    whole: int = 0
    #: Refusals by code; one without the statement that nothing ran is among ``bad`` too.
    refused: dict[str, int] = field(default_factory=dict)
    #: Answers that were wrong, broken, or refused without the statement that nothing ran.
    bad: list[str] = field(default_factory=list)
    #: Answered turns after the first of a chat, and those of them that found their context.
    returning: int = 0
    context_found: int = 0

    @property
    def reuse(self) -> float:
        """Share of returning turns that found their context."""
        return self.context_found / self.returning if self.returning else 0.0


@dataclass(frozen=True)
class ChatLoad:
    """What to send: chats of several turns, over some accounts."""

    model: str
    #: API keys of the accounts that chat.
    keys: tuple[str, ...]
    chats: int
    turns: int
    #: Chats that run concurrently.
    concurrency: int
    #: Longest pause between two turns of a chat, in seconds.
    pause: float = 0.2
    seed: int = 1


async def send_chats(bases: Sequence[str], load: ChatLoad) -> Tally:
    """Send all chats, each turn through a random router, and return the tally."""
    rng = random.Random(load.seed)
    tally = Tally()
    concurrency_limit = asyncio.Semaphore(load.concurrency)
    clients = [
        openai.AsyncOpenAI(base_url=f"{base}/v1", api_key=key, max_retries=2, timeout=60)
        for base in bases
        for key in load.keys
    ]
    clients_by_key = {key: [c for c in clients if c.api_key == key] for key in load.keys}

    async def run_chat(number: int) -> None:
        async with concurrency_limit:
            choices = clients_by_key[load.keys[number % len(load.keys)]]
            await _chat(choices, load, number, random.Random(rng.random()), tally)

    await asyncio.gather(*(run_chat(number) for number in range(load.chats)))
    await asyncio.gather(*(client.close() for client in clients))
    return tally


async def _chat(
    clients: Sequence[openai.AsyncOpenAI],
    load: ChatLoad,
    number: int,
    rng: random.Random,
    tally: Tally,
) -> None:
    opening = f"chat {number}: " + " ".join(rng.choices(("stone", "glass", "dusk", "brick"), k=200))
    messages: list[Any] = [{"role": "user", "content": opening}]
    previous_prompt_tokens = 0
    for turn in range(load.turns):
        answer = await _turn(rng.choice(clients), load.model, messages, tally)
        if answer is None:
            return
        text, cached_tokens, prompt_tokens = answer
        if turn:
            tally.returning += 1
            tally.context_found += cached_tokens >= FOUND_SHARE * previous_prompt_tokens
        previous_prompt_tokens = prompt_tokens
        messages.append({"role": "assistant", "content": text})
        messages.append({"role": "user", "content": f"and now variant {turn}"})
        await asyncio.sleep(rng.uniform(0, load.pause))


async def _turn(
    client: openai.AsyncOpenAI, model: str, messages: list[Any], tally: Tally
) -> tuple[str, int, int] | None:
    tally.sent += 1
    text, cached_tokens, prompt_tokens = "", 0, 0
    try:
        stream = await client.chat.completions.create(model=model, messages=messages, stream=True)
        async for chunk in stream:
            text += chunk.choices[0].delta.content or ""
            if chunk.usage is not None:
                details = chunk.usage.prompt_tokens_details
                cached_tokens, prompt_tokens = (
                    (details.cached_tokens or 0) if details else 0,
                    chunk.usage.prompt_tokens,
                )
    except openai.APIStatusError as error:
        code = str(error.body.get("code")) if isinstance(error.body, dict) else "none"
        if error.response.headers.get("X-Pondhatch-Outcome") != "not-run":
            tally.bad.append(f"{error.status_code} {code}")
        tally.refused[code] = tally.refused.get(code, 0) + 1
        return None
    except openai.APIError as error:
        tally.bad.append(f"{type(error).__name__}: {error}")
        return None
    if not is_whole(text, messages):
        tally.bad.append(f"not the answer to its request: {text[:40]!r}")
        return None
    tally.whole += 1
    return text, cached_tokens, prompt_tokens


def is_whole(text: str, messages: list[Any], tokens: int = ANSWER_TOKENS) -> bool:
    """Return whether a text is the stand-in engine's whole answer to these messages."""
    words = text.split()
    expected = [f"{len(messages)}.{index}." for index in range(tokens)]
    return len(words) == tokens and all(
        word.startswith(prefix) for word, prefix in zip(words, expected, strict=True)
    )
