"""The commands ``config plan|apply|show|history``."""

import asyncio
import secrets
from pathlib import Path
from typing import Any

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.commands._context import (
    make_change_id,
    make_context,
    make_reader,
    parse_flag,
    wait_and_report_change,
)
from buckthornstile.commands._submit import submit_change
from buckthornstile.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationItem,
    GeneratedApiKey,
    apply_change,
)
from buckthornstile.sheet import (
    Sheet,
    SheetPlan,
    make_sheet_change,
    make_sheet_keys,
    parse_sheet,
    plan_sheet,
)

MAX_SHEET_BYTES = 16 << 20
"""Larger files are not even read."""


def show_plan(
    sheet: str,
    *,
    allow_removal: object = False,
    json: object = False,
    **flags: object,
) -> None:
    """Shows what applying a sheet would add, change and remove.

    Args:
        sheet: Path of a CSV or XLSX sheet.
        allow_removal: Plan also to remove a large share, and to withdraw keys that
            the sheet does not name.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout.
    """
    context = make_context(flags, json)
    parsed = read_sheet(sheet)
    reader = make_reader(context)
    configuration = asyncio.run(reader.read())
    allowed = parse_flag("allow_removal", allow_removal)
    plan = plan_sheet(configuration, parsed, allow_removal=allowed)
    check_plan(configuration, plan)
    lines = [f"plan against revision {plan.base_revision}", *describe_plan(plan)]
    context.show(_export_plan(plan) | {"revision": plan.base_revision}, lines)


def apply_sheet(
    sheet: str,
    *,
    allow_removal: object = False,
    json: object = False,
    **flags: object,
) -> None:
    """Applies a sheet whole and waits until it is in force.

    Each new key's clear text is printed once, here, and never again.

    Args:
        sheet: Path of a CSV or XLSX sheet.
        allow_removal: Allow to remove a large share, and to withdraw keys that the
            sheet does not name.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    parsed = read_sheet(sheet)
    allowed = parse_flag("allow_removal", allow_removal)
    reader = make_reader(context)
    maker = SheetChangeBuilder(
        parsed, allow_removal=allowed, operator=context.settings.operator
    )

    async def run() -> None:
        result = await submit_change(reader, maker.make)
        keys = maker.keys if result.changed else ()
        await wait_and_report_change(
            context,
            result,
            what="sheet",
            data={"keys": {key.item.name: key.clear for key in keys}},
            lines=[
                *describe_plan(maker.plan or SheetPlan(result.revision)),
                *(f"key {key.item.name}: {key.clear}" for key in keys),
            ],
        )

    asyncio.run(run())


def show_configuration(*, json: object = False, **flags: object) -> None:
    """Shows the configuration as the store holds it now.

    Args:
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout.
    """
    context = make_context(flags, json)
    reader = make_reader(context)
    current = asyncio.run(reader.read())
    items = [_export_item(item) for item in current.list_items()]
    lines = [f"revision {current.revision}, made at offset {current.last_offset}"]
    lines += [_describe_item(item) for item in current.list_items()]
    data = {"revision": current.revision, "offset": current.last_offset, "items": items}
    context.show(data, lines)


def show_history(*, json: object = False, **flags: object) -> None:
    """Shows the accepted changes that the store still holds, oldest first.

    Args:
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout.
    """
    context = make_context(flags, json)
    reader = make_reader(context)
    asyncio.run(reader.read())
    changes = [
        {
            "revision": note.revision,
            "change_id": note.change_id,
            "operator": note.operator,
            "put": [f"{item.kind} {item.name}" for item in note.put],
            "remove": [f"{item.kind} {item.name}" for item in note.remove],
        }
        for note in reader.state.list_recent_changes()
    ]
    lines = [
        f"revision {change['revision']} by {change['operator'] or 'unnamed'}: "
        f"put {_join(change['put'])}; removed {_join(change['remove'])}"
        for change in changes
    ]
    context.show({"changes": changes}, lines or ["the store holds no change"])


class SheetChangeBuilder:
    """Makes the same change again after a conflict, if the plan still stands.

    Args:
        sheet: The sheet.
        allow_removal: Whether much may be removed.
        operator: Who makes the change.
    """

    def __init__(self, sheet: Sheet, *, allow_removal: bool, operator: str) -> None:
        self.sheet = sheet
        self.allow_removal = allow_removal
        self.operator = operator
        self.change_id = make_change_id()
        self.plan: SheetPlan | None = None
        self.keys: tuple[GeneratedApiKey, ...] = ()

    def make(self, configuration: Configuration) -> ConfigurationChange | None:
        """Makes the change for a configuration, or None if it is in force."""
        plan = plan_sheet(configuration, self.sheet, allow_removal=self.allow_removal)
        if plan.is_empty:
            return None
        if self.plan is None:
            self.keys = make_sheet_keys(plan, token_bytes=secrets.token_bytes)
        elif plan != self.plan:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_CONFLICT,
                "another operator's change alters what the sheet would do; "
                "look at the plan again",
            )
        self.plan = plan
        return make_sheet_change(
            plan,
            change_id=self.change_id,
            new_keys=self.keys,
            operator=self.operator,
        )


def read_sheet(path: str) -> Sheet:
    """Reads a sheet's file.

    Args:
        path: The file's path.

    Returns:
        The sheet.

    Raises:
        BuckthornstileError: The file cannot be read, or the sheet is refused.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_SHEET_BYTES)
    except (OSError, ValueError) as error:
        raise BuckthornstileError(
            ErrorCode.SHEET_INVALID, f"cannot read {path!r}: {error}"
        ) from None
    return parse_sheet(data)


def check_plan(configuration: Configuration, plan: SheetPlan) -> None:
    """Checks that a plan's change would be accepted.

    Raises:
        BuckthornstileError: It would be rejected.

    Example:
        >>> check_plan(Configuration(), SheetPlan(Configuration().revision))
    """
    keys = make_sheet_keys(plan, token_bytes=secrets.token_bytes)
    change = make_sheet_change(plan, change_id=make_change_id(), new_keys=keys)
    apply_change(configuration, change, offset=0)


def describe_plan(plan: SheetPlan) -> list[str]:
    """Describes a plan, one line an item.

    Example:
        >>> describe_plan(SheetPlan(Configuration().revision))
        ['0 to add, 0 to change, 0 to remove, 0 unchanged']
    """
    lines = [f"+ {_describe_item(item)}" for item in plan.added]
    lines += [f"+ key {key.name} for {key.account}" for key in plan.new_keys]
    lines += [f"~ {_describe_item(item)}" for item in plan.changed]
    lines += [f"- {item.kind} {item.name}" for item in plan.removed]
    lines += [f"- key {key.name} (withdrawn)" for key in plan.withdrawn_keys]
    lines += [f"  {item.kind} {item.name} stays, unnamed" for item in plan.kept]
    lines.append(
        f"{len(plan.added) + len(plan.new_keys)} to add, {len(plan.changed)} to "
        f"change, {len(plan.removed) + len(plan.withdrawn_keys)} to remove, "
        f"{len(plan.unchanged)} unchanged"
    )
    return lines


def _export_plan(plan: SheetPlan) -> dict[str, Any]:
    return {
        "added": [_export_item(item) for item in plan.added],
        "changed": [_export_item(item) for item in plan.changed],
        "removed": [_export_item(item) for item in plan.removed],
        "unchanged": len(plan.unchanged),
        "new_keys": [key.name for key in plan.new_keys],
        "withdrawn_keys": [key.name for key in plan.withdrawn_keys],
        "kept": [f"{item.kind} {item.name}" for item in plan.kept],
    }


def _export_item(item: ConfigurationItem) -> dict[str, Any]:
    return item.model_dump(mode="json", exclude={"digest"})


def _describe_item(item: ConfigurationItem) -> str:
    fields = _export_item(item)
    rest = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in ("kind", "name") and value not in ("", "*")
    )
    return f"{item.kind} {item.name} {rest}".rstrip()


def _join(names: object) -> str:
    return ", ".join(names) if isinstance(names, list) and names else "nothing"
