"""The order in which a request's engines are asked, as a machine without I/O.

The home engine is asked first. Its owner either grants, or is full, or knows
that the chat's context lies elsewhere. The plan then goes to that engine, back
home, and on along the spill order that every router agrees on.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec
from msgspec.structs import replace

from pondhatch.placement._rendezvous import ranked

#: Engines asked at most for one request before it is refused.
DEFAULT_MAX_ASKS = 12
#: Ailing engines that one request passes over at most: where there are more, the fault lies
#: with the service, and crowding the engines that seem well would only add to it.
MAX_AILING_SKIPPED = 2
#: Times that an engine may refuse a request as full until it is not waited for any more.
MAX_ENGINE_FULL = 2
#: Engines found at their ceiling from which on the mean of those seen stands for all.
MIN_SAMPLES = 8
#: Full engines looked at once more after the wait for the last one: the time of that wait
#: may have freed a place there. Each costs a question to its owner, and some milliseconds of
#: a request that is about to be refused; the least loaded have the best chance.
MAX_RECHECKS = 2


class Ask(msgspec.Struct, frozen=True):
    """Ask the owner of this engine for a grant."""

    engine: str
    #: True where an engine is asked although the context is elsewhere, or it is ailing.
    is_forced: bool = False
    #: True where the chat's context is believed to lie here.
    has_context: bool = False
    #: True where nowhere else is left to ask.
    is_last: bool = False
    #: True where the engine is asked once more, over a new connection.
    needs_new_connection: bool = False


class Exhausted(msgspec.Struct, frozen=True):
    """No engine granted the request; it was not run anywhere."""

    asked: tuple[str, ...]


Step = Ask | Exhausted


class Plan:
    """One request's walk over the engines of its service."""

    def __init__(
        self, chat: str, engines: Collection[str], max_asks: int = DEFAULT_MAX_ASKS
    ) -> None:
        self._chat = chat
        self._engines = engines
        self.order = ranked(chat, engines, max_asks)
        #: Engines asked so far, in order, with what each answered.
        self.refusals: list[tuple[str, str]] = []
        #: Requests in flight that each full engine's owner spoke of.
        self.in_flight_by_engine: dict[str, int] = {}
        #: Tokens of memory that engines lacked for the request, of those that lacked any.
        self._short_by_engine: dict[str, int] = {}
        #: Engines whose owners found them at their ceiling, and whether one was cold.
        self._at_ceiling: set[str] = set()
        self._saw_cold = False
        #: Engines that refused the request as full, each time that they did, and whether it was
        #: granted after a wait at several.
        self._engine_full_refusals: list[str] = []
        self._has_been_granted = False
        #: Engines that were passed over because they answer with failures.
        self._ailing: list[str] = []
        self._max_asks = max_asks
        #: Whether the engine that is the last resort was asked.
        self._has_asked_last = False
        #: Ailing and full engines to ask once more after that, the next one last.
        self._rechecks: list[str] = []
        #: Asks that come before the rest of the order.
        self._next_asks: list[Ask] = [Ask(self.order[0], has_context=True)] if self.order else []
        #: Engines of the order still to come, the next one last.
        self._remaining = list(self.order[:0:-1])
        #: The latest ask, whose answer is noted next.
        self._pending: Ask | None = None

    def prefer(self, engines: Collection[str]) -> None:
        """Ask these engines of the order before the others; called before anybody is asked."""
        if not engines:
            return
        self.order = tuple(sorted(self.order, key=lambda name: name not in engines))
        self._next_asks = [Ask(self.order[0], has_context=True)]
        self._remaining = list(self.order[:0:-1])

    @property
    def home(self) -> str | None:
        """The chat's home engine, or None where the service has no engine."""
        return self.order[0] if self.order else None

    def first_established(self, is_young: Callable[[str], bool]) -> str | None:
        """Return the first engine after the home that did not join lately, or None.

        It was home before those ranked above it joined.
        """
        return next((engine for engine in self.order[1:] if not is_young(engine)), None)

    def next_step(self) -> Step:
        """Return whom to ask now."""
        if len(self.refusals) >= self._max_asks:
            return self._last_resort()
        if self._next_asks:
            self._pending = self._next_asks.pop(0)
        elif self._remaining:
            is_forced = len(self._ailing) >= MAX_AILING_SKIPPED
            self._pending = Ask(self._remaining.pop(), is_forced=is_forced)
        else:
            return self._last_resort()
        return self._pending

    def in_flight_seen_elsewhere(self, engine: str) -> int:
        """Return the work seen on this walk at other engines: newer than any digest."""
        return sum(held for other, held in self.in_flight_by_engine.items() if other != engine)

    def estimate_elsewhere(self, engine: str, engines: int) -> int:
        """Return the work at other engines by the mean seen, where load rises; else 0.

        Totals that were heard are behind then. Of 8 engines drawn by the chat's order, the least
        loaded holds twice the mean of all or more once in 256 walks at most, since at most half
        of the engines do (Markov). So its ceiling may go by the mean of those seen.
        """
        held_by_engine = self.in_flight_by_engine
        seen = [held for name, held in held_by_engine.items() if name in self._at_ceiling]
        if len(seen) < MIN_SAMPLES or self._saw_cold:
            return 0
        own = held_by_engine.get(engine)
        if own is None or own > min(seen):
            return 0
        return max(0, sum(seen) * engines // len(seen) - own)

    def queue_engines(self, limit: int) -> tuple[str, ...]:
        """Return the engines to wait for at once, those that are ailing first.

        They may have a place, which is better than none. Of the full ones, the one with the least
        work comes first.
        """
        least_loaded = [name for name in self._fullest_first()[::-1] if name not in self._ailing]
        return (*self._ailing, *least_loaded)[:limit]

    def record_wait(self, engine: str) -> None:
        """Note at which of several engines the answer to a wait is noted next."""
        self._pending = Ask(engine, is_forced=True, is_last=True)

    def record_grant(self, engine: str) -> None:
        """Note which of several engines is tried now; if it refuses, the others are waited for.

        This one too, where it says for the first time that it is only full.
        """
        self._has_been_granted = True
        self.record_wait(engine)
        self.cancel_rechecks()
        self.in_flight_by_engine.pop(engine, None)
        self._short_by_engine.pop(engine, None)
        self._ailing = [name for name in self._ailing if name != engine]
        self._has_asked_last = False

    def cancel_rechecks(self) -> None:
        """Look at no other engine any more: the wait used up the time for that."""
        self._rechecks = []

    def record_owner_full(
        self, in_flight: int, ceiling: int, is_cold: bool = False, short_tokens: int = 0
    ) -> None:
        """Note that the engine last asked is at its ceiling, cold, or lacks memory."""
        engine = self._last_ask().engine
        self.in_flight_by_engine[engine] = in_flight
        if short_tokens > 0:
            self._short_by_engine[engine] = short_tokens
            self._at_ceiling.discard(engine)
            self.record_refusal(f"lacks memory of {short_tokens} tokens, holds {in_flight}")
            return
        self._short_by_engine.pop(engine, None)
        self._at_ceiling.add(engine)
        self._saw_cold = self._saw_cold or is_cold
        reason = f"cold, holds {in_flight}" if is_cold else f"at ceiling, {in_flight} of {ceiling}"
        self.record_refusal(reason)

    def record_engine_full(self, in_flight: int, reason: str) -> None:
        """Note that the engine last asked was sent the request, and refused it as full."""
        engine = self._last_ask().engine
        self._engine_full_refusals.append(engine)
        if not self._has_been_granted or self._engine_full_refusals.count(engine) < MAX_ENGINE_FULL:
            self.in_flight_by_engine[engine] = in_flight
        self.record_refusal(reason)

    def restrict_to(self, engines: Collection[str]) -> bool:
        """Ask nobody but these from now on; return whether one of them can still be asked.

        For a request that was sent to as many engines as it may: it may go again to one of
        those, where that engine was only full.
        """
        self._next_asks, self._remaining, self._ailing = [], [], []
        self.in_flight_by_engine = {
            name: held for name, held in self.in_flight_by_engine.items() if name in engines
        }
        self._rechecks = [name for name in self._rechecks if name in engines]
        can_ask_last = bool(self.in_flight_by_engine) and not self._has_asked_last
        return can_ask_last or bool(self._rechecks)

    def update_engines(self, engines: Collection[str]) -> None:
        """Take the engines as they are listed by now: the list that the walk began with is old."""
        self._engines = engines
        joined = [
            name for name in ranked(self._chat, engines, self._max_asks) if name not in self.order
        ]
        self._remaining = [
            *reversed(joined),
            *(name for name in self._remaining if name in engines),
        ]

    def record_ailing(self) -> None:
        """Note that the engine last asked should get only what no other can take."""
        if self._pending is not None:
            self._ailing.append(self._pending.engine)

    def record_refusal(self, reason: str) -> None:
        """Note that the engine last asked did not take the request."""
        self.refusals.append((self._last_ask().engine, reason))

    def retry_last(self) -> None:
        """Ask the engine last asked once more, next and over a new connection."""
        self._next_asks.insert(
            0, replace(self._last_ask(), is_forced=True, needs_new_connection=True)
        )

    def record_context_elsewhere(self, engine: str) -> None:
        """Note the home owner's word that the chat's context lies at an engine."""
        home = self._pending
        if home is None or home.engine != self.home:
            raise ValueError("only the home engine's owner knows of other places")
        if engine not in self._engines:
            self._next_asks = [Ask(home.engine, is_forced=True)]
            return
        self._next_asks = [Ask(engine, has_context=True), Ask(home.engine, is_forced=True)]
        self._remaining = [other for other in self._remaining if other != engine]
        self.refusals.append((home.engine, f"context is at {engine}"))

    def _last_ask(self) -> Ask:
        """Return the latest ask. Raises ValueError where there is none."""
        if self._pending is None:
            raise ValueError("no engine was asked yet")
        return self._pending

    def _last_resort(self) -> Step:
        """Ask once more an engine that may take what no other did, then look at others."""
        if self._has_asked_last:
            return self._recheck()
        least_loaded = self._fullest_first()[-MAX_RECHECKS - 1 :]
        last_resorts = [*least_loaded, *reversed(self._ailing)]
        if not last_resorts:
            return self._exhausted()
        self._has_asked_last = True
        engine = last_resorts.pop()
        self._rechecks = [name for name in last_resorts if name != engine]
        self._pending = Ask(engine, is_forced=True, is_last=True)
        return self._pending

    def _recheck(self) -> Step:
        """Ask another ailing engine, or a full one whether a place came free meanwhile."""
        if not self._rechecks:
            return self._exhausted()
        self._pending = Ask(self._rechecks.pop(), is_forced=True)
        return self._pending

    def _exhausted(self) -> Exhausted:
        return Exhausted(tuple(name for name, _ in self.refusals))

    def _fullest_first(self) -> list[str]:
        """Return the full engines, the one with the least work last.

        One that lacks memory holds few requests, but large ones: the less it lacks, the sooner
        it takes another. What was seen of the others may raise its ceiling. Of two that hold as
        much, the one asked first comes last: the chat's order goes for it.
        """
        seen = self.in_flight_by_engine
        short = self._short_by_engine
        return sorted(seen, key=lambda name: (short.get(name, 0), seen[name]))[::-1]
