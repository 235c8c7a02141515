"""Calls to the store, each answer with the era in which it was given."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.observing import log_for
from pondhatch.platform import _names as names
from pondhatch.store import MAX_ERA, NO_ERA
from pondhatch.transport import CallFailed, StoreCalls

log = log_for("store")


class EraAnswer(msgspec.Struct, frozen=True):
    """What the store answered, and in which era."""

    status: int
    content: bytes
    era: int


class EraCalls:
    """Calls to one store that may come back from an older copy of itself."""

    def __init__(self, calls: StoreCalls) -> None:
        #: The newest era of any answer.
        self.era = NO_ERA
        self._calls = calls

    @property
    def made(self) -> int:
        """Calls made, for the rate that the store allows."""
        return self._calls.calls_made

    async def call(
        self, method: str, path: str, body: bytes = b"", seconds: float | None = None
    ) -> EraAnswer:
        """Return an answer. Raises CallFailed, also for one of an era that is over."""
        timing = {} if seconds is None else {"seconds": seconds}
        answer = await self._calls.call(method, path, body, **timing)
        era = _era_in(answer.value_by_name, self.era)
        if era < self.era:
            raise CallFailed("answered as it was before it came back from a copy", sent=True)
        if self.era != NO_ERA and era > self.era:
            log.warning("The store came back from an older copy: era {} after {}.", era, self.era)
        self.era = era
        return EraAnswer(answer.status, answer.content, era)


def _era_in(value_by_name: Mapping[str, str], known: int) -> int:
    """Return the era that an answer tells; what tells none is taken to be of the one known."""
    told = value_by_name.get(names.STORE_ERA.lower(), "")
    is_number = told.isascii() and told.isdigit() and len(told) <= len(str(MAX_ERA))
    return int(told) if is_number and int(told) <= MAX_ERA else known
