"""Which engine served a chat last.

A spill order is no memory: a chat that spilled and later found room at home
would find a cold engine there. So the owner of a chat's home engine remembers
the engine that served the chat last, for the chats that spilled only. And each
entry router remembers who answered the chats that came through it, to name the
holder of a context to an engine that takes it over.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

#: Chats remembered at most by one router.
DEFAULT_MAX_CHATS = 100_000


class ContextLocations(msgspec.Struct):
    """Least recently used table from chat to the engine that holds its context."""

    limit: int = DEFAULT_MAX_CHATS
    engine_by_chat: OrderedDict[int, str] = msgspec.field(default_factory=OrderedDict)

    def remember(self, chat: int, engine: str) -> None:
        """Note which engine served a chat."""
        self.engine_by_chat[chat] = engine
        self.engine_by_chat.move_to_end(chat)
        if len(self.engine_by_chat) > self.limit:
            self.engine_by_chat.popitem(last=False)

    def forget(self, chat: int) -> None:
        """Note that a chat is where it is looked for first."""
        self.engine_by_chat.pop(chat, None)

    def engine_of(self, chat: int) -> str | None:
        """Return the engine that was noted for a chat, or None where none was."""
        return self.engine_by_chat.get(chat)
