"""Works out what a sheet would change."""

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

LARGEST_REMOVED_SHARE = 0.2
FEW_REMOVALS = 1
MANAGED_KINDS = ("account", "open_route", "rule")
"""Kinds of which a sheet holds all; drains and keys are also made by commands."""


@dataclass(frozen=True, slots=True)
class SheetPlan:
    """What applying a sheet would do.

    Args:
        base_revision: The revision that it was worked out from.
        added: Items to add.
        changed: Items to replace, as they will be.
        removed: Items to remove, as they are.
        unchanged: Items that stay.
        new_keys: Keys to make.
        withdrawn_keys: Working keys to withdraw.
        kept: Working keys and drains that the sheet does not name and that stay.
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
        """Whether applying it would change nothing."""
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
    r"""Plans a sheet against the current configuration.

    Accounts, open routes and rules that the sheet does not name are removed.
    Drains that it does not name stay, and so do keys unless ``allow_removal``.

    Args:
        configuration: The current configuration.
        sheet: The sheet.
        allow_removal: Whether a large share may be removed, and keys that the
            sheet does not name be withdrawn.

    Returns:
        The plan.

    Raises:
        SheetError: A key's row names another account than the key has.
        BuckthornstileError: ``REMOVAL_TOO_LARGE``.

    Example:
        >>> from buckthornstile.sheet import parse_sheet
        >>> sheet = parse_sheet(b"kind,name\naccount,mill-7\n")
        >>> [item.name for item in plan_sheet(Configuration(), sheet).added]
        ['mill-7']
    """
    _check_key_accounts(configuration, sheet)
    before: dict[tuple[str, str], ConfigurationItem] = {
        (item.kind, str(item.name)): item
        for item in configuration.list_items()
        if not isinstance(item, ApiKey)
    }
    wanted = {(item.kind, str(item.name)): item for item in sheet.items}
    missing = [item for name, item in before.items() if name not in wanted]
    named_keys = {key.name for key in sheet.keys}
    missing_keys = [
        key
        for key in configuration.keys.values()
        if not key.withdrawn and key.name not in named_keys
    ]
    plan = SheetPlan(
        base_revision=configuration.revision,
        added=tuple(item for name, item in wanted.items() if name not in before),
        changed=tuple(
            item for name, item in wanted.items() if before.get(name, item) != item
        ),
        removed=tuple(item for item in missing if item.kind in MANAGED_KINDS),
        unchanged=tuple(
            item for name, item in wanted.items() if before.get(name) == item
        ),
        new_keys=tuple(key for key in sheet.keys if key.name not in configuration.keys),
        withdrawn_keys=tuple(missing_keys) if allow_removal else (),
        kept=tuple(item for item in missing if item.kind not in MANAGED_KINDS)
        + (() if allow_removal else tuple(missing_keys)),
    )
    if not allow_removal:
        _check_removal(configuration, plan)
    return plan


def make_sheet_keys(
    plan: SheetPlan, *, token_bytes: Callable[[int], bytes]
) -> tuple[GeneratedApiKey, ...]:
    """Makes the keys that a plan adds.

    Args:
        plan: The plan.
        token_bytes: Gives that many unpredictable bytes.

    Returns:
        The keys with their clear text, to be shown once.

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
    """Makes the change that carries out a plan.

    Args:
        plan: The plan.
        change_id: The same on every retry of the same change.
        new_keys: What :func:`make_sheet_keys` made for this plan.
        operator: Who makes the change.

    Returns:
        The change, whole.

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
        before = configuration.keys.get(key.name)
        if before is not None and before.account != key.account:
            message = f"key {key.name} exists and belongs to {before.account}"
            row = sheet.rows.get(("key", key.name), 0)
            code = SheetErrorCode.CELL_INVALID
            problems.append(SheetProblem(row, "account", code, message))
    if problems:
        raise SheetError(problems)


def _check_removal(configuration: Configuration, plan: SheetPlan) -> None:
    removed = len(plan.removed)
    standing = sum(
        not (isinstance(item, ApiKey) and item.withdrawn)
        for item in configuration.list_items()
    )
    if removed > FEW_REMOVALS and removed > LARGEST_REMOVED_SHARE * standing:
        raise BuckthornstileError(
            ErrorCode.REMOVAL_TOO_LARGE,
            f"the sheet would remove {removed} of {standing} items; more than "
            f"{LARGEST_REMOVED_SHARE:.0%} needs --allow_removal",
        )
