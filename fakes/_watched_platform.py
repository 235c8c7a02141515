"""A platform in memory with watches that wait, as one router reaches it over a network."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from fakes._platform_in_memory import PlatformInMemory
from pondhatch.store import (
    Changes,
    Listed,
    PlatformLost,
    TooOld,
    Unavailable,
    WatchEvent,
    era_of,
    position_of,
    revision_of,
)

#: Seconds that a call takes on its way, and its answer on the way back.
WAY_SECONDS = 0.002
#: Seconds for which a watch waits for a change, and a call for an answer.
WATCH_SECONDS, CALL_SECONDS = 2.0, 2.0


class WatchedPlatform(PlatformInMemory):
    """The platform itself; routers reach it through ``PlatformPath``."""

    def __init__(self) -> None:
        super().__init__()
        self.is_away = False
        #: When each call came, in the loop's seconds.
        self.called_at: list[float] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, value: object) -> None:
        """Write an object as the operator would."""
        self.store.put(kind, name, value, None, must_be_new=False)
        self.note_change()

    def note_change(self) -> None:
        """Answer the watches that wait."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        await self._changed.wait()

    def _is_call_refused(self) -> bool:
        self.called_at.append(asyncio.get_running_loop().time())
        return super()._is_call_refused() or self.is_away


class PlatformPath:
    """See Platform; the calls of one router that the tests of its reads need."""

    def __init__(self, platform: WatchedPlatform) -> None:
        self._platform = platform
        #: Whether calls of this router get no answer.
        self.is_silent = False
        #: Seconds that each call takes beyond the usual.
        self.delay = 0.0

    async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
        if await self._is_unanswered():
            return Unavailable("silent")
        return await self._platform.list(kind, may_be_old)

    async def changes(self, kind: str, since: int) -> Changes | Listed | Unavailable:
        if await self._is_unanswered():
            return Unavailable("silent")
        return await self._platform.changes(kind, since)

    async def watch(self, kind: str, since: int | None) -> AsyncIterator[WatchEvent]:
        platform = self._platform
        position = since or position_of(platform.era, platform.store.version)
        yield WatchEvent("bookmark", position)
        while True:
            if await self._is_unanswered() or platform._is_call_refused():
                raise PlatformLost("no answer")
            if era_of(position) != platform.era:
                raise TooOld(kind)
            events = await self._wait_for_events(kind, position)
            await asyncio.sleep(WAY_SECONDS)
            for event in events:
                yield event
            position = max([position, *(event.version for event in events)])

    async def _wait_for_events(self, kind: str, since: int) -> tuple[WatchEvent, ...]:
        platform = self._platform
        try:
            async with asyncio.timeout(WATCH_SECONDS):
                while revision_of(since) <= platform.store.version:
                    if events := platform.events_since(kind, since):
                        return events
                    await platform.wait_for_change()
        except TimeoutError:
            pass
        return ()

    async def _is_unanswered(self) -> bool:
        await asyncio.sleep(WAY_SECONDS + self.delay)
        if self.is_silent:
            await asyncio.sleep(CALL_SECONDS)
        return self.is_silent
