"""Parses rows of text into configuration items and collects the problems in them."""

from dataclasses import dataclass, field

from pydantic import ValidationError

from buckthornstile.base import AccountId, KeyId, check_name
from buckthornstile.configuration import (
    ANY_ACCOUNT,
    Account,
    ConfigurationItem,
    Drain,
    OpenRoute,
    Rule,
)
from buckthornstile.sheet._errors import SheetError, SheetErrorCode, SheetProblem
from buckthornstile.sheet._reader import Cell, Row, read_rows

COLUMNS = (
    "kind",
    "name",
    "account",
    "path",
    "trainer",
    "service",
    "class",
    "idempotent",
    "weight",
    "maximum_open",
    "maximum_age",
    "reason",
)
"""Column names that a sheet's header may have; only ``kind`` must be there."""

REQUIRED_COLUMNS = {
    "account": ("name",),
    "key": ("name", "account"),
    "open_route": ("path", "service", "account"),
    "rule": ("name", "path", "service"),
    "drain": ("name",),
}
"""Columns that a row must fill in, by the row's kind."""

OPTIONAL_COLUMNS = {
    "account": ("weight", "maximum_open"),
    "key": (),
    "open_route": ("class", "idempotent"),
    "rule": ("account", "trainer", "class", "idempotent", "maximum_age"),
    "drain": ("reason",),
}
"""Columns that a row may also fill in, by the row's kind; others must be empty."""

ITEM_TYPES: dict[str, type[Account] | type[OpenRoute] | type[Rule] | type[Drain]] = {
    "account": Account,
    "open_route": OpenRoute,
    "rule": Rule,
    "drain": Drain,
}
BOOLEAN_VALUES = {
    "true": True,
    "yes": True,
    "1": True,
    "false": False,
    "no": False,
    "0": False,
}
"""Values of a boolean cell, by its text in lower case."""

MAX_PROBLEMS = 200
"""Maximum number of problems that an error lists."""


@dataclass(frozen=True, slots=True)
class SheetKey:
    """An API key that the sheet lists by name; the sheet never holds its clear text."""

    name: KeyId
    account: AccountId


@dataclass(frozen=True, slots=True)
class Sheet:
    """A valid sheet.

    Args:
        items: All items except API keys.
        keys: The API keys that the sheet lists.
        row_numbers: Row number of each item, by kind and name.
    """

    items: tuple[ConfigurationItem, ...]
    keys: tuple[SheetKey, ...]
    row_numbers: dict[tuple[str, str], int] = field(default_factory=dict, compare=False)


def parse_sheet(data: bytes) -> Sheet:
    r"""Parses a CSV or XLSX sheet, which is accepted or rejected as a whole.

    Args:
        data: Contents of the file.

    Returns:
        The parsed sheet.

    Raises:
        SheetError: The sheet is invalid; the error lists up to ``MAX_PROBLEMS``
            problems with their rows, columns and codes.

    Example:
        >>> sheet = parse_sheet(b"kind,name,weight\naccount,mill-7,2\n")
        >>> sheet.items[0].weight
        2.0
    """
    rows = read_rows(data)
    parser = _Parser()
    header = parser.read_header(rows[0])
    if not parser.problems:
        for row in rows[1:]:
            parser.read_row(row, header)
        parser.check_accounts()
    if parser.problems:
        raise SheetError(parser.problems[:MAX_PROBLEMS])
    return Sheet(tuple(parser.items), tuple(parser.keys), parser.row_numbers)


class _Parser:
    """Collects the items and the problems of a sheet, row by row."""

    def __init__(self) -> None:
        self.problems: list[SheetProblem] = []
        self.items: list[ConfigurationItem] = []
        self.keys: list[SheetKey] = []
        self.row_numbers: dict[tuple[str, str], int] = {}
        self.account_names: set[str] = set()
        self.account_references: list[tuple[int, str]] = []

    def read_header(self, row: Row) -> list[str]:
        names = [cell.text.lower() for cell in row.cells]
        while names and not names[-1]:
            names.pop()
        for name in dict.fromkeys(names):
            if name not in COLUMNS:
                allowed = ", ".join(COLUMNS)
                self._add_problem(
                    row.number,
                    name,
                    SheetErrorCode.COLUMN_UNKNOWN,
                    f"{name!r} is not a column; it must be one of {allowed}",
                )
            elif names.count(name) > 1:
                self._add_problem(
                    row.number,
                    name,
                    SheetErrorCode.COLUMN_DUPLICATE,
                    "appears more than once",
                )
        if "kind" not in names:
            self._add_problem(
                row.number, "kind", SheetErrorCode.COLUMN_MISSING, "is missing"
            )
        return names

    def read_row(self, row: Row, header: list[str]) -> None:
        texts = self._read_texts(row, header)
        if texts is None:
            return
        kind = texts.pop("kind", "").lower()
        if kind not in REQUIRED_COLUMNS:
            allowed = ", ".join(REQUIRED_COLUMNS)
            message = f"is {kind!r}; it must be one of {allowed}"
            self._add_problem(row.number, "kind", SheetErrorCode.KIND_UNKNOWN, message)
            return
        problem_count = len(self.problems)
        self._check_columns(row.number, kind, texts)
        if len(self.problems) == problem_count:
            self._add_item(row.number, kind, texts)

    def check_accounts(self) -> None:
        for row_number, account in self.account_references:
            if account != ANY_ACCOUNT and account not in self.account_names:
                message = f"{account!r} has no row of kind account"
                self._add_problem(
                    row_number, "account", SheetErrorCode.ACCOUNT_UNKNOWN, message
                )

    def _read_texts(self, row: Row, header: list[str]) -> dict[str, str] | None:
        problem_count = len(self.problems)
        texts = {}
        for index, cell in enumerate(row.cells):
            if not cell.text and cell.error_code is None:
                continue
            if index >= len(header) or not header[index]:
                message = "has text, but its column has no name"
                code = SheetErrorCode.CELL_UNEXPECTED
                self._add_problem(row.number, f"number {index + 1}", code, message)
                continue
            self._check_cell(row.number, header[index], cell)
            texts[header[index]] = cell.text
        return texts if len(self.problems) == problem_count else None

    def _check_cell(self, row_number: int, column: str, cell: Cell) -> None:
        if cell.error_code is SheetErrorCode.CELL_FORMULA:
            message = "is a formula; it must be a plain value"
            self._add_problem(row_number, column, cell.error_code, message)
        elif cell.error_code is not None:
            message = "is too long, is a date or has characters that are not printable"
            self._add_problem(row_number, column, cell.error_code, message)

    def _check_columns(self, row_number: int, kind: str, texts: dict[str, str]) -> None:
        for column in REQUIRED_COLUMNS[kind]:
            if column not in texts:
                message = f"is empty; a row of kind {kind} requires a value"
                self._add_problem(
                    row_number, column, SheetErrorCode.CELL_MISSING, message
                )
        allowed = REQUIRED_COLUMNS[kind] + OPTIONAL_COLUMNS[kind]
        for column in texts:
            if column not in allowed:
                message = f"has text; a row of kind {kind} must leave it empty"
                self._add_problem(
                    row_number, column, SheetErrorCode.CELL_UNEXPECTED, message
                )

    def _add_item(self, row_number: int, kind: str, texts: dict[str, str]) -> None:
        name = texts["path"] if kind == "open_route" else texts["name"]
        if kind != "open_route" and not self._check_name(row_number, name):
            return
        if (kind, name) in self.row_numbers:
            message = f"{name!r} is already in row {self.row_numbers[(kind, name)]}"
            self._add_problem(
                row_number, "name", SheetErrorCode.NAME_DUPLICATE, message
            )
            return
        self.row_numbers[(kind, name)] = row_number
        if kind == "account":
            self.account_names.add(name)
        elif "account" in texts:
            self.account_references.append((row_number, texts["account"]))
        if kind == "key":
            self.keys.append(SheetKey(KeyId(name), AccountId(texts["account"])))
            return
        values = self._convert_texts(row_number, kind, texts)
        if values is None:
            return
        try:
            self.items.append(ITEM_TYPES[kind].model_validate(values))
        except ValidationError as error:
            for item in error.errors():
                column = _get_column_name(kind, str(item["loc"][0]))
                message = f"is {item['input']!r}: {item['msg']}"
                self._add_problem(
                    row_number, column, SheetErrorCode.CELL_INVALID, message
                )

    def _check_name(self, row_number: int, name: str) -> bool:
        try:
            check_name("name", name)
        except ValueError as error:
            message = str(error).removeprefix("name ")
            self._add_problem(row_number, "name", SheetErrorCode.CELL_INVALID, message)
            return False
        if name == ANY_ACCOUNT:
            message = "is '*', which is reserved and means any account"
            self._add_problem(row_number, "name", SheetErrorCode.CELL_INVALID, message)
            return False
        return True

    def _convert_texts(
        self, row_number: int, kind: str, texts: dict[str, str]
    ) -> dict[str, object] | None:
        values: dict[str, object] = dict(texts)
        if "class" in values:
            values["request_class"] = str(values.pop("class")).lower()
        if "idempotent" in texts:
            flag = BOOLEAN_VALUES.get(texts["idempotent"].lower())
            if flag is None:
                message = f"is {texts['idempotent']!r}; it must be yes or no"
                code = SheetErrorCode.CELL_INVALID
                self._add_problem(row_number, "idempotent", code, message)
                return None
            values["idempotent"] = flag
        if kind == "open_route":
            values["name"] = values.pop("path")
        return values

    def _add_problem(
        self, row: int, column: str, code: SheetErrorCode, message: str
    ) -> None:
        self.problems.append(SheetProblem(row, column, code, message))


def _get_column_name(kind: str, attribute: str) -> str:
    if attribute == "request_class":
        return "class"
    return "path" if kind == "open_route" and attribute == "name" else attribute
