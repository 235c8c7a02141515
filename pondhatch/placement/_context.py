"""Where a chat's context is believed to lie."""

from __future__ import annotations

from pondhatch.placement._context_locations import ContextLocations

#: Seconds for which an engine that joined counts as young.
YOUNG_SECONDS = 600.0


def context_engine(
    locations: ContextLocations, chat: int, home: str, established: str | None, home_is_young: bool
) -> str:
    """Return the engine that most likely holds a returning chat's context.

    A chat that spilled is where it was remembered. One whose home engine joined
    a short while ago was, before that, at home with the first engine of its order
    that did not, ``settled``: sending it there keeps its context, and keeps a joining
    engine from being flooded by chats that it cannot know.
    """
    remembered = locations.engine_of(chat)
    if remembered is not None:
        return remembered
    if home_is_young and established is not None:
        return established
    return home
