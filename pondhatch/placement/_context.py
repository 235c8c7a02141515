"""Which engine most likely holds the cached context of a chat."""

from __future__ import annotations

from pondhatch.placement._context_locations import ContextLocations

#: Seconds after it joined for which an engine counts as young.
YOUNG_SECONDS = 600.0


def context_engine(
    locations: ContextLocations,
    chat: int,
    home: str,
    settled_engine: str | None,
    home_is_young: bool,
) -> str:
    """Return the engine that most likely holds a returning chat's context.

    A chat that was served by another engine than its home is at the recorded engine. Where the
    home engine joined a short while ago, the chat's former home is ``settled_engine``, the
    highest-ranked of the chat's engines that joined earlier. Sending the chat there keeps its
    context, and protects a joining engine from a flood of chats whose context it does not have.
    """
    remembered = locations.engine_of(chat)
    if remembered is not None:
        return remembered
    if home_is_young and settled_engine is not None:
        return settled_engine
    return home
