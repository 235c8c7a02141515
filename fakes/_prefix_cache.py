"""An engine's prefix cache with limited capacity."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Sequence

#: Characters that count as one token.
CHARACTERS_PER_TOKEN = 4


def tokens_of(text: str) -> int:
    """Return the number of tokens that a text counts as."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


class PrefixCache:
    """An LRU cache of the prefixes of message lists, bounded in tokens."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self._tokens_by_prefix: OrderedDict[str, int] = OrderedDict()

    def cached_tokens(self, messages: Sequence[str]) -> int:
        """Return the tokens of the longest cached prefix, and mark the cached prefixes used."""
        cached = total = 0
        for prefix, tokens in _prefixes(messages):
            total += tokens
            if prefix in self._tokens_by_prefix:
                self._tokens_by_prefix.move_to_end(prefix)
                cached = total
        return cached

    def insert(self, messages: Sequence[str]) -> None:
        """Cache a message list's prefixes, evicting the least recently used ones."""
        for prefix, tokens in _prefixes(messages):
            if prefix not in self._tokens_by_prefix:
                self._tokens_by_prefix[prefix] = tokens
                self.used_tokens += tokens
            self._tokens_by_prefix.move_to_end(prefix)
        while self.used_tokens > self.capacity_tokens and self._tokens_by_prefix:
            _, tokens = self._tokens_by_prefix.popitem(last=False)
            self.used_tokens -= tokens


def _prefixes(messages: Sequence[str]) -> list[tuple[str, int]]:
    digest = hashlib.blake2b(digest_size=8)
    found = []
    for message in messages:
        digest.update(message.encode() + b"\0")
        found.append((digest.hexdigest(), tokens_of(message)))
    return found
