"""Works out which weight versions made which tokens of an answer.

The engine's own report is taken three times: its state before, the version of
each token during, and its state after. A label is given only where all three
agree; anything else is an error, so that the sample is made again.
"""

import json

from buckthornstile.base import WeightVersion
from buckthornstile.ports import EngineState
from buckthornstile.samples._events import (
    EngineUsage,
    EventLines,
    decode_object,
    is_count,
    is_done,
    make_unverifiable,
    parse_usage,
)
from buckthornstile.wire import TokenRange


class LabelTracker:
    r"""Labels one answer; feed it the whole answer, then finish it once.

    Args:
        before: What the engine reported before the call.

    Example:
        >>> from buckthornstile.base import Incarnation
        >>> state = EngineState(Incarnation("i"), WeightVersion(4))
        >>> tracker = LabelTracker(state)
        >>> tracker.feed(b'data: {"token": "a", "index": 0, "version": 4}\n\n')
        >>> tracker.feed(b'data: {"usage": {"completion_tokens": 1}, "version": 4}\n')
        >>> tracker.feed(b"data: [DONE]\n\n")
        >>> tracker.finish(state)
        (TokenRange(first=0, last=0, version=4),)
    """

    def __init__(self, before: EngineState) -> None:
        self.before = before
        self.usage: EngineUsage | None = None
        self.tokens: list[str] = []
        self._lines = EventLines()
        self._labels: list[TokenRange] = []
        self._first = 0
        self._count = 0
        self._version = -1
        self._done = False
        self._sound = True

    @property
    def token_count(self) -> int:
        """Tokens seen so far."""
        return self._count

    @property
    def is_whole(self) -> bool:
        """Whether the answer has ended by its own declaration."""
        return self._done

    def feed(self, data: bytes) -> None:
        """Takes in the next bytes of a streamed answer.

        Args:
            data: The bytes, cut anywhere.

        Raises:
            BuckthornstileError: With ``VERSION_UNVERIFIABLE``.
        """
        # An error that the caller passes over must not be forgotten.
        self._sound = False
        for payload in self._lines.feed(data):
            if self._done:
                raise make_unverifiable("the engine's stream goes on after its end")
            if is_done(payload):
                self._done = True
                continue
            self._take_event(decode_object(payload))
        self._sound = True

    def feed_whole(self, body: bytes) -> None:
        """Takes in a whole JSON answer.

        Args:
            body: The answer's body.

        Raises:
            BuckthornstileError: With ``VERSION_UNVERIFIABLE``.
        """
        if self._done or self._count:
            raise make_unverifiable("an answer came twice")
        self._sound = False
        value = decode_object(body)
        versions = value.get("versions")
        if not isinstance(versions, list):
            raise make_unverifiable("the engine's answer has no versions")
        for item in versions:
            self._take_range(item)
        tokens = value.get("tokens")
        count = len(tokens) if isinstance(tokens, list) else tokens
        if count is not None and count != self._count:
            raise make_unverifiable("the versions do not cover the tokens")
        self.usage = parse_usage(value)
        self._done = True
        self._sound = True

    def make_whole_body(self) -> bytes:
        """Makes the whole JSON answer that a stream of events amounts to.

        Returns:
            The form that :meth:`feed_whole` reads.

        Raises:
            BuckthornstileError: With ``VERSION_UNVERIFIABLE`` if the stream is
                not whole.
        """
        self.check_whole()
        assert self.usage is not None
        self._close_range()
        answer = {
            "text": "".join(self.tokens),
            "tokens": self.tokens,
            "versions": [[r.first, r.last, r.version] for r in self._labels],
            "usage": {
                "prompt_tokens": self.usage.prompt_tokens,
                "generated_tokens": self.usage.generated_tokens,
            },
        }
        return json.dumps(answer, separators=(",", ":")).encode()

    def finish(self, after: EngineState) -> tuple[TokenRange, ...]:
        """Gives the labels of the whole answer.

        Args:
            after: What the engine reported after the call.

        Returns:
            Ranges without gaps from token 0, in order.

        Raises:
            BuckthornstileError: With ``VERSION_UNVERIFIABLE`` if the answer is
                not whole, or if the three reports do not agree.
        """
        self.check_whole()
        self._check_states(after)
        self._close_range()
        return tuple(self._labels)

    def _take_event(self, event: dict[str, object]) -> None:
        if self.usage is not None:
            raise make_unverifiable("the engine's stream goes on after its usage")
        if "usage" in event:
            self.usage = parse_usage(event)
            return
        index = event.get("index")
        version = event.get("version")
        if type(index) is not int or index != self._count:
            raise make_unverifiable(f"token {self._count} came as {index!r}")
        if type(version) is not int or version < 0:
            raise make_unverifiable(f"token {index} has no version")
        if version != self._version:
            self._change_version(version)
        self._count += 1
        token = event.get("token")
        self.tokens.append(token if isinstance(token, str) else "")

    def _take_range(self, item: object) -> None:
        if not isinstance(item, list) or not all(map(is_count, item)):
            raise make_unverifiable("a range of versions is not in whole numbers")
        if len(item) != 3:
            raise make_unverifiable("a range of versions has not three numbers")
        first, last, version = item
        if first != self._count or last < first:
            raise make_unverifiable("the ranges of versions leave gaps or overlap")
        if version != self._version:
            self._change_version(version)
        self._count = last + 1

    def _change_version(self, version: int) -> None:
        if version < self._version:
            raise make_unverifiable(
                f"the version went back from {self._version} to {version}"
            )
        self._close_range()
        self._first = self._count
        self._version = version

    def _close_range(self) -> None:
        if self._count > self._first:
            last = self._count - 1
            version = WeightVersion(self._version)
            self._labels.append(TokenRange(self._first, last, version))
            self._first = self._count

    def check_whole(self) -> None:
        """Checks that the answer is whole, whichever versions made it.

        Raises:
            BuckthornstileError: With ``VERSION_UNVERIFIABLE``.
        """
        if not self._sound:
            raise make_unverifiable("the engine's answer broke off on an error")
        if not self._done or self._lines.has_rest:
            raise make_unverifiable("the engine's answer is not whole")
        if self.usage is None:
            raise make_unverifiable("the engine's answer has no usage")
        if self.usage.generated_tokens != self._count:
            raise make_unverifiable(
                f"the usage counts {self.usage.generated_tokens} tokens, "
                f"but {self._count} came"
            )
        if not self._count:
            raise make_unverifiable("the answer has no token to label")

    def _check_states(self, after: EngineState) -> None:
        before = self.before
        if not before.incarnation or before.incarnation != after.incarnation:
            raise make_unverifiable("the engine restarted during the call")
        if before.version < 0 or after.version < 0:
            raise make_unverifiable("the engine's version is unknown")
        first = self._labels[0].version if self._labels else self._version
        last = self._version
        if not before.version <= first:
            raise make_unverifiable(
                f"the engine stood at {before.version} before a token of {first}"
            )
        if not last <= after.version:
            raise make_unverifiable(
                f"the engine stands at {after.version} after a token of {last}"
            )
        final = self.usage.version if self.usage is not None else None
        if final is not None and not last <= final <= after.version:
            raise make_unverifiable("the engine's last version does not agree")
