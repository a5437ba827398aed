"""Hints on which upstream holds which prompt prefix."""

from collections import OrderedDict
from collections.abc import Iterable

from buckthornstile.base import UpstreamId


class PrefixIndex:
    """An index of cache events, which come late and with gaps.

    A gap in an upstream's event numbers drops what is known of it: a wrong
    hint costs a cold prompt, which is worse than no hint.

    Args:
        maximum_prefixes: Prefixes kept for each upstream, the newest.

    Example:
        >>> index = PrefixIndex()
        >>> index.on_event("u1", 0, added=["p"])
        True
        >>> index.on_event("u1", 2, added=["q"])
        False
        >>> index.holds("u1", "p"), index.holds("u1", "q")
        (False, True)
    """

    def __init__(self, *, maximum_prefixes: int = 4096) -> None:
        self.maximum_prefixes = maximum_prefixes
        self.gaps = 0
        self._held: dict[UpstreamId, OrderedDict[str, None]] = {}
        self._next: dict[UpstreamId, int] = {}

    def on_event(
        self,
        upstream: UpstreamId,
        sequence: int,
        *,
        added: Iterable[str] = (),
        removed: Iterable[str] = (),
    ) -> bool:
        """Takes in one cache event.

        Args:
            upstream: The upstream that published it.
            sequence: The event's number, from 0 without gaps.
            added: Prefixes that the upstream now holds.
            removed: Prefixes that it has dropped.

        Returns:
            Whether it followed the last event; an older one is ignored.
        """
        expected = self._next.get(upstream, sequence)
        if sequence < expected:
            return False
        gap = sequence > expected
        if gap:
            self.gaps += 1
            self.forget(upstream)
        self._next[upstream] = sequence + 1
        held = self._held.setdefault(upstream, OrderedDict())
        for prefix in added:
            held[prefix] = None
            held.move_to_end(prefix)
        for prefix in removed:
            held.pop(prefix, None)
        while len(held) > self.maximum_prefixes:
            held.popitem(last=False)
        return not gap

    def forget(self, upstream: UpstreamId) -> None:
        """Drops what is known of an upstream, as at a new incarnation."""
        self._held.pop(upstream, None)
        self._next.pop(upstream, None)

    def holds(self, upstream: UpstreamId, prefix: str) -> bool:
        """Tells whether an upstream is thought to hold a prefix."""
        held = self._held.get(upstream)
        return held is not None and prefix in held
