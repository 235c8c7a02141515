"""Which engine served a chat last.

The order in which engines are asked does not say which of them served a chat that spilled (was
served by another engine than its home): back at its home, the chat would find no cached context.
So the owner of the home engine records the engine that served the chat last, for spilled chats
only. And each entry router records the engines that answered the chats that came through it, to
name the holder of a context to an engine that takes the chat over.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

#: Maximum number of chats in one router's table.
DEFAULT_MAX_CHATS = 100_000


class ContextLocations(msgspec.Struct):
    """LRU table from chat to the engine that holds its context."""

    limit: int = DEFAULT_MAX_CHATS
    engine_by_chat: OrderedDict[int, str] = msgspec.field(default_factory=OrderedDict)

    def remember(self, chat: int, engine: str) -> None:
        """Record which engine served a chat."""
        self.engine_by_chat[chat] = engine
        self.engine_by_chat.move_to_end(chat)
        if len(self.engine_by_chat) > self.limit:
            self.engine_by_chat.popitem(last=False)

    def forget(self, chat: int) -> None:
        """Drop a chat whose context is at the engine that is asked first anyway."""
        self.engine_by_chat.pop(chat, None)

    def engine_of(self, chat: int) -> str | None:
        """Return the engine recorded for a chat, or None if there is none."""
        return self.engine_by_chat.get(chat)
