"""Shares out the event loop's turns among answers that take long to read; performs no I/O.

An answer of a few parts is read as soon as it arrives. One that has many more, or whose parts take
long, yields: such answers are read in small shares, in rotation, and all of them together take no
more than TURN_SECONDS of a turn of the loop.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

#: Parts of an answer that are read in one share: some 0.4 ms, if they are chunks of a byte.
PARTS_PER_SHARE = 40
#: Seconds that one share of an ordinary answer takes at most.
SHARE_SECONDS = 0.0005
#: Seconds of a turn of the loop for all answers that yield, but one share at least. A request needs
#: some ten turns, while an empty turn costs a fiftieth of this.
TURN_SECONDS = 0.002


def call_in_next_turn(callback: Callable[[], None]) -> None:
    """Call back in the next turn of the running loop."""
    asyncio.get_running_loop().call_soon(callback)


class ReadingTurns:
    """The turns of one event loop, which the readers of all answers share."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        call_soon: Callable[[Callable[[], None]], object] = call_in_next_turn,
    ) -> None:
        self._clock = clock
        self._call_soon = call_soon
        #: In the order of their next shares; the values mean nothing.
        self._waiting: dict[ReadingShares, None] = {}
        #: Seconds of this turn that were used.
        self._used = 0.0
        #: Whether the next turn begins by a call.
        self._is_scheduled = False

    def request(self, shares: ReadingShares) -> None:
        """Serve an ordinary reader at once, and others as long as this turn has time for them."""
        if shares.is_waiting:
            return
        if not self._is_scheduled:
            # What was counted last was of an earlier turn.
            self._used = 0.0
        # Others are served by calls of their own, so that an error of theirs ends no other reader.
        has_others = bool(self._waiting)
        if shares.yields:
            self._wait(shares)
        else:
            self._serve(shares)
        if not has_others:
            self._serve_waiting()

    def leave(self, shares: ReadingShares) -> None:
        """Serve a reader no more until it requests a share again."""
        shares.is_waiting = False
        self._waiting.pop(shares, None)

    def _serve(self, shares: ReadingShares) -> None:
        began = self._clock()
        had_more, shares.has_more = shares.has_more, shares.read_share()
        seconds = self._clock() - began
        self._used += seconds
        # The last share of a long answer says nothing of what arrives next.
        shares.yields = shares.has_more or had_more or seconds > SHARE_SECONDS
        if shares.has_more:
            self._wait(shares)

    def _wait(self, shares: ReadingShares) -> None:
        shares.is_waiting = True
        self._waiting[shares] = None
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Serve those that wait, and be called again if any wait."""
        self._is_scheduled = False
        self._used = 0.0
        if self._waiting:
            self._schedule()
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Serve those that wait, in rotation, as long as this turn has time for them."""
        while self._waiting and self._used < TURN_SECONDS:
            shares = next(iter(self._waiting))
            self.leave(shares)
            self._serve(shares)


class ReadingShares:
    """The shares of one reader."""

    def __init__(self, turns: ReadingTurns, read_share: Callable[[], bool]) -> None:
        #: Reads a share of what came; returns whether more is left.
        self.read_share = read_share
        #: Whether what came waits for a later turn. Nothing is to be received meanwhile.
        self.is_waiting = False
        #: Whether its last share left more to read.
        self.has_more = False
        #: Whether what it read last was more than an ordinary answer needs.
        self.yields = False
        self._turns = turns

    def request(self) -> None:
        """Read what came, at once or in later turns of the loop."""
        self._turns.request(self)

    def leave(self) -> None:
        """Read no more until the next request."""
        self._turns.leave(self)
