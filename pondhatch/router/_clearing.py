"""Clears requests and parts of prompts that other routers suspect and that were completed here.

Routers see different requests complete. One that receives evidence against a request or a part of
which it saw a run complete lately, or that is known to be cleared, tells all others. Each waits a
random time first, which grows with the fleet, and sends nothing if another was faster.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from msgspec.structs import replace

from pondhatch.kernel import Tasks
from pondhatch.quarantine import Evidence, Suspects

#: Returns whether what evidence is against was completed shortly before a crash or since.
CompletedLately = Callable[[Evidence, float], bool]

#: Seconds by which each router of the fleet lengthens the time in which they answer, so that few
#: of them do before the first answer has reached the others.
ANSWER_SECONDS_PER_ROUTER = 0.002
#: Maximum of that time, in seconds.
MAX_ANSWER_SECONDS = 0.3


class Clearing:
    """Answers evidence against requests and parts that this router knows to be harmless."""

    def __init__(
        self,
        suspects: Suspects,
        completed_lately: CompletedLately,
        tasks: Tasks,
        rng: random.Random,
        count_routers: Callable[[], int],
        send: Callable[[Sequence[Evidence]], None],
    ) -> None:
        self._suspects = suspects
        self._completed_lately = completed_lately
        self._tasks = tasks
        self._rng = rng
        self._count_routers = count_routers
        #: Sends evidence to all other routers.
        self._send = send
        #: Answers that wait to be sent, by the digest and the name of the crash.
        self._answer_by_crash: dict[tuple[int, str], Evidence] = {}

    def apply(self, received: Iterable[Evidence], now: float) -> list[Evidence]:
        """Return received evidence, cleared where it is against what is known to be harmless."""
        applied = [self._cleared_if_harmless(each, now) for each in received]
        answers = [
            new for old, new in zip(received, applied, strict=True) if new.cleared > old.cleared
        ]
        for each in received:
            if each.cleared:
                self._answer_by_crash.pop((each.digest, each.engine), None)
        new_answers = {(each.digest, each.engine): each for each in answers}
        if new_answers.keys() - self._answer_by_crash.keys():
            self._answer_by_crash |= new_answers
            self._tasks.start(self._answer(tuple(new_answers)))
        return applied

    def _cleared_if_harmless(self, evidence: Evidence, now: float) -> Evidence:
        if evidence.cleared:
            return evidence
        crashed_at = now - evidence.age_ms / 1000
        if self._suspects.is_cleared(evidence) or self._completed_lately(evidence, crashed_at):
            return replace(evidence, cleared=True)
        return evidence

    async def _answer(self, crashes: tuple[tuple[int, str], ...]) -> None:
        """Send the answers about some crashes, unless another router has sent them meanwhile."""
        limit = min(MAX_ANSWER_SECONDS, ANSWER_SECONDS_PER_ROUTER * self._count_routers())
        await asyncio.sleep(self._rng.random() * limit)
        found = [self._answer_by_crash.pop(crash, None) for crash in crashes]
        answers = [each for each in found if each is not None]
        if answers:
            self._send(answers)
