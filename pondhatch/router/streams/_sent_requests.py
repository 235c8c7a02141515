"""Where the requests of one router were sent, as far as the platform's records may tell."""

from __future__ import annotations

#: Requests that are remembered at most, some twenty megabytes: of a minute at 2,000 a second.
MAX_SENT = 131_072


class SentRequests:
    """The only version to which the platform's records may say that each request was sent."""

    def __init__(self) -> None:
        self._version_by_key: dict[bytes, str | None] = {}
        #: When each of these requests was first sent, in the clock's seconds, the oldest first.
        self._sent_at: dict[bytes, float] = {}

    def __contains__(self, key: bytes) -> bool:
        return key in self._version_by_key

    def version(self, key: bytes) -> str | None:
        """Return that version; None if the records name several or none, or nothing was sent."""
        return self._version_by_key.get(key)

    def add(self, key: bytes, software_version: str, now: float, max_age: float) -> None:
        """Add a request that is sent for the first time.

        Forget those that were first sent more than ``max_age`` seconds ago.
        """
        self._version_by_key[key] = software_version
        self._sent_at[key] = now
        while len(self._sent_at) > MAX_SENT or next(iter(self._sent_at.values())) < now - max_age:
            oldest = next(iter(self._sent_at))
            del self._sent_at[oldest], self._version_by_key[oldest]

    def note_several(self, key: bytes) -> None:
        """Note that the records name several versions for a request, or none."""
        self._version_by_key[key] = None
