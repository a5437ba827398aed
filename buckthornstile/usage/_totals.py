"""Signed sums of usage by client account, service and request class."""

from collections.abc import Iterable
from typing import NamedTuple

from buckthornstile.base import AccountId, RequestClass, ServiceName
from buckthornstile.records import UsageLine


class UsageKey(NamedTuple):
    """What a sum is kept for."""

    account: AccountId
    service: ServiceName
    request_class: RequestClass


class UsageAmount(NamedTuple):
    """Requests and tokens; negative where a batch covers more recovered usage."""

    requests: int
    prompt_tokens: int
    generated_tokens: int


_ZERO = UsageAmount(0, 0, 0)


class UsageTotals:
    """Sums of usage lines.

    Example:
        >>> line = UsageLine(
        ...     account="a", service="s", request_class="waited", requests=2
        ... )
        >>> totals = UsageTotals([line])
        >>> totals.subtract([line])
        >>> totals.make_lines()
        ()
    """

    def __init__(self, lines: Iterable[UsageLine] = ()) -> None:
        self.amounts: dict[UsageKey, UsageAmount] = {}
        self.add(lines)

    def __len__(self) -> int:
        return len(self.amounts)

    def add(self, lines: Iterable[UsageLine]) -> None:
        """Adds lines.

        Example:
            >>> totals = UsageTotals()
            >>> totals.add([])
            >>> len(totals)
            0
        """
        for line in lines:
            self._add(_make_key(line), _make_amount(line), 1)

    def subtract(self, lines: Iterable[UsageLine]) -> None:
        """Subtracts lines; a sum may become negative.

        Example:
            >>> totals = UsageTotals()
            >>> totals.subtract([])
            >>> len(totals)
            0
        """
        for line in lines:
            self._add(_make_key(line), _make_amount(line), -1)

    def merge(self, other: "UsageTotals", *, sign: int = 1) -> None:
        """Adds another object's sums.

        Args:
            other: The other object.
            sign: 1 to add, -1 to subtract.

        Example:
            >>> totals = UsageTotals()
            >>> totals.merge(UsageTotals())
            >>> len(totals)
            0
        """
        for key, amount in other.amounts.items():
            self._add(key, amount, sign)

    def make_lines(self) -> tuple[UsageLine, ...]:
        """Makes lines of the positive sums, in an order all processes agree on.

        Example:
            >>> UsageTotals().make_lines()
            ()
        """
        lines = []
        for key in sorted(self.amounts, key=_get_sort_key):
            positive = UsageAmount(*(max(0, part) for part in self.amounts[key]))
            if positive != _ZERO:
                lines.append(_make_line(key, positive))
        return tuple(lines)

    def make_remainder(self) -> "UsageTotals":
        """Makes sums of what :meth:`make_lines` left out: the negative parts.

        Example:
            >>> len(UsageTotals().make_remainder())
            0
        """
        remainder = UsageTotals()
        for key, amount in self.amounts.items():
            remainder._add(key, UsageAmount(*(min(0, part) for part in amount)), 1)
        return remainder

    def _add(self, key: UsageKey, amount: UsageAmount, sign: int) -> None:
        old = self.amounts.get(key, _ZERO)
        new = UsageAmount(
            old.requests + sign * amount.requests,
            old.prompt_tokens + sign * amount.prompt_tokens,
            old.generated_tokens + sign * amount.generated_tokens,
        )
        if new == _ZERO:
            self.amounts.pop(key, None)
        else:
            self.amounts[key] = new


def _get_sort_key(key: UsageKey) -> tuple[str, str, str]:
    return key.account, key.service, key.request_class.value


def _make_key(line: UsageLine) -> UsageKey:
    return UsageKey(line.account, line.service, line.request_class)


def _make_amount(line: UsageLine) -> UsageAmount:
    return UsageAmount(line.requests, line.prompt_tokens, line.generated_tokens)


def _make_line(key: UsageKey, amount: UsageAmount) -> UsageLine:
    return UsageLine(
        account=key.account,
        service=key.service,
        request_class=key.request_class,
        requests=amount.requests,
        prompt_tokens=amount.prompt_tokens,
        generated_tokens=amount.generated_tokens,
    )
