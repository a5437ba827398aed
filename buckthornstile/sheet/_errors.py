"""What can be wrong with a sheet."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import BuckthornstileError, ErrorCode


class SheetErrorCode(Enum):
    """The stable codes of problems in a sheet."""

    TOO_LARGE = "sheet.too_large"
    UNREADABLE = "sheet.unreadable"
    COLUMN_UNKNOWN = "sheet.column_unknown"
    COLUMN_MISSING = "sheet.column_missing"
    COLUMN_DOUBLED = "sheet.column_doubled"
    KIND_UNKNOWN = "sheet.kind_unknown"
    CELL_MISSING = "sheet.cell_missing"
    CELL_UNUSED = "sheet.cell_unused"
    CELL_INVALID = "sheet.cell_invalid"
    CELL_FORMULA = "sheet.cell_formula"
    NAME_DOUBLED = "sheet.name_doubled"
    ACCOUNT_UNKNOWN = "sheet.account_unknown"


@dataclass(frozen=True, slots=True)
class SheetProblem:
    """One problem.

    Args:
        row: The row as a planner counts it, the header being 1; 0 for the sheet.
        column: The column's name, or empty.
        code: What is wrong.
        message: One sentence for a person.

    Example:
        >>> print(SheetProblem(2, "kind", SheetErrorCode.KIND_UNKNOWN, "is 'x'"))
        row 2, column kind: is 'x' (sheet.kind_unknown)
    """

    row: int
    column: str
    code: SheetErrorCode
    message: str

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "sheet"
        if self.column:
            place += f", column {self.column}"
        return f"{place}: {self.message} ({self.code.value})"


class SheetError(BuckthornstileError):
    """A sheet that is refused whole.

    Args:
        problems: Everything that is wrong with it.

    Example:
        >>> problem = SheetProblem(0, "", SheetErrorCode.UNREADABLE, "is empty")
        >>> SheetError([problem]).code.value
        'sheet.invalid'
    """

    def __init__(self, problems: Sequence[SheetProblem]) -> None:
        super().__init__(ErrorCode.SHEET_INVALID, "\n".join(map(str, problems)))
        self.problems = tuple(problems)
