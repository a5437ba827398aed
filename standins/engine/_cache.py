"""A prefix cache of limited size, and its events."""

import hashlib
from collections import OrderedDict, deque
from typing import Any

BLOCK_TOKENS = 16
MAX_EVENTS = 10_000


def count_tokens(text: str) -> int:
    """Counts the tokens of a text: its words.

    Example:
        >>> count_tokens("set of a tooth")
        4
    """
    return len(text.split())


def make_prefixes(prompt: str) -> list[str]:
    """Names each whole block of a prompt by a digest of all up to its end.

    Example:
        >>> len(make_prefixes("word " * 40))
        2
    """
    words = prompt.split()
    running = hashlib.sha256()
    names = []
    for stop in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        running.update(" ".join(words[stop - BLOCK_TOKENS : stop]).encode())
        names.append(running.hexdigest()[:16])
    return names


class PrefixCache:
    """The least recently used blocks go first.

    Example:
        >>> cache = PrefixCache(limit=32)
        >>> cache.store("word " * 40, now=0.0)
        >>> cache.match("word " * 20), cache.tokens
        (16, 32)
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_EVENTS)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._event_count = 0

    @property
    def tokens(self) -> int:
        """Tokens that the cache holds."""
        return len(self._blocks) * BLOCK_TOKENS

    def match(self, prompt: str) -> int:
        """Counts the prompt's leading tokens that are cached."""
        matched = 0
        for name in make_prefixes(prompt):
            if name not in self._blocks:
                break
            self._blocks.move_to_end(name)
            matched += BLOCK_TOKENS
        return matched

    def store(self, prompt: str, *, now: float) -> None:
        """Stores a prompt's blocks."""
        for name in make_prefixes(prompt):
            if name not in self._blocks:
                self._add_event("stored", name, now)
            self._blocks[name] = None
            self._blocks.move_to_end(name)
        while self.tokens > self.limit:
            name, _ = self._blocks.popitem(last=False)
            self._add_event("evicted", name, now)

    def clear(self) -> None:
        """Forgets all, without an event: the cache is lost."""
        self._blocks.clear()

    def list_events(
        self, after: int, *, now: float, lag: float, gap_every: int
    ) -> list[dict[str, Any]]:
        """Lists events late, leaving out every ``gap_every``-th."""
        return [
            event
            for event in self.events
            if event["sequence"] > after
            and event["at"] <= now - lag
            and (gap_every <= 0 or event["sequence"] % gap_every != 0)
        ]

    def _add_event(self, kind: str, name: str, now: float) -> None:
        self._event_count += 1
        self.events.append(
            {"sequence": self._event_count, "kind": kind, "prefix": name, "at": now}
        )
