"""One try of a request at one upstream, as a state machine without I/O.

The shell tells the machine what happened on the connection; the machine alone
says what may be concluded when the connection is lost.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from pondhatch.requests._outcomes import (
    CROSSED,
    Broken,
    EngineRefusal,
    NotRun,
    Outcome,
    Unknown,
    Whole,
    refused_by_engine,
)


class Try(Protocol):
    """The inputs of a try."""

    def sent(self) -> None:
        """The first byte of the request may have left this process."""

    def refused(self, refusal: EngineRefusal) -> None:
        """The upstream said that it did not run the request, and why."""

    def crossed(self) -> None:
        """The answer that came belongs to another request."""

    def head(self) -> None:
        """The head of the answer came."""

    def ended(self) -> None:
        """The last byte of the answer came."""

    def lost(self, reason: str) -> Outcome:
        """The connection is gone, or the try was given up; say what that means."""


class TryFacts(msgspec.Struct):
    """What a try remembers besides its state."""

    upstream: str
    #: Why the upstream did not run the request, once it said so.
    refusal: EngineRefusal = EngineRefusal.UNKNOWN


_builder = TypeMachineBuilder(Try, TryFacts)
_waiting = _builder.state("waiting")
_sent = _builder.state("sent")
_refused = _builder.state("refused")
_crossed = _builder.state("crossed")
_answering = _builder.state("answering")
_finished = _builder.state("finished")


_waiting.upon(Try.sent).to(_sent).returns(None)
_sent.upon(Try.crossed).to(_crossed).returns(None)
_sent.upon(Try.head).to(_answering).returns(None)
_answering.upon(Try.ended).to(_finished).returns(None)


@_sent.upon(Try.refused).to(_refused)
def _refuse(_: Try, facts: TryFacts, refusal: EngineRefusal) -> None:
    facts.refusal = refusal


@_waiting.upon(Try.lost).loop()
def _lost_waiting(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return NotRun("upstream-unreachable", f"{facts.upstream}: {reason}")


@_refused.upon(Try.lost).loop()
def _lost_refused(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return refused_by_engine(facts.refusal, f"{facts.upstream}: {reason}")


@_sent.upon(Try.lost).loop()
def _lost_sent(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Unknown("upstream-lost", f"{facts.upstream}: {reason}")


@_crossed.upon(Try.lost).loop()
def _lost_crossed(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Unknown(CROSSED, f"{facts.upstream}: {reason}")


@_answering.upon(Try.lost).loop()
def _lost_answering(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Broken("answer-broken", f"{facts.upstream}: {reason}")


@_finished.upon(Try.lost).loop()
def _lost_finished(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Whole()


_new_try = _builder.build()


def new_try(upstream: str) -> Try:
    """Return a try that was not sent yet."""
    return _new_try(TryFacts(upstream))
