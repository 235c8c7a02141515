"""Records how granted requests ended, as evidence of their engines' health and room."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pondhatch.placement import LONGEST_PAUSE, MANAGED_PAUSE, Gate, Health, RecentAnswers
from pondhatch.requests._brittle_gate import BrittleGate
from pondhatch.requests._grant_requests import EndReason, Holder
from pondhatch.requests._sending import Target


class EvidenceView(Protocol):
    """The parts of the router's state that recording an end reads."""

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None if it is unknown."""

    def is_load_managed(self) -> bool:
        """Return whether load management is on."""


class EndRecorder:
    """Records the ends of requests at the engines that this router owns."""

    def __init__(
        self,
        view: EvidenceView,
        gate: Gate,
        health: Health,
        brittle: BrittleGate,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._gate = gate
        self._health = health
        self._brittle = brittle
        self._clock = clock
        self._recent_answers = RecentAnswers()

    def record(self, engine: str, holder: Holder, end_reason: EndReason) -> None:
        """Record how a request ended at its engine, while its grant still counts as in flight."""
        now = self._clock()
        if end_reason == EndReason.ANSWERED:
            self._health.record_answer(engine)
            self._recent_answers.record(engine, holder.router, now)
        if end_reason == EndReason.CONNECTION_FAILED and not self._recent_answers.answers_others(
            engine, holder.router, now
        ):
            managed = self._view.is_load_managed()
            self._health.record_failure(engine, now, MANAGED_PAUSE if managed else LONGEST_PAUSE)
        if end_reason == EndReason.ENGINE_ERROR:
            self._health.record_error(engine, now)
        if end_reason == EndReason.LEAVING:
            self._health.record_leaving(engine, now)
        if end_reason == EndReason.FULL:
            self._note_engine_full(engine, holder, now)
        self._brittle.record_end(engine, holder, end_reason)

    def _note_engine_full(self, engine: str, holder: Holder, now: float) -> None:
        """Lower the limit of an engine that refused a request as full.

        If it runs no other request granted here, the refusal counts as an engine error instead:
        a single one may be due to the request's size, repeated ones are not. Cold engines are
        exempt from both.
        """
        target = self._view.target(engine)
        if target is not None and target.intake.cold_pace is not None:
            return
        if self._brittle.record_refusal(engine, holder, self._gate.in_flight(engine, now) - 1, now):
            return
        if self._gate.in_flight(engine, now) > 1:
            self._gate.record_engine_full(engine, now)
        else:
            self._health.record_error(engine, now)

    def drop_old(self, now: float) -> None:
        """Forget answers that are no longer recent."""
        self._recent_answers.drop_old(now)
