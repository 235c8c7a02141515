"""The order in which engines are asked for a request, as a state machine without I/O.

The home engine is asked first. Its owner grants the request, refuses it as the engine is full,
or answers that another engine holds the chat's context. The plan then asks that engine, the home
engine again, and the others in the rendezvous order, which is the same at every router.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from msgspec.structs import replace

from pondhatch.placement._plan_steps import Ask, Exhausted, Step
from pondhatch.placement._rendezvous import ranked

#: Maximum number of engines asked for one request before it is refused.
DEFAULT_MAX_ASKS = 12
#: Maximum number of ailing engines that one request skips: with more of them the service itself
#: is at fault, and sending everything to the few healthy engines would make it worse.
MAX_AILING_SKIPPED = 2
#: Refusals as full by one engine after which the request no longer waits for it.
MAX_ENGINE_FULL = 2
#: Minimum number of engines found at their ceiling whose mean load is used as an estimate for all
#: engines.
MIN_SAMPLES = 8
#: Full engines asked once more after the wait for the last one, since a slot may have come free
#: meanwhile. Each costs a grant request to its owner, and some milliseconds for a request that is
#: about to be refused; the least loaded engines have the best chance.
MAX_RECHECKS = 2


class Plan:
    """The engines asked for one request, and those still to be asked."""

    def __init__(
        self, chat: str, engines: Collection[str], max_asks: int = DEFAULT_MAX_ASKS
    ) -> None:
        self._chat = chat
        self._engines = engines
        self.order = ranked(chat, engines, max_asks)
        #: Engines that did not take the request, in order, each with the reason.
        self.refusals: list[tuple[str, str]] = []
        #: Requests in flight at each full engine, as its owner replied.
        self.in_flight_by_engine: dict[str, int] = {}
        #: Tokens of memory missing for the request, by engine that lacks memory.
        self._short_by_engine: dict[str, int] = {}
        #: Engines at their ceiling by their owners' replies, and whether one was cold.
        self._at_ceiling: set[str] = set()
        self._saw_cold = False
        #: Engines that refused the request as full after it was sent there, one item for each
        #: time, and whether the request was granted after waiting for several engines.
        self._engine_full_refusals: list[str] = []
        self._has_been_granted = False
        #: Engines that were skipped as ailing.
        self._ailing: list[str] = []
        self._max_asks = max_asks
        #: Whether the last resort was asked.
        self._has_asked_last = False
        #: Ailing and full engines to ask once more after the last resort; the next one is last in
        #: the list.
        self._rechecks: list[str] = []
        #: Steps that come before the remaining engines.
        self._next_asks: list[Ask] = [Ask(self.order[0], has_context=True)] if self.order else []
        #: Engines of the order that were not asked yet; the next one is last in the list.
        self._remaining = list(self.order[:0:-1])
        #: The latest step, whose answer is recorded next.
        self._pending: Ask | None = None

    def prefer(self, engines: Collection[str]) -> None:
        """Put these engines first in the order; to be called before any engine is asked."""
        if not engines:
            return
        self.order = tuple(sorted(self.order, key=lambda name: name not in engines))
        self._next_asks = [Ask(self.order[0], has_context=True)]
        self._remaining = list(self.order[:0:-1])

    @property
    def home(self) -> str | None:
        """The chat's home engine, or None if the service has no engine."""
        return self.order[0] if self.order else None

    def settled_engine(self, is_young: Callable[[str], bool]) -> str | None:
        """Return the first engine after the home that did not join lately, or None.

        It was the home engine before those ranked above it joined.
        """
        return next((engine for engine in self.order[1:] if not is_young(engine)), None)

    def next_step(self) -> Step:
        """Return the engine to ask next, or ``Exhausted``."""
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

    def seen_in_flight_elsewhere(self, engine: str) -> int:
        """Return the load of the other engines asked so far: newer than any gossiped total."""
        return sum(
            in_flight for other, in_flight in self.in_flight_by_engine.items() if other != engine
        )

    def estimate_in_flight_elsewhere(self, engine: str, engines: int) -> int:
        """Return an estimate of the load of the other engines by the mean seen; 0 for none.

        While load rises, gossiped totals lag behind. Of 8 engines drawn by the chat's order, the
        least loaded holds at least twice the mean of all engines for at most one in 256 requests,
        since at most half of the engines do (Markov's inequality). So the ceiling of the least
        loaded one may be computed from the mean of the engines seen.
        """
        in_flight_by_engine = self.in_flight_by_engine
        seen = [
            in_flight for name, in_flight in in_flight_by_engine.items() if name in self._at_ceiling
        ]
        if len(seen) < MIN_SAMPLES or self._saw_cold:
            return 0
        own = in_flight_by_engine.get(engine)
        if own is None or own > min(seen):
            return 0
        return max(0, sum(seen) * engines // len(seen) - own)

    def queue_engines(self, limit: int) -> tuple[str, ...]:
        """Return the engines to wait for at the same time, ailing ones first.

        An ailing engine may have a free slot, which is better than none. The full engines follow
        by load, the least loaded first.
        """
        least_loaded = [name for name in self._fullest_first()[::-1] if name not in self._ailing]
        return (*self._ailing, *least_loaded)[:limit]

    def record_wait(self, engine: str) -> None:
        """Make an engine the one whose answer is recorded next, after a wait at several engines."""
        self._pending = Ask(engine, is_forced=True, is_last=True)

    def record_grant(self, engine: str) -> None:
        """Record which of several engines granted the request.

        If that engine then refuses the request, the request waits for the others, and for this
        one too if it refused as full for the first time.
        """
        self._has_been_granted = True
        self.record_wait(engine)
        self.cancel_rechecks()
        self.in_flight_by_engine.pop(engine, None)
        self._short_by_engine.pop(engine, None)
        self._ailing = [name for name in self._ailing if name != engine]
        self._has_asked_last = False

    def cancel_rechecks(self) -> None:
        """Drop the rechecks, as the wait has used up the time for them."""
        self._rechecks = []

    def record_owner_full(
        self, in_flight: int, ceiling: int, is_cold: bool = False, short_tokens: int = 0
    ) -> None:
        """Record that the engine last asked is at its ceiling, cold, or lacks memory."""
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
        """Record that the engine last asked was sent the request and refused it as full."""
        engine = self._last_ask().engine
        self._engine_full_refusals.append(engine)
        if not self._has_been_granted or self._engine_full_refusals.count(engine) < MAX_ENGINE_FULL:
            self.in_flight_by_engine[engine] = in_flight
        self.record_refusal(reason)

    def restrict_to(self, engines: Collection[str]) -> bool:
        """Ask only these engines from now on; return whether one of them can still be asked.

        For a request that was sent to the maximum number of engines: it may be sent again to
        one of those if that engine was only full.
        """
        self._next_asks, self._remaining, self._ailing = [], [], []
        self.in_flight_by_engine = {
            name: in_flight
            for name, in_flight in self.in_flight_by_engine.items()
            if name in engines
        }
        self._rechecks = [name for name in self._rechecks if name in engines]
        can_ask_last = bool(self.in_flight_by_engine) and not self._has_asked_last
        return can_ask_last or bool(self._rechecks)

    def update_engines(self, engines: Collection[str]) -> None:
        """Replace the list of engines by a newer one; those that joined are asked last."""
        self._engines = engines
        joined = [
            name for name in ranked(self._chat, engines, self._max_asks) if name not in self.order
        ]
        self._remaining = [
            *reversed(joined),
            *(name for name in self._remaining if name in engines),
        ]

    def record_ailing(self) -> None:
        """Record that the engine last asked is ailing: ask it again only if no other takes it."""
        if self._pending is not None:
            self._ailing.append(self._pending.engine)

    def record_refusal(self, reason: str) -> None:
        """Record that the engine last asked did not take the request."""
        self.refusals.append((self._last_ask().engine, reason))

    def retry_last(self) -> None:
        """Make the next step the engine last asked once more, over a new connection."""
        self._next_asks.insert(
            0, replace(self._last_ask(), is_forced=True, needs_new_connection=True)
        )

    def record_context_elsewhere(self, engine: str) -> None:
        """Record the home owner's answer that another engine holds the chat's context.

        Raises ValueError unless the home engine was asked last.
        """
        home = self._pending
        if home is None or home.engine != self.home:
            raise ValueError("the last engine asked is not the home engine")
        if engine not in self._engines:
            self._next_asks = [Ask(home.engine, is_forced=True)]
            return
        self._next_asks = [Ask(engine, has_context=True), Ask(home.engine, is_forced=True)]
        self._remaining = [other for other in self._remaining if other != engine]
        self.refusals.append((home.engine, f"context is at {engine}"))

    def _last_ask(self) -> Ask:
        """Return the latest step. Raises ValueError if no engine was asked."""
        if self._pending is None:
            raise ValueError("no engine was asked yet")
        return self._pending

    def _last_resort(self) -> Step:
        """Return the last resort, the likeliest engine to take the request; then the rechecks."""
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
        """Return another ailing engine, or a full one where a slot may have come free."""
        if not self._rechecks:
            return self._exhausted()
        self._pending = Ask(self._rechecks.pop(), is_forced=True)
        return self._pending

    def _exhausted(self) -> Exhausted:
        return Exhausted(tuple(name for name, _ in self.refusals))

    def _fullest_first(self) -> list[str]:
        """Return the full engines, the least loaded last.

        An engine that lacks memory holds few but large requests, so these are sorted by missing
        memory: the less is missing, the sooner it takes another request. The least loaded comes
        last, since the loads seen at the others may raise its ceiling. Of two engines with equal
        loads the one asked first comes last, as the chat's order prefers it.
        """
        seen = self.in_flight_by_engine
        short = self._short_by_engine
        return sorted(seen, key=lambda name: (short.get(name, 0), seen[name]))[::-1]
