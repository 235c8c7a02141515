"""Calls to the store that track its era.

The store's era rises each time it is restored from an older copy.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.observing import log_for
from pondhatch.platform import _names as names
from pondhatch.store import MAX_ERA, NO_ERA
from pondhatch.transport import CallFailed, StoreCalls

log = log_for("store")


class EraAnswer(msgspec.Struct, frozen=True):
    """An answer of the store, and the era in which it was given."""

    status: int
    content: bytes
    era: int


class EraCalls:
    """Calls to one store that may be restored from an older copy."""

    def __init__(self, calls: StoreCalls) -> None:
        #: The highest era of any answer so far.
        self.era = NO_ERA
        self._calls = calls

    @property
    def made(self) -> int:
        """Number of calls made; the store limits their rate."""
        return self._calls.calls_made

    async def call(
        self, method: str, path: str, body: bytes = b"", seconds: float | None = None
    ) -> EraAnswer:
        """Return an answer. Raises CallFailed, also for an answer of an earlier era."""
        timing = {} if seconds is None else {"seconds": seconds}
        answer = await self._calls.call(method, path, body, **timing)
        era = _read_era(answer.value_by_name, self.era)
        if era < self.era:
            raise CallFailed("answered as it was before it came back from a copy", sent=True)
        if self.era != NO_ERA and era > self.era:
            log.warning(
                "The store was restored from an older copy: era {} after {}.", era, self.era
            )
        self.era = era
        return EraAnswer(answer.status, answer.content, era)


def _read_era(value_by_name: Mapping[str, str], known: int) -> int:
    """Return the era that an answer states, the known one if it states no valid era."""
    value = value_by_name.get(names.STORE_ERA.lower(), "")
    is_number = value.isascii() and value.isdigit() and len(value) <= len(str(MAX_ERA))
    return int(value) if is_number and int(value) <= MAX_ERA else known
