"""Counts of the tokens that granted requests hold in the memory of engines, without I/O.

An engine whose memory runs out takes a request back in the middle of its stream and reads its
prompt again, or ends. The count stands beside the gate's count of requests: the gate says how
many may run, this says whether there is memory for one more.
"""

from __future__ import annotations

from collections.abc import Hashable

import msgspec

#: Key of the part of a prompt that no other request shares.
UNSHARED_PART = 0
#: New tokens of a prompt beyond which reading it delays all that runs beside it.
LONG_PROMPT_TOKENS = 4096
#: Long prompts that an engine reads at once while it holds other work.
MAX_LONG_PREFILLS = 2
#: New tokens that an engine reads in a second.
PREFILL_TOKENS_PER_SECOND = 50_000
#: Seconds after its last use for which a part is taken to be in an engine's memory still; its
#: engine gives up those first that were unused the longest.
CACHED_SECONDS = 60.0
#: Parts that are remembered of all engines together: 200 bytes each.
MAX_CACHED_PARTS = 8192


class TokenNeed(msgspec.Struct, frozen=True):
    """What a request takes of an engine's memory."""

    #: Tokens that it takes beside the parts of its prompt.
    tokens: int = 0
    #: Parts of its prompt, each as a key and its tokens.
    parts: tuple[tuple[int, int], ...] = ()

    @property
    def total(self) -> int:
        """Tokens that it takes of an empty memory."""
        return self.tokens + sum(tokens for _, tokens in self.parts)

    @property
    def is_stated(self) -> bool:
        """Return whether it says anything."""
        return self.tokens > 0 or bool(self.parts)


class Reservation(msgspec.Struct, frozen=True):
    """Memory that is kept for a request which waits for it."""

    request: Hashable
    need: TokenNeed
    #: 0 is served first; what is more urgent is not held up by it.
    priority: int


class SharedPart(msgspec.Struct, frozen=True):
    """A part of the prompts of running requests, which the engine holds once."""

    tokens: int
    #: Requests that run with it.
    users: int


class EngineTokens(msgspec.Struct):
    """What the requests at one engine hold of its memory."""

    need_by_request: dict[Hashable, TokenNeed] = msgspec.field(default_factory=dict)
    part_by_key: dict[int, SharedPart] = msgspec.field(default_factory=dict)
    #: When the prompt of each request that reads a long one is read, in the clock's seconds.
    prefilled_at_by_request: dict[Hashable, float] = msgspec.field(default_factory=dict)
    #: Tokens held by all together.
    used: int = 0
    reservation: Reservation | None = None
    #: Tokens of each request that was granted while memory was reserved for another.
    tokens_since_reserved: dict[Hashable, int] = msgspec.field(default_factory=dict)

    def new_tokens(self, need: TokenNeed) -> int:
        """Return the tokens of a prompt that no running request holds already."""
        return sum(self._new_tokens_of(key, tokens) for key, tokens in need.parts)

    def count_long_prefills(self, now: float) -> int:
        """Return how many long prompts are being read."""
        return sum(prefilled_at > now for prefilled_at in self.prefilled_at_by_request.values())

    def added_tokens(self, need: TokenNeed) -> int:
        """Return the tokens that a request takes beside what is held already."""
        return need.tokens + self.new_tokens(need)

    def shortage(self, request: Hashable, need: TokenNeed, limit: int, priority: int) -> int:
        """Return how many tokens must come free before a request gets its own; 0 for none.

        What is reserved and free is left alone. Until it is free, those that come later take at
        most half of what it leaves of the whole: the other half is for those that ran before and
        take long, so that it comes free although not all of them have ended.
        """
        size, current = self.added_tokens(need), self.reservation
        missing = self.used + size - limit
        if current is None or current.request == request or current.priority > priority:
            return max(0, missing)
        reserved = self.added_tokens(current.need)
        later = sum(self.tokens_since_reserved.values())
        missing = max(missing, later + size - (limit - reserved) // 2)
        if self.used + reserved <= limit:
            missing = max(missing, self.used + reserved + size - limit)
        return missing + reserved if missing > 0 else 0

    def add(self, request: Hashable, need: TokenNeed, now: float, uncached: int) -> None:
        """Count a request that has so many tokens of its prompt to be read."""
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
        """Take back what a request holds or has reserved; return whether there was anything."""
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
    """Parts of prompts that engines have read, and most likely still hold."""

    #: When each was last used, by engine and key; the one unused the longest first.
    used_at_by_engine_and_key: dict[tuple[str, int], float] = msgspec.field(default_factory=dict)

    def record_use(self, engine: str, need: TokenNeed, now: float) -> None:
        """Note that an engine runs a request with these parts."""
        for key, _ in need.parts:
            if key != UNSHARED_PART:
                self.used_at_by_engine_and_key.pop((engine, key), None)
                self.used_at_by_engine_and_key[engine, key] = now
        while len(self.used_at_by_engine_and_key) > MAX_CACHED_PARTS:
            del self.used_at_by_engine_and_key[next(iter(self.used_at_by_engine_and_key))]

    def uncached_tokens(self, engine: str, need: TokenNeed, now: float) -> int:
        """Return the tokens of a prompt that an engine has to read."""
        return sum(
            tokens
            for key, tokens in need.parts
            if now - self.used_at_by_engine_and_key.get((engine, key), float("-inf"))
            > CACHED_SECONDS
        )


class TokenCounts(msgspec.Struct):
    """Tokens by engine for the engines that this router owns."""

    by_engine: dict[str, EngineTokens] = msgspec.field(default_factory=dict)
    cached_parts: CachedParts = msgspec.field(default_factory=CachedParts)
    #: Questions that were answered with a lack of memory; a request may ask several.
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
        """Return how many tokens must come free at an engine that holds other work.

        0 where a request fits; 1 where there is memory, but enough long prompts are being read.
        """
        count = self.by_engine.get(engine, EngineTokens())
        is_long = self.cached_parts.uncached_tokens(engine, need, now) > LONG_PROMPT_TOKENS
        must_wait_for_prefill = is_long and count.count_long_prefills(now) >= MAX_LONG_PREFILLS
        return max(count.shortage(request, need, limit, priority), int(must_wait_for_prefill))

    def add(self, engine: str, request: Hashable, need: TokenNeed, now: float) -> None:
        """Count a granted request, and drop what was reserved for it."""
        uncached = self.cached_parts.uncached_tokens(engine, need, now)
        self.by_engine.setdefault(engine, EngineTokens()).add(request, need, now, uncached)
        self.cached_parts.record_use(engine, need, now)

    def adopt(self, engine: str, request: Hashable) -> None:
        """Count a request that another owner granted as the mean of those that are known."""
        requests = sum(len(count.need_by_request) for count in self.by_engine.values())
        if requests == 0:
            return
        mean = sum(count.used for count in self.by_engine.values()) // requests
        self.add(engine, request, TokenNeed(mean), 0.0)

    def reserve(self, engine: str, reservation: Reservation) -> None:
        """Keep memory for a request that waits, unless one that is as urgent has reserved it."""
        count = self.by_engine.setdefault(engine, EngineTokens())
        current = count.reservation
        if current is None or reservation.priority < current.priority:
            count.reservation = reservation
            count.tokens_since_reserved.clear()

    def remove(self, engine: str, request: Hashable) -> bool:
        """Take back what a request holds or has reserved; return whether there was anything."""
        count = self.by_engine.get(engine)
        if count is None or not count.remove(request):
            return False
        if not count.need_by_request and count.reservation is None:
            del self.by_engine[engine]
        return True


def usable_tokens(memory: int) -> int:
    """Return how much of an engine's memory requests may take: nine tenths.

    The rest is for answers that grow beyond what their requests stated.
    """
    return memory * 9 // 10
