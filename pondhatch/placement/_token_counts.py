"""Counts of the tokens that granted requests hold in the memory of engines; no I/O.

An engine that runs out of memory preempts a request in the middle of its stream and prefills its
prompt again, or crashes. These counts complement the gate's count of requests: the gate limits
how many run, this says whether there is memory for one more.
"""

from __future__ import annotations

from collections.abc import Hashable

import msgspec

#: Key of the part of a prompt that no other request shares.
UNSHARED_PART = 0
#: Uncached tokens of a prompt above which its prefill delays all other requests of the engine.
LONG_PROMPT_TOKENS = 4096
#: Maximum number of long prompts that an engine prefills at once while it holds other requests.
MAX_LONG_PREFILLS = 2
#: Uncached prompt tokens that an engine prefills in a second.
PREFILL_TOKENS_PER_SECOND = 50_000
#: Seconds since its last use for which a part is assumed to be in an engine's cache; engines
#: evict the least recently used parts first.
CACHED_SECONDS = 60.0
#: Maximum number of recorded cached parts of all engines together, 200 bytes each.
MAX_CACHED_PARTS = 8192


class TokenNeed(msgspec.Struct, frozen=True):
    """The memory that a request needs at an engine."""

    #: Tokens needed besides the parts of the prompt.
    tokens: int = 0
    #: Parts of the prompt, each as its key and its number of tokens.
    parts: tuple[tuple[int, int], ...] = ()

    @property
    def total(self) -> int:
        """Tokens needed where the memory is empty and no part is shared."""
        return self.tokens + sum(tokens for _, tokens in self.parts)

    @property
    def is_stated(self) -> bool:
        """Return whether any need is stated."""
        return self.tokens > 0 or bool(self.parts)


class Reservation(msgspec.Struct, frozen=True):
    """Memory reserved for a request that waits for it."""

    request: Hashable
    need: TokenNeed
    #: 0 is the most urgent; more urgent requests ignore the reservation.
    priority: int


class SharedPart(msgspec.Struct, frozen=True):
    """A prompt part that the engine holds once for all running requests that use it."""

    tokens: int
    #: Number of running requests that use it.
    users: int


class EngineTokens(msgspec.Struct):
    """The memory that the requests at one engine hold."""

    need_by_request: dict[Hashable, TokenNeed] = msgspec.field(default_factory=dict)
    part_by_key: dict[int, SharedPart] = msgspec.field(default_factory=dict)
    #: Estimated end of the prefill of each long prompt, in the clock's seconds.
    prefilled_at_by_request: dict[Hashable, float] = msgspec.field(default_factory=dict)
    #: Tokens held by all requests together.
    used: int = 0
    reservation: Reservation | None = None
    #: Tokens of each request granted while memory was reserved for another one.
    tokens_since_reserved: dict[Hashable, int] = msgspec.field(default_factory=dict)

    def new_tokens(self, need: TokenNeed) -> int:
        """Return the tokens of a prompt that no running request holds yet."""
        return sum(self._new_tokens_of(key, tokens) for key, tokens in need.parts)

    def count_long_prefills(self, now: float) -> int:
        """Return the number of long prompts being prefilled."""
        return sum(prefilled_at > now for prefilled_at in self.prefilled_at_by_request.values())

    def added_tokens(self, need: TokenNeed) -> int:
        """Return the tokens that a request adds to those held."""
        return need.tokens + self.new_tokens(need)

    def shortage(self, request: Hashable, need: TokenNeed, limit: int, priority: int) -> int:
        """Return how many tokens must come free before a request fits; 0 if it fits.

        Free memory that is reserved for another request is not used. Requests granted after the
        reservation use at most half of the memory that is not reserved. The other half is left to
        long-running requests granted before, so that the reserved memory comes free even if not
        all of those have ended. If such a request does not fit, the reserved tokens are added to
        the result.
        """
        added, current = self.added_tokens(need), self.reservation
        missing = self.used + added - limit
        if current is None or current.request == request or current.priority > priority:
            return max(0, missing)
        reserved = self.added_tokens(current.need)
        granted_since = sum(self.tokens_since_reserved.values())
        missing = max(missing, granted_since + added - (limit - reserved) // 2)
        if self.used + reserved <= limit:
            missing = max(missing, self.used + reserved + added - limit)
        return missing + reserved if missing > 0 else 0

    def add(self, request: Hashable, need: TokenNeed, now: float, uncached: int) -> None:
        """Count a request; ``uncached`` is the number of prompt tokens to be prefilled."""
        self.remove(request)
        if self.reservation is not None:
            self.tokens_since_reserved[request] = self.added_tokens(need)
        if uncached > LONG_PROMPT_TOKENS:
            self.prefilled_at_by_request[request] = now + uncached / PREFILL_TOKENS_PER_SECOND
        self.need_by_request[request] = need
        self.used += need.tokens
        for key, tokens in need.parts:
            self._add_part(key, tokens)

    def remove(self, request: Hashable) -> bool:
        """Release what a request holds or has reserved; return whether there was anything."""
        has_reserved = self.reservation is not None and self.reservation.request == request
        if has_reserved:
            self.reservation = None
            self.tokens_since_reserved.clear()
        self.tokens_since_reserved.pop(request, None)
        self.prefilled_at_by_request.pop(request, None)
        need = self.need_by_request.pop(request, None)
        if need is None:
            return has_reserved
        self.used -= need.tokens
        for key, tokens in need.parts:
            self._remove_part(key, tokens)
        return True

    def _new_tokens_of(self, key: int, tokens: int) -> int:
        known = self.part_by_key.get(key)
        return tokens if known is None else max(0, tokens - known.tokens)

    def _add_part(self, key: int, tokens: int) -> None:
        self.used += self._new_tokens_of(key, tokens)
        if key == UNSHARED_PART:
            return
        known = self.part_by_key.get(key, SharedPart(0, 0))
        self.part_by_key[key] = SharedPart(max(known.tokens, tokens), known.users + 1)

    def _remove_part(self, key: int, tokens: int) -> None:
        if key == UNSHARED_PART:
            self.used -= tokens
            return
        known = self.part_by_key[key]
        if known.users > 1:
            self.part_by_key[key] = SharedPart(known.tokens, known.users - 1)
            return
        self.used -= known.tokens
        del self.part_by_key[key]


class CachedParts(msgspec.Struct):
    """Prompt parts that engines have prefilled and probably still have in their caches."""

    #: When each part was last used, by engine and key; the least recently used first.
    used_at_by_engine_and_key: dict[tuple[str, int], float] = msgspec.field(default_factory=dict)

    def record_use(self, engine: str, need: TokenNeed, now: float) -> None:
        """Record that an engine runs a request with these parts."""
        for key, _ in need.parts:
            if key != UNSHARED_PART:
                self.used_at_by_engine_and_key.pop((engine, key), None)
                self.used_at_by_engine_and_key[engine, key] = now
        while len(self.used_at_by_engine_and_key) > MAX_CACHED_PARTS:
            del self.used_at_by_engine_and_key[next(iter(self.used_at_by_engine_and_key))]

    def uncached_tokens(self, engine: str, need: TokenNeed, now: float) -> int:
        """Return the tokens of a prompt that an engine has to prefill."""
        return sum(
            tokens
            for key, tokens in need.parts
            if now - self.used_at_by_engine_and_key.get((engine, key), float("-inf"))
            > CACHED_SECONDS
        )


class TokenCounts(msgspec.Struct):
    """Token counts of the engines that this router owns."""

    by_engine: dict[str, EngineTokens] = msgspec.field(default_factory=dict)
    cached_parts: CachedParts = msgspec.field(default_factory=CachedParts)
    #: Grant requests refused for lack of memory; one client request may cause several.
    refusals: int = 0

    def used(self, engine: str) -> int:
        """Return the tokens that the requests at an engine hold."""
        return self.by_engine.get(engine, EngineTokens()).used

    def shortage(
        self,
        engine: str,
        request: Hashable,
        need: TokenNeed,
        limit: int,
        now: float,
        priority: int = 0,
    ) -> int:
        """Return how many tokens must come free at an engine that holds other requests.

        0 if the request fits; 1 if there is memory, but too many long prompts are being prefilled.
        """
        count = self.by_engine.get(engine, EngineTokens())
        is_long = self.cached_parts.uncached_tokens(engine, need, now) > LONG_PROMPT_TOKENS
        must_wait_for_prefill = is_long and count.count_long_prefills(now) >= MAX_LONG_PREFILLS
        return max(count.shortage(request, need, limit, priority), int(must_wait_for_prefill))

    def add(self, engine: str, request: Hashable, need: TokenNeed, now: float) -> None:
        """Count a granted request and drop its reservation."""
        uncached = self.cached_parts.uncached_tokens(engine, need, now)
        self.by_engine.setdefault(engine, EngineTokens()).add(request, need, now, uncached)
        self.cached_parts.record_use(engine, need, now)

    def adopt(self, engine: str, request: Hashable) -> None:
        """Count a request that another owner granted, with the mean size of those counted here."""
        requests = sum(len(count.need_by_request) for count in self.by_engine.values())
        if requests == 0:
            return
        mean = sum(count.used for count in self.by_engine.values()) // requests
        # The time matters only for the parts of a prompt, of which there are none here.
        self.add(engine, request, TokenNeed(mean), 0.0)

    def reserve(self, engine: str, reservation: Reservation) -> None:
        """Reserve memory for a waiting request unless one at least as urgent has done so."""
        count = self.by_engine.setdefault(engine, EngineTokens())
        current = count.reservation
        if current is None or reservation.priority < current.priority:
            count.reservation = reservation
            count.tokens_since_reserved.clear()

    def remove(self, engine: str, request: Hashable) -> bool:
        """Release what a request holds or has reserved; return whether there was anything."""
        count = self.by_engine.get(engine)
        if count is None or not count.remove(request):
            return False
        if not count.need_by_request and count.reservation is None:
            del self.by_engine[engine]
        return True


def usable_tokens(memory: int) -> int:
    """Return the part of an engine's memory that requests may use: nine tenths, in tokens.

    The rest is for answers that grow beyond what their requests stated.
    """
    return memory * 9 // 10
