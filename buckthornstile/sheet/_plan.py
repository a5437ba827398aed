"""Computes the changes that a sheet makes to the configuration."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from buckthornstile.base import (
    BuckthornstileError,
    ChangeId,
    ErrorCode,
    Revision,
)
from buckthornstile.configuration import (
    ApiKey,
    Configuration,
    ConfigurationChange,
    ConfigurationItem,
    GeneratedApiKey,
    ItemReference,
    generate_api_key,
)
from buckthornstile.sheet._errors import SheetError, SheetErrorCode, SheetProblem
from buckthornstile.sheet._parse import Sheet, SheetKey

MAX_REMOVED_FRACTION = 0.2
"""Largest fraction of the items that a sheet may remove without an explicit flag."""

MAX_UNCHECKED_REMOVALS = 1
"""Number of items that a sheet may always remove, whatever their fraction."""

MANAGED_KINDS = ("account", "open_route", "rule")
"""Kinds whose items are removed if the sheet does not list them.

Drains and keys are not among them, since commands also create these.
"""


@dataclass(frozen=True, slots=True)
class SheetPlan:
    """The changes that applying a sheet makes.

    Two plans that make the same changes are equal: the base revision and the items that
    stay as they are do not count.

    Args:
        base_revision: Revision of the configuration that the plan was computed for.
        added: Items to add.
        changed: Items to replace, with their new values.
        removed: Items to remove, with their current values.
        unchanged: Items that are equal in the sheet and the configuration.
        new_keys: Keys to create.
        withdrawn_keys: Valid keys to withdraw.
        kept: Valid keys and drains that the sheet does not list and that stay.
    """

    base_revision: Revision = field(compare=False)
    added: tuple[ConfigurationItem, ...] = ()
    changed: tuple[ConfigurationItem, ...] = ()
    removed: tuple[ConfigurationItem, ...] = ()
    unchanged: tuple[ConfigurationItem, ...] = field(default=(), compare=False)
    new_keys: tuple[SheetKey, ...] = ()
    withdrawn_keys: tuple[ApiKey, ...] = ()
    kept: tuple[ConfigurationItem, ...] = field(default=(), compare=False)

    @property
    def is_empty(self) -> bool:
        """Whether applying the plan changes nothing."""
        return not (
            self.added
            or self.changed
            or self.removed
            or self.new_keys
            or self.withdrawn_keys
        )


def plan_sheet(
    configuration: Configuration, sheet: Sheet, *, allow_removal: bool = False
) -> SheetPlan:
    r"""Computes the changes from the current configuration to a sheet.

    Accounts, open routes and rules that the sheet does not list are removed.
    Drains that it does not list stay. Keys that it does not list stay, unless
    ``allow_removal`` is set.

    Args:
        configuration: The current configuration.
        sheet: The sheet.
        allow_removal: Whether a large fraction of the items may be removed, and whether
            keys that the sheet does not list are withdrawn.

    Returns:
        The plan.

    Raises:
        SheetError: A key in the sheet belongs to another account in the
            configuration.
        BuckthornstileError: ``REMOVAL_TOO_LARGE``: the sheet removes too many items
            and ``allow_removal`` is not set.

    Example:
        >>> from buckthornstile.sheet import parse_sheet
        >>> sheet = parse_sheet(b"kind,name\naccount,mill-7\n")
        >>> [item.name for item in plan_sheet(Configuration(), sheet).added]
        ['mill-7']
    """
    _check_key_accounts(configuration, sheet)
    current_items: dict[tuple[str, str], ConfigurationItem] = {
        (item.kind, str(item.name)): item
        for item in configuration.list_items()
        if not isinstance(item, ApiKey)
    }
    listed_items = {(item.kind, str(item.name)): item for item in sheet.items}
    unlisted_items = [
        item for name, item in current_items.items() if name not in listed_items
    ]
    listed_keys = {key.name for key in sheet.keys}
    unlisted_keys = [
        key
        for key in configuration.keys.values()
        if not key.withdrawn and key.name not in listed_keys
    ]
    plan = SheetPlan(
        base_revision=configuration.revision,
        added=tuple(
            item for name, item in listed_items.items() if name not in current_items
        ),
        changed=tuple(
            item
            for name, item in listed_items.items()
            if current_items.get(name, item) != item
        ),
        removed=tuple(item for item in unlisted_items if item.kind in MANAGED_KINDS),
        unchanged=tuple(
            item
            for name, item in listed_items.items()
            if current_items.get(name) == item
        ),
        new_keys=tuple(key for key in sheet.keys if key.name not in configuration.keys),
        withdrawn_keys=tuple(unlisted_keys) if allow_removal else (),
        kept=tuple(item for item in unlisted_items if item.kind not in MANAGED_KINDS)
        + (() if allow_removal else tuple(unlisted_keys)),
    )
    if not allow_removal:
        _check_removal(configuration, plan)
    return plan


def make_sheet_keys(
    plan: SheetPlan, *, token_bytes: Callable[[int], bytes]
) -> tuple[GeneratedApiKey, ...]:
    """Generates the new keys of a plan.

    Args:
        plan: The plan.
        token_bytes: Returns the given number of unpredictable bytes.

    Returns:
        The keys with their clear texts, which must be shown only once.

    Example:
        >>> make_sheet_keys(SheetPlan(Revision(0)), token_bytes=bytes)
        ()
    """
    return tuple(
        generate_api_key(key.account, token_bytes=token_bytes, name=key.name)
        for key in plan.new_keys
    )


def make_sheet_change(
    plan: SheetPlan,
    *,
    change_id: ChangeId,
    new_keys: Sequence[GeneratedApiKey] = (),
    operator: str = "",
) -> ConfigurationChange:
    """Builds the configuration change that applies a plan.

    Args:
        plan: The plan.
        change_id: Id of the change; it must stay the same on every retry.
        new_keys: Keys that :func:`make_sheet_keys` generated for this plan.
        operator: Name of the operator who makes the change.

    Returns:
        The complete change.

    Example:
        >>> make_sheet_change(SheetPlan(Revision(3)), change_id="c").base_revision
        3
    """
    withdrawn = [
        key.model_copy(update={"withdrawn": True}) for key in plan.withdrawn_keys
    ]
    return ConfigurationChange(
        change_id=change_id,
        base_revision=plan.base_revision,
        put=(*plan.added, *plan.changed, *(key.item for key in new_keys), *withdrawn),
        remove=tuple(
            ItemReference(kind=item.kind, name=item.name) for item in plan.removed
        ),
        operator=operator,
    )


def _check_key_accounts(configuration: Configuration, sheet: Sheet) -> None:
    problems = []
    for key in sheet.keys:
        existing = configuration.keys.get(key.name)
        if existing is not None and existing.account != key.account:
            message = f"key {key.name} already belongs to account {existing.account}"
            row = sheet.row_numbers.get(("key", key.name), 0)
            code = SheetErrorCode.CELL_INVALID
            problems.append(SheetProblem(row, "account", code, message))
    if problems:
        raise SheetError(problems)


def _check_removal(configuration: Configuration, plan: SheetPlan) -> None:
    removed = len(plan.removed)
    total = sum(
        not (isinstance(item, ApiKey) and item.withdrawn)
        for item in configuration.list_items()
    )
    if removed > MAX_UNCHECKED_REMOVALS and removed > MAX_REMOVED_FRACTION * total:
        raise BuckthornstileError(
            ErrorCode.REMOVAL_TOO_LARGE,
            f"the sheet would remove {removed} of {total} items; removing more than "
            f"{MAX_REMOVED_FRACTION:.0%} requires --allow_removal",
        )
