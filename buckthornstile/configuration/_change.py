"""Validation of a change and its application to a configuration."""

from collections import Counter
from collections.abc import Iterable

from pydantic import TypeAdapter

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Offset,
    check_name,
)
from buckthornstile.configuration._items import (
    ANY_ACCOUNT,
    Account,
    ApiKey,
    ConfigurationChange,
    ConfigurationItem,
    OpenRoute,
    Rule,
)
from buckthornstile.configuration._model import (
    Configuration,
    make_configuration,
    normalise_path,
)

MAX_CONFIGURATION_BYTES = 900_000
"""Maximum bytes of all items together, so that they fit into one append."""

MAX_PATH_LENGTH = 512
"""Maximum characters of a path."""

MAX_TEXT_LENGTH = 512
"""Maximum characters of a drain's reason and of an operator's name."""

_ITEMS: TypeAdapter[tuple[ConfigurationItem, ...]] = TypeAdapter(
    tuple[ConfigurationItem, ...]
)


class ChangeError(BuckthornstileError):
    """Raised when a change is based on another revision or is invalid.

    Example:
        >>> ChangeError(ErrorCode.CONFIGURATION_CONFLICT, "base is old").message
        'base is old'
    """


def apply_change(
    configuration: Configuration, change: ConfigurationChange, *, offset: int
) -> Configuration:
    """Returns the configuration that results from a change.

    Args:
        configuration: The current configuration.
        change: The change.
        offset: The offset of the change's record in the store.

    Returns:
        The next revision.

    Raises:
        ChangeError: With ``CONFIGURATION_CONFLICT`` if the change is based on another
            revision, or ``CONFIGURATION_INVALID`` if the change or the resulting
            configuration is invalid.

    Example:
        >>> change = ConfigurationChange(
        ...     change_id="c", base_revision=0, put=(Account(name="mill-7"),)
        ... )
        >>> apply_change(Configuration(), change, offset=4).revision
        1
    """
    if change.base_revision != configuration.revision:
        raise ChangeError(
            ErrorCode.CONFIGURATION_CONFLICT,
            f"the change is based on revision {change.base_revision}; "
            f"the current one is {configuration.revision}",
        )
    _check_text_fields(change)
    items = {(item.kind, item.name): item for item in configuration.list_items()}
    _check_no_duplicates(change)
    for reference in change.remove:
        if reference.kind == "key":
            raise _make_error(f"key {reference.name} can be withdrawn, but not removed")
        if items.pop((reference.kind, reference.name), None) is None:
            raise _make_error(f"{reference.kind} {reference.name} does not exist")
    for item in change.put:
        if isinstance(item, ApiKey):
            _check_key(configuration, item)
        items[(item.kind, item.name)] = item
    after = make_configuration(
        items.values(), revision=configuration.revision + 1, last_offset=Offset(offset)
    )
    _check_items(change.put)
    _check_references(after)
    _check_uniqueness(after)
    _check_size(after)
    return after


def _make_error(message: str) -> ChangeError:
    return ChangeError(ErrorCode.CONFIGURATION_INVALID, message)


def _check_text_fields(change: ConfigurationChange) -> None:
    try:
        check_name("change_id", change.change_id)
    except ValueError as error:
        raise _make_error(str(error)) from error
    if len(change.operator) > MAX_TEXT_LENGTH:
        raise _make_error(f"operator must have at most {MAX_TEXT_LENGTH} characters")


def _check_no_duplicates(change: ConfigurationChange) -> None:
    names = Counter((item.kind, str(item.name)) for item in change.put)
    names.update((reference.kind, reference.name) for reference in change.remove)
    for (kind, name), count in names.items():
        if count > 1:
            raise _make_error(f"{kind} {name} occurs {count} times in one change")


def _check_key(configuration: Configuration, key: ApiKey) -> None:
    before = configuration.keys.get(key.name)
    if before is None:
        return
    if (before.digest, before.account) != (key.digest, key.account):
        raise _make_error(f"key {key.name} exists with another digest or account")
    if before.withdrawn and not key.withdrawn:
        raise _make_error(f"key {key.name} is withdrawn and cannot be restored")


def _check_items(items: Iterable[ConfigurationItem]) -> None:
    for item in items:
        is_path = isinstance(item, OpenRoute)
        try:
            if not is_path:
                check_name(item.kind, item.name)
        except ValueError as error:
            raise _make_error(str(error)) from error
        path = item.name if is_path else item.path if isinstance(item, Rule) else "/"
        if len(path) > MAX_PATH_LENGTH or not path.isprintable():
            raise _make_error(
                f"{item.kind} path must be printable and have at most "
                f"{MAX_PATH_LENGTH} characters"
            )
        if isinstance(item, Account) and item.name == ANY_ACCOUNT:
            raise _make_error(
                f"account name {ANY_ACCOUNT} is reserved, as it matches any account"
            )
        if len(getattr(item, "reason", "")) > MAX_TEXT_LENGTH:
            raise _make_error(f"reason must have at most {MAX_TEXT_LENGTH} characters")


def _check_references(after: Configuration) -> None:
    for key in after.keys.values():
        if not key.withdrawn and key.account not in after.accounts:
            raise _make_error(
                f"key {key.name} refers to an unknown account: {key.account}"
            )
    for route in after.open_routes.values():
        if route.account not in after.accounts:
            raise _make_error(f"open_route {route.name} refers to an unknown account")
    for rule in after.rules.values():
        if rule.account != ANY_ACCOUNT and rule.account not in after.accounts:
            raise _make_error(
                f"rule {rule.name} refers to an unknown account: {rule.account}"
            )


def _check_uniqueness(after: Configuration) -> None:
    digests = Counter(key.digest for key in after.keys.values())
    if any(count > 1 for count in digests.values()):
        raise _make_error("two keys have the same digest")
    callers = Counter(
        (normalise_path(rule.path), rule.account, rule.trainer)
        for rule in after.rules.values()
    )
    for (path, account, trainer), count in callers.items():
        if count > 1:
            raise _make_error(
                f"{count} rules apply to path {path or '/'}, "
                f"account {account}, trainer {trainer}"
            )


def _check_size(after: Configuration) -> None:
    size = len(_ITEMS.dump_json(after.list_items()))
    if size > MAX_CONFIGURATION_BYTES:
        raise _make_error(
            f"the configuration would have {size} bytes; "
            f"it must have at most {MAX_CONFIGURATION_BYTES}"
        )
