"""Binds one request's stream to the software version that began it.

Every way of going on then leads to engine starts of that version only: the order of engines, the
queues, retries, relays, and the last check before a request is sent.
"""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.requests._messages import RequestHead
from pondhatch.requests._outcomes import NotRun
from pondhatch.requests._stream_origins import (
    OriginUnknown,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)

#: Code of a stream that cannot go on because no engine of its software version is left.
VERSION_GONE = "software-version-gone"
#: Code of a stream that cannot go on because it is not known which software version began it.
ORIGIN_UNKNOWN = "stream-origin-unknown"
#: Code of a new stream that may not begin yet.
VERSION_UNREGISTERED = "software-version-unregistered"
#: Retry delay in seconds for that: the platform is told within that time, unless it is away.
UNREGISTERED_RETRY_AFTER = 0.5
#: Codes of broken answers that are not resumed: the request was sent to as many engines as it may
#: be, or the service has used up its retries.
TRIES_SPENT = "tries-spent"
NO_RETRY_LEFT = "no-retry-left"
#: Seconds that a begun stream waits for a free slot at the engines of its version while engines of
#: other versions, which cannot take it, may have some. Callers bear pauses of two seconds.
BOUND_QUEUE_SECONDS = 1.0
#: Retry delay in seconds for a stream that cannot go on now: an engine that failed, or the router
#: that knows the stream, may be back by then.
BOUND_RETRY_AFTER = 1.0


class StreamBinding:
    """The software version to which one request is bound, if any."""

    def __init__(self, head: RequestHead, origins: StreamOrigins) -> None:
        self._head = head
        self._origins = origins
        #: The only version whose engines may run the request; None allows any.
        self.software_version: str | None = None
        #: What began the stream that the request resumes; None if it resumes none.
        self.origin: StreamOrigin | None = None
        #: Software versions of the engines that answered, in order, without repeats in a row.
        self.answered_versions: list[str] = []
        #: Code of what kept a broken answer from being resumed or run again; empty without one.
        self.not_resumed = ""

    @property
    def _resumes(self) -> bool:
        """Whether the caller resumes a stream that may go on at another engine."""
        return self._head.resumes_anywhere and bool(self._head.last_event_id)

    async def find_origin(self, remaining: Callable[[], float]) -> NotRun | None:
        """Bind a request that resumes a stream to the version that began the stream.

        Return the refusal if that version is unknown: to guess could join what two versions wrote.
        ``remaining`` returns the seconds to the caller's deadline.
        """
        if not self._resumes:
            return None
        key = self._key(self._head.resumed_attempt)
        origin = await self._origins.find(self._head.service, key)
        if isinstance(origin, OriginUnknown):
            return self._unknown_origin(origin, remaining())
        self.origin = origin
        self.software_version = origin.software_version
        return None

    async def note_sending(self, software_version: str) -> bool:
        """Note that the request is about to be sent to a version; return whether it may be sent."""
        if not self._head.resumes_anywhere or not self._head.caller_id:
            return True
        key = self._key(self._head.caller_id)
        return await self._origins.note_sending(self._head.service, key, software_version)

    def may_begin_unregistered(self) -> bool:
        """Return whether the stream may begin there if no other version has engines."""
        return self._origins.may_begin_unregistered(self._head.service)

    async def await_registered(self, live_versions: Callable[[], frozenset[str]]) -> bool:
        """Wait for a moment until a stream may begin at a version that has live engines.

        Return whether that took time.
        """
        if self.software_version is not None or not self._head.resumes_anywhere:
            return False
        return await self._origins.await_registered(self._head.service, live_versions)

    def unregistered_versions(self) -> frozenset[str]:
        """Return the versions at which the request's stream may not begin yet."""
        if self.software_version is not None or not self._head.resumes_anywhere:
            return frozenset()
        return self._origins.unregistered_versions(self._head.service)

    def bind(self, software_version: str, remaining: float) -> None:
        """Bind the rest of a stream whose first event is about to reach the caller.

        ``remaining`` is the number of seconds to the caller's deadline. A stream that was resumed
        is recorded under this attempt too, as its caller may name either.
        """
        if self.software_version is None:
            self.software_version = software_version
        if not self._head.resumes_anywhere:
            return
        attempts = [self._head.caller_id]
        if self._resumes:
            attempts.append(self._head.resumed_attempt)
        keys = tuple(self._key(attempt) for attempt in attempts if attempt)
        if keys:
            self._origins.record(self._head.service, keys, self.software_version, remaining)

    def note_answer(self, software_version: str) -> None:
        """Note the version of an engine that began an answer."""
        if self.answered_versions[-1:] != [software_version]:
            self.answered_versions.append(software_version)

    def least_queue_seconds(self, allowed: tuple[str, ...], every: tuple[str, ...]) -> float:
        """Return for how long the request waits at full engines at least.

        ``allowed`` are the engines that it may go to, ``every`` those of all versions.
        """
        is_restricted = self.software_version is not None and len(allowed) < len(every)
        return BOUND_QUEUE_SECONDS if is_restricted else 0.0

    def unregistered_refusal(self) -> NotRun:
        """Return the refusal of a stream that no engine may begin yet."""
        return NotRun(
            VERSION_UNREGISTERED,
            "the platform does not know yet that engines of the only software version there is may "
            "begin streams; nothing ran",
            UNREGISTERED_RETRY_AFTER,
        )

    def no_engine_left(self) -> NotRun:
        """Return the refusal of a stream if no engine of its version is left."""
        return NotRun(
            VERSION_GONE,
            f"no engine of software version {self.software_version!r}, which began the stream, is "
            "left to go on with it; nothing ran",
            BOUND_RETRY_AFTER,
        )

    def _unknown_origin(self, unknown: OriginUnknown, remaining: float) -> NotRun:
        """Return the refusal of a stream of unknown version.

        What nobody knows will not be known later either: its caller is not asked to come back
        before its deadline.
        """
        named = self._head.resumed_attempt
        retry_after = (
            BOUND_RETRY_AFTER if unknown.may_be_known_soon else max(BOUND_RETRY_AFTER, remaining)
        )
        return NotRun(
            ORIGIN_UNKNOWN,
            f"engines of several software versions serve, and no router knows which one began the "
            f"stream of attempt {named!r}; nothing ran"
            if named
            else "engines of several software versions serve, and the request does not name the "
            "attempt that began the stream; nothing ran",
            retry_after,
        )

    def _key(self, attempt: str) -> bytes:
        return stream_key(self._head.account, self._head.service, attempt)
