"""Errors found in a sheet."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import BuckthornstileError, ErrorCode


class SheetErrorCode(Enum):
    """Stable codes of the problems in a sheet.

    ``CELL_UNEXPECTED`` marks a cell that has text where its row must have none.
    """

    TOO_LARGE = "sheet.too_large"
    UNREADABLE = "sheet.unreadable"
    COLUMN_UNKNOWN = "sheet.column_unknown"
    COLUMN_MISSING = "sheet.column_missing"
    COLUMN_DUPLICATE = "sheet.column_doubled"
    KIND_UNKNOWN = "sheet.kind_unknown"
    CELL_MISSING = "sheet.cell_missing"
    CELL_UNEXPECTED = "sheet.cell_unused"
    CELL_INVALID = "sheet.cell_invalid"
    CELL_FORMULA = "sheet.cell_formula"
    NAME_DUPLICATE = "sheet.name_doubled"
    ACCOUNT_UNKNOWN = "sheet.account_unknown"


@dataclass(frozen=True, slots=True)
class SheetProblem:
    """A problem in a sheet.

    Args:
        row: Row number in the file, counted from 1; 0 if the problem concerns the
            whole sheet.
        column: Name of the column; empty if the problem concerns no single column.
        code: Code of the problem.
        message: Description for people; :meth:`__str__` prints it after the row and
            the column.

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
    """Raised when a sheet is rejected; none of its changes is applied.

    Args:
        problems: Problems that were found in the sheet.

    Example:
        >>> problem = SheetProblem(0, "", SheetErrorCode.UNREADABLE, "is empty")
        >>> SheetError([problem]).code.value
        'sheet.invalid'
    """

    def __init__(self, problems: Sequence[SheetProblem]) -> None:
        super().__init__(ErrorCode.SHEET_INVALID, "\n".join(map(str, problems)))
        self.problems = tuple(problems)
