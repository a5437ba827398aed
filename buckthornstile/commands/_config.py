"""Implements the commands ``config plan|apply|show|history``."""

import asyncio
import secrets
from pathlib import Path
from typing import Any

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.commands._context import (
    make_change_id,
    make_configuration_client,
    make_context,
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
"""Maximum number of bytes that are read from a sheet's file."""


def show_plan(
    sheet: str,
    *,
    allow_removal: object = False,
    json: object = False,
    **flags: object,
) -> None:
    """Shows the items that applying a sheet would add, change and remove.

    Args:
        sheet: Path of a CSV or XLSX sheet.
        allow_removal: Allow the removal of a large fraction of the items, and withdraw
            keys that the sheet does not list.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout.
    """
    context = make_context(flags, json)
    parsed_sheet = read_sheet(sheet)
    client = make_configuration_client(context)
    configuration = asyncio.run(client.read())
    allowed = parse_flag("allow_removal", allow_removal)
    plan = plan_sheet(configuration, parsed_sheet, allow_removal=allowed)
    check_plan(configuration, plan)
    lines = [f"plan against revision {plan.base_revision}", *describe_plan(plan)]
    context.print_result(_export_plan(plan) | {"revision": plan.base_revision}, lines)


def apply_sheet(
    sheet: str,
    *,
    allow_removal: object = False,
    json: object = False,
    **flags: object,
) -> None:
    """Applies a sheet as one change and waits until it is in effect.

    The clear text of each new key is printed by this command only, and only once.

    Args:
        sheet: Path of a CSV or XLSX sheet.
        allow_removal: Allow the removal of a large fraction of the items, and withdraw
            keys that the sheet does not list.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    parsed_sheet = read_sheet(sheet)
    allowed = parse_flag("allow_removal", allow_removal)
    client = make_configuration_client(context)
    builder = SheetChangeBuilder(
        parsed_sheet, allow_removal=allowed, operator=context.settings.operator
    )

    async def run() -> None:
        result = await submit_change(client, builder.build)
        keys = builder.keys if result.changed else ()
        await wait_and_report_change(
            context,
            result,
            description="sheet",
            data={"keys": {key.item.name: key.clear for key in keys}},
            lines=[
                *describe_plan(builder.plan or SheetPlan(result.revision)),
                *(f"key {key.item.name}: {key.clear}" for key in keys),
            ],
        )

    asyncio.run(run())


def show_configuration(*, json: object = False, **flags: object) -> None:
    """Shows the current configuration in the store.

    Args:
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout.
    """
    context = make_context(flags, json)
    client = make_configuration_client(context)
    current = asyncio.run(client.read())
    items = [_export_item(item) for item in current.list_items()]
    lines = [f"revision {current.revision}, created at offset {current.last_offset}"]
    lines += [_describe_item(item) for item in current.list_items()]
    data = {"revision": current.revision, "offset": current.last_offset, "items": items}
    context.print_result(data, lines)


def show_history(*, json: object = False, **flags: object) -> None:
    """Shows the accepted changes that the store still holds, oldest first.

    Args:
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout.
    """
    context = make_context(flags, json)
    client = make_configuration_client(context)
    asyncio.run(client.read())
    changes = [
        {
            "revision": change.revision,
            "change_id": change.change_id,
            "operator": change.operator,
            "put": [f"{item.kind} {item.name}" for item in change.put],
            "remove": [f"{item.kind} {item.name}" for item in change.remove],
        }
        for change in client.state.list_recent_changes()
    ]
    lines = [
        f"revision {change['revision']} by {change['operator'] or 'unnamed operator'}: "
        f"put {_join_names(change['put'])}; removed {_join_names(change['remove'])}"
        for change in changes
    ]
    context.print_result({"changes": changes}, lines or ["the store holds no changes"])


class SheetChangeBuilder:
    """Builds the change that applies a sheet, and builds it anew after each conflict.

    After a conflict, the plan must still be the same as in the first attempt.

    Args:
        sheet: The sheet to apply.
        allow_removal: Whether a large fraction of the items may be removed, and whether
            keys that the sheet does not list are withdrawn.
        operator: Name of the operator who makes the change.
    """

    def __init__(self, sheet: Sheet, *, allow_removal: bool, operator: str) -> None:
        self.sheet = sheet
        self.allow_removal = allow_removal
        self.operator = operator
        self.change_id = make_change_id()
        self.plan: SheetPlan | None = None
        self.keys: tuple[GeneratedApiKey, ...] = ()

    def build(self, configuration: Configuration) -> ConfigurationChange | None:
        """Builds the change for a configuration, or None if no change is needed."""
        plan = plan_sheet(configuration, self.sheet, allow_removal=self.allow_removal)
        if plan.is_empty:
            return None
        if self.plan is None:
            self.keys = make_sheet_keys(plan, token_bytes=secrets.token_bytes)
        elif plan != self.plan:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_CONFLICT,
                "another operator's change alters the plan of the sheet; "
                "check the plan again",
            )
        self.plan = plan
        return make_sheet_change(
            plan,
            change_id=self.change_id,
            new_keys=self.keys,
            operator=self.operator,
        )


def read_sheet(path: str) -> Sheet:
    """Reads and parses the file of a sheet.

    Args:
        path: Path of the file.

    Returns:
        The parsed sheet.

    Raises:
        BuckthornstileError: The file cannot be read, or the sheet is invalid.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_SHEET_BYTES)
    except (OSError, ValueError) as error:
        raise BuckthornstileError(
            ErrorCode.SHEET_INVALID, f"cannot read sheet {path!r}: {error}"
        ) from None
    return parse_sheet(data)


def check_plan(configuration: Configuration, plan: SheetPlan) -> None:
    """Checks that the change of a plan is valid for a configuration.

    Raises:
        BuckthornstileError: The change is invalid.

    Example:
        >>> check_plan(Configuration(), SheetPlan(Configuration().revision))
    """
    keys = make_sheet_keys(plan, token_bytes=secrets.token_bytes)
    change = make_sheet_change(plan, change_id=make_change_id(), new_keys=keys)
    apply_change(configuration, change, offset=0)


def describe_plan(plan: SheetPlan) -> list[str]:
    """Describes a plan in lines of text, one line per item.

    Example:
        >>> describe_plan(SheetPlan(Configuration().revision))
        ['0 to add, 0 to change, 0 to remove, 0 unchanged']
    """
    lines = [f"+ {_describe_item(item)}" for item in plan.added]
    lines += [f"+ key {key.name} for {key.account}" for key in plan.new_keys]
    lines += [f"~ {_describe_item(item)}" for item in plan.changed]
    lines += [f"- {item.kind} {item.name}" for item in plan.removed]
    lines += [f"- key {key.name} (withdrawn)" for key in plan.withdrawn_keys]
    lines += [
        f"  {item.kind} {item.name} is not in the sheet and stays" for item in plan.kept
    ]
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
    field_texts = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in ("kind", "name") and value not in ("", "*")
    )
    return f"{item.kind} {item.name} {field_texts}".rstrip()


def _join_names(names: object) -> str:
    return ", ".join(names) if isinstance(names, list) and names else "nothing"
