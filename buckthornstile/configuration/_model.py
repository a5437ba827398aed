"""A revision of the configuration, with indexes for lookups on each request."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from buckthornstile.base import (
    NO_OFFSET,
    AccountId,
    FailureDomain,
    KeyId,
    Offset,
    Revision,
)
from buckthornstile.configuration._items import (
    ANY_ACCOUNT,
    ANY_TRAINER,
    Account,
    ApiKey,
    ConfigurationItem,
    Drain,
    OpenRoute,
    Rule,
)

RuleIndex = Mapping[str, Mapping[tuple[str, str], Rule]]
"""Rules by normalised path, then by account and trainer."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration at one revision; immutable.

    Args:
        revision: Number of changes accepted so far.
        last_offset: Offset of the record of the last change.
        accounts: Client accounts by name.
        keys: Keys by public id, including withdrawn ones.
        open_routes: Open routes by path.
        rules: Rules by name.
        drains: Drained failure domains by name.

    Example:
        >>> configuration = make_configuration([Account(name="mill-7")], revision=1)
        >>> configuration.accounts["mill-7"].weight
        1.0
    """

    revision: Revision = Revision(0)
    last_offset: Offset = NO_OFFSET
    accounts: Mapping[AccountId, Account] = field(default_factory=dict)
    keys: Mapping[KeyId, ApiKey] = field(default_factory=dict)
    open_routes: Mapping[str, OpenRoute] = field(default_factory=dict)
    rules: Mapping[str, Rule] = field(default_factory=dict)
    drains: Mapping[FailureDomain, Drain] = field(default_factory=dict)
    _keys_by_digest: Mapping[str, ApiKey] = field(
        default_factory=dict, repr=False, compare=False
    )
    _rules_by_path: RuleIndex = field(default_factory=dict, repr=False, compare=False)
    _longest_path: int = field(default=0, repr=False, compare=False)

    def find_api_key(self, digest: str) -> ApiKey | None:
        """Returns the key with a digest, which may be withdrawn, or None.

        Example:
            >>> EMPTY_CONFIGURATION.find_api_key("0" * 64) is None
            True
        """
        return self._keys_by_digest.get(digest)

    def find_open_route(self, path: str) -> OpenRoute | None:
        """Returns the open route with exactly this path, or None.

        Example:
            >>> EMPTY_CONFIGURATION.find_open_route("/v1/hours") is None
            True
        """
        return self.open_routes.get(path)

    def find_rule(
        self, path: str, account: AccountId, trainer: str = ANY_TRAINER
    ) -> Rule | None:
        """Returns the most specific rule for a request.

        This is the rule with the longest path prefix, then one for a named account,
        then one for a named trainer.

        Args:
            path: The request's path, without its query.
            account: The client account.
            trainer: The trainer, or ``*`` if the request has none.

        Returns:
            The rule, or None if no rule applies.

        Example:
            >>> rule = Rule(name="r", path="/v1", service="models")
            >>> configuration = make_configuration([rule])
            >>> configuration.find_rule("/v1/completions", "mill-7").name
            'r'
            >>> configuration.find_rule("/v10", "mill-7") is None
            True
        """
        prefix = normalise_path(path)
        if len(prefix) > self._longest_path:
            # The extra character shows whether the cut falls on a segment boundary.
            prefix = prefix[: self._longest_path + 1].rpartition("/")[0]
        while True:
            rules = self._rules_by_path.get(prefix)
            if rules is not None:
                rule = (
                    rules.get((account, trainer))
                    or rules.get((account, ANY_TRAINER))
                    or rules.get((ANY_ACCOUNT, trainer))
                    or rules.get((ANY_ACCOUNT, ANY_TRAINER))
                )
                if rule is not None:
                    return rule
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]

    def is_drained(self, failure_domain: FailureDomain) -> bool:
        """Whether a failure domain is drained.

        Example:
            >>> make_configuration([Drain(name="bench-a")]).is_drained("bench-a")
            True
        """
        return failure_domain in self.drains

    def list_items(self) -> tuple[ConfigurationItem, ...]:
        """Returns all items, ordered by kind and name.

        Example:
            >>> [i.kind for i in make_configuration([Drain(name="a")]).list_items()]
            ['drain']
        """
        groups: tuple[Mapping[str, ConfigurationItem], ...] = (
            self.accounts,
            self.keys,
            self.open_routes,
            self.rules,
            self.drains,
        )  # type: ignore[assignment]
        return tuple(group[name] for group in groups for name in sorted(group))


def normalise_path(path: str) -> str:
    """Removes trailing slashes, so that the prefix of the root is empty.

    Example:
        >>> normalise_path("/v1/")
        '/v1'
    """
    return path.rstrip("/")


def make_configuration(
    items: Iterable[ConfigurationItem],
    *,
    revision: int = 0,
    last_offset: int = NO_OFFSET,
) -> Configuration:
    """Builds a configuration from items that have been validated.

    Args:
        items: The items, in any order.
        revision: Number of changes accepted so far.
        last_offset: Offset of the record of the last change.

    Returns:
        The configuration, with its indexes.

    Example:
        >>> make_configuration([Account(name="mill-7")], revision=3).revision
        3
    """
    all_items = tuple(items)
    keys = [item for item in all_items if isinstance(item, ApiKey)]
    rules = [item for item in all_items if isinstance(item, Rule)]
    index: dict[str, dict[tuple[str, str], Rule]] = {}
    for rule in rules:
        by_caller = index.setdefault(normalise_path(rule.path), {})
        by_caller[(rule.account, rule.trainer)] = rule
    return Configuration(
        revision=Revision(revision),
        last_offset=Offset(last_offset),
        accounts={item.name: item for item in all_items if isinstance(item, Account)},
        keys={key.name: key for key in keys},
        open_routes={
            item.name: item for item in all_items if isinstance(item, OpenRoute)
        },
        rules={rule.name: rule for rule in rules},
        drains={item.name: item for item in all_items if isinstance(item, Drain)},
        _keys_by_digest={key.digest: key for key in keys},
        _rules_by_path=index,
        _longest_path=max(map(len, index), default=0),
    )


EMPTY_CONFIGURATION = make_configuration(())
"""The configuration before the first change."""
