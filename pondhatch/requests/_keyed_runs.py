"""Runs a request with an idempotency key at most once: claims the key at two routers first."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from pondhatch.placement import Regions
from pondhatch.requests._key_ranking import KeyRanking
from pondhatch.requests._keys import (
    KEEP_SECONDS,
    Claim,
    KeptAnswer,
    KeyRecord,
    KeyTable,
    NewKey,
    UsedKey,
    settled_record,
)
from pondhatch.requests._outcomes import NotRun, Unknown

#: Claims of one request that may get no reply. Each may take seconds.
MAX_UNANSWERED_CLAIMS = 1
#: Seconds between two calls to a router that did not reply to a claim; doubled each time.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 2.0
CONFLICT = 409
UNPROCESSABLE = 422


class KeyHolder(Protocol):
    """A router that holds records of keys: this one or a peer."""

    async def claim(self, key: str, record: KeyRecord) -> Claim | None:
        """Claim a key; None if the router could not be reached."""

    async def settle(self, key: str, record: KeyRecord) -> bool:
        """Record the outcome of a claimed request; return whether the router was reached."""

    async def release(self, key: str, request_id: str) -> bool:
        """Forget a claim whose request did not run; return whether the router was reached."""


class LocalKeyHolder:
    """A holder of keys in this process; see KeyHolder."""

    def __init__(self, key_table: KeyTable, clock: Callable[[], float]) -> None:
        self._key_table = key_table
        self._clock = clock

    async def claim(self, key: str, record: KeyRecord) -> Claim | None:
        """Claim a key here; see KeyHolder."""
        return self._key_table.claim(key, record, self._clock())

    async def settle(self, key: str, record: KeyRecord) -> bool:
        """Record the outcome of a claimed request; see KeyHolder."""
        self._key_table.settle(key, record, self._clock())
        return True

    async def release(self, key: str, request_id: str) -> bool:
        """Forget a claim; see KeyHolder."""
        self._key_table.release(key, request_id, self._clock())
        return True


class HolderView(Protocol):
    """The parts of the router's state that keyed runs use."""

    def key_ranking(self, key: str, regions: Regions = None) -> KeyRanking:
        """Return the routers of these regions in their rank as holders of a key."""

    def key_holder(self, name: str) -> KeyHolder | None:
        """Return a router's interface for keys, or None if the router is unknown."""

    def note_unreachable(self, name: str) -> None:
        """Note that a router could not be reached."""


class KeyedRun:
    """One keyed request from its claim to its end."""

    def __init__(
        self, view: HolderView, key: str, record: KeyRecord, regions: Regions = None
    ) -> None:
        self._view = view
        #: Regions whose routers may keep its answer; None allows any.
        self._regions = regions
        self._key = key
        self._record = record
        self._claimed_at: list[str] = []
        #: Routers that did not reply to a claim, which they may read yet.
        self._unanswered: list[str] = []
        #: The record of its outcome; None while the request runs, or where it did not run.
        self._outcome: KeyRecord | None = None

    async def begin(self) -> NewKey | UsedKey | NotRun:
        """Claim the key at its holders; the request may run only if this returns NewKey."""
        while len(self._unanswered) <= MAX_UNANSWERED_CLAIMS:
            # Asked anew each time: routers may be lost, join or return between two claims.
            holders = self._needed_holders()
            missing = [name for name in holders if name not in self._claimed_at]
            if holders and not missing:
                return NewKey()
            if not holders:
                break
            claim = await self._claim_at(missing[0])
            if isinstance(claim, UsedKey):
                await self.release_claims()
                return claim
        await self.release_claims()
        return NotRun("keys-unreachable", "the routers that hold this key cannot be reached")

    async def record_completed(self, answer: KeptAnswer | None) -> None:
        """Record that the request has run to completion."""
        await self._settle(settled_record(self._record, answer))

    async def record_unknown(self) -> None:
        """Record that it is unknown whether the request ran."""
        await self._settle(msgspec.structs.replace(self._record, state="unknown"))

    async def release_claims(self) -> None:
        """Release the claims because the request certainly did not run."""
        for name in self._claimed_at:
            holder = self._view.key_holder(name)
            if holder is not None:
                await holder.release(self._key, self._record.request_id)

    def _needed_holders(self) -> tuple[str, ...]:
        return self._view.key_ranking(self._key, self._regions).needed_holders()

    async def _claim_at(self, name: str) -> Claim | None:
        holder = self._view.key_holder(name)
        claim = await holder.claim(self._key, self._record) if holder is not None else None
        if claim is None:
            self._unanswered.append(name)
            self._view.note_unreachable(name)
        if isinstance(claim, NewKey):
            self._claimed_at.append(name)
        return claim

    async def end_unanswered_claims(self, sleep: Callable[[float], Awaitable[None]]) -> None:
        """Tell the routers that did not reply to a claim how the request ended, once they do.

        Call this after the end, or the refusal. A router that stood still or was cut off reads the
        claim when it is back, and would refuse the key as running until it forgets it.
        """
        pause = FIRST_PAUSE_SECONDS
        waited = 0.0
        while self._unanswered and waited < KEEP_SECONDS:
            self._unanswered = [name for name in self._unanswered if not await self._tell(name)]
            if self._unanswered:
                await sleep(pause)
                waited += pause
                pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    async def _tell(self, name: str) -> bool:
        """Tell a router the outcome; return whether it was reached."""
        holder = self._view.key_holder(name)
        if holder is None:
            return False
        if self._outcome is not None:
            return await holder.settle(self._key, self._outcome)
        return await holder.release(self._key, self._record.request_id)

    async def _settle(self, record: KeyRecord) -> None:
        self._outcome = record
        for name in dict.fromkeys([*self._claimed_at, *self._needed_holders()]):
            holder = self._view.key_holder(name)
            if holder is not None:
                await holder.settle(self._key, record)


def used_key_refusal(known: UsedKey, record: KeyRecord) -> NotRun | Unknown:
    """Return the refusal for a key that was used before and has no kept answer."""
    if known.record.digest != record.digest:
        wrong = "the idempotency key was used for another request"
        return NotRun("key-reused", wrong, 0.0, UNPROCESSABLE)
    if known.record.state == "running":
        return NotRun("key-running", "the first request with this key still runs", 1.0)
    if known.record.state == "done":
        done = "the first request with this key ran; its answer was too large to keep"
        return NotRun("key-done", done, 0.0, CONFLICT)
    return Unknown("key-unknown", "the first request with this key may have run", CONFLICT)
