"""Records of idempotency keys, whose requests may run only once; without I/O.

A key's record is kept at two routers, the first and second that rendezvous hashing
ranks for it, so that one may be lost. docs/DESIGN.md states the guarantees.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

#: Seconds for which a key is remembered after its last update.
KEEP_SECONDS = 600.0
#: Maximum bytes of an answer's body that is kept for a repeated request.
MAX_KEPT_BODY = 64 * 1024
#: Maximum number of keys that one router remembers.
MAX_KEYS = 10_000
#: Maximum bytes of answers that one router keeps; beyond it the oldest keys are dropped.
MAX_KEPT_BYTES = 8 * 1024 * 1024


class KeptAnswer(msgspec.Struct, frozen=True):
    """The answer of a completed request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class KeyRecord(msgspec.Struct, frozen=True):
    """The state of one key's request."""

    #: Digest of the request, to detect a key that is used for two requests.
    digest: str
    #: The entry router that runs the request, and the request's id there.
    router: str
    request_id: str
    #: "running", "done", "unknown".
    state: str = "running"
    answer: KeptAnswer | None = None


class NewKey(msgspec.Struct, frozen=True):
    """The key is new; the request may run."""


class UsedKey(msgspec.Struct, frozen=True):
    """The key was used before; the request must not run again."""

    record: KeyRecord


Claim = NewKey | UsedKey


class KeyTable(msgspec.Struct):
    """One router's records."""

    record_by_key: OrderedDict[str, KeyRecord] = msgspec.field(default_factory=OrderedDict)
    #: Bytes of the answers that are kept.
    kept_bytes: int = 0
    #: When requests were released that have no record here, by id: their claims may yet come.
    _released_at_by_request: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    _updated_at_by_key: dict[str, float] = msgspec.field(default_factory=dict)

    def claim(self, key: str, record: KeyRecord, now: float) -> Claim:
        """Record a new key, or return the record of a used one.

        A repeated claim with the same request id counts as new again. One that comes after its own
        release, since it waited on its way, leaves no record: nobody would settle it.
        """
        self._drop_expired(now)
        known = self.record_by_key.get(key)
        if known is None and record.request_id in self._released_at_by_request:
            return UsedKey(msgspec.structs.replace(record, state="unknown"))
        if known is not None and known.request_id != record.request_id:
            return UsedKey(known)
        if known is None:
            self._set(key, record, now)
        return NewKey()

    def settle(self, key: str, record: KeyRecord, now: float) -> None:
        """Record a request's outcome; a record that is done does not change again."""
        known = self.record_by_key.get(key)
        if known is not None and known.request_id != record.request_id:
            return
        if known is not None and known.state == "done":
            return
        self._set(key, record, now)

    def release(self, key: str, request_id: str, now: float) -> None:
        """Forget a key whose request certainly did not run."""
        known = self.record_by_key.get(key)
        if known is not None and known.request_id == request_id:
            self._drop(key)
            return
        self._released_at_by_request[request_id] = now

    def router_gone(self, router: str) -> None:
        """Mark the running requests of an entry router that is gone as unknown."""
        for key, record in self.record_by_key.items():
            if record.router == router and record.state == "running":
                self.record_by_key[key] = msgspec.structs.replace(record, state="unknown")

    def _set(self, key: str, record: KeyRecord, now: float) -> None:
        if key in self.record_by_key:
            self._drop(key)
        self.record_by_key[key] = record
        self._updated_at_by_key[key] = now
        self.kept_bytes += _size(record)
        while self.kept_bytes > MAX_KEPT_BYTES:
            self._drop(next(iter(self.record_by_key)))

    def _drop(self, key: str) -> None:
        self.kept_bytes -= _size(self.record_by_key.pop(key))
        del self._updated_at_by_key[key]

    def _drop_expired(self, now: float) -> None:
        released = self._released_at_by_request
        while released and (
            len(released) > MAX_KEYS or now - next(iter(released.values())) > KEEP_SECONDS
        ):
            released.popitem(last=False)
        while self.record_by_key:
            key = next(iter(self.record_by_key))
            is_expired = now - self._updated_at_by_key[key] > KEEP_SECONDS
            if not is_expired and len(self.record_by_key) <= MAX_KEYS:
                return
            self._drop(key)


def _size(record: KeyRecord) -> int:
    return len(record.answer.body) if record.answer is not None else 0


def kept_answer(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> KeptAnswer | None:
    """Return an answer to keep, or None if it is too large."""
    return KeptAnswer(status, headers, body) if len(body) <= MAX_KEPT_BODY else None


def settled_record(record: KeyRecord, answer: KeptAnswer | None) -> KeyRecord:
    """Return the record of a request that has run."""
    return msgspec.structs.replace(record, state="done", answer=answer)
