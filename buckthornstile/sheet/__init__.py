"""Parses an operator's sheet and plans its changes to the configuration."""

from buckthornstile.sheet._errors import SheetError, SheetErrorCode, SheetProblem
from buckthornstile.sheet._parse import (
    COLUMNS,
    Sheet,
    SheetKey,
    parse_sheet,
)
from buckthornstile.sheet._plan import (
    SheetPlan,
    make_sheet_change,
    make_sheet_keys,
    plan_sheet,
)

__all__ = [
    "COLUMNS",
    "Sheet",
    "SheetError",
    "SheetErrorCode",
    "SheetKey",
    "SheetPlan",
    "SheetProblem",
    "make_sheet_change",
    "make_sheet_keys",
    "parse_sheet",
    "plan_sheet",
]
