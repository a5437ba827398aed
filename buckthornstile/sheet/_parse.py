"""Turns rows of text into configuration items, or names every problem."""

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
"""The columns of a sheet; all but ``kind`` may be left out."""

REQUIRED = {
    "account": ("name",),
    "key": ("name", "account"),
    "open_route": ("path", "service", "account"),
    "rule": ("name", "path", "service"),
    "drain": ("name",),
}
OPTIONAL = {
    "account": ("weight", "maximum_open"),
    "key": (),
    "open_route": ("class", "idempotent"),
    "rule": ("account", "trainer", "class", "idempotent", "maximum_age"),
    "drain": ("reason",),
}
ITEM_TYPES: dict[str, type[Account] | type[OpenRoute] | type[Rule] | type[Drain]] = {
    "account": Account,
    "open_route": OpenRoute,
    "rule": Rule,
    "drain": Drain,
}
BOOLEANS = {
    "true": True,
    "yes": True,
    "1": True,
    "false": False,
    "no": False,
    "0": False,
}
MAX_PROBLEMS = 200


@dataclass(frozen=True, slots=True)
class SheetKey:
    """A key that the sheet names; the sheet never holds the key itself."""

    name: KeyId
    account: AccountId


@dataclass(frozen=True, slots=True)
class Sheet:
    """A sheet that is well formed.

    Args:
        items: All items but keys.
        keys: The keys that it names.
        rows: The row number of each item, by kind and name.
    """

    items: tuple[ConfigurationItem, ...]
    keys: tuple[SheetKey, ...]
    rows: dict[tuple[str, str], int] = field(default_factory=dict, compare=False)


def parse_sheet(data: bytes) -> Sheet:
    r"""Parses a CSV or XLSX sheet; accepts or refuses it whole.

    Args:
        data: The file's bytes.

    Returns:
        The sheet.

    Raises:
        SheetError: With each problem's row, column and code.

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
    return Sheet(tuple(parser.items), tuple(parser.keys), parser.rows)


class _Parser:
    def __init__(self) -> None:
        self.problems: list[SheetProblem] = []
        self.items: list[ConfigurationItem] = []
        self.keys: list[SheetKey] = []
        self.rows: dict[tuple[str, str], int] = {}
        self.accounts: set[str] = set()
        self.named: list[tuple[int, str]] = []

    def read_header(self, row: Row) -> list[str]:
        names = [cell.text.lower() for cell in row.cells]
        while names and not names[-1]:
            names.pop()
        for name in dict.fromkeys(names):
            if name not in COLUMNS:
                allowed = ", ".join(COLUMNS)
                self._add(
                    row.number,
                    name,
                    SheetErrorCode.COLUMN_UNKNOWN,
                    f"{name!r} is unknown; known are {allowed}",
                )
            elif names.count(name) > 1:
                self._add(
                    row.number, name, SheetErrorCode.COLUMN_DOUBLED, "stands twice"
                )
        if "kind" not in names:
            self._add(row.number, "kind", SheetErrorCode.COLUMN_MISSING, "is not there")
        return names

    def read_row(self, row: Row, header: list[str]) -> None:
        texts = self._read_texts(row, header)
        if texts is None:
            return
        kind = texts.pop("kind", "").lower()
        if kind not in REQUIRED:
            allowed = ", ".join(REQUIRED)
            message = f"is {kind!r}; it must be one of {allowed}"
            self._add(row.number, "kind", SheetErrorCode.KIND_UNKNOWN, message)
            return
        before = len(self.problems)
        self._check_columns(row.number, kind, texts)
        if len(self.problems) == before:
            self._make_item(row.number, kind, texts)

    def check_accounts(self) -> None:
        for number, account in self.named:
            if account != ANY_ACCOUNT and account not in self.accounts:
                message = f"{account!r} has no row of kind account"
                self._add(number, "account", SheetErrorCode.ACCOUNT_UNKNOWN, message)

    def _read_texts(self, row: Row, header: list[str]) -> dict[str, str] | None:
        before = len(self.problems)
        texts = {}
        for index, cell in enumerate(row.cells):
            if not cell.text and cell.code is None:
                continue
            if index >= len(header) or not header[index]:
                message = "has text but no column name"
                code = SheetErrorCode.CELL_UNUSED
                self._add(row.number, f"number {index + 1}", code, message)
                continue
            self._check_cell(row.number, header[index], cell)
            texts[header[index]] = cell.text
        return texts if len(self.problems) == before else None

    def _check_cell(self, number: int, column: str, cell: Cell) -> None:
        if cell.code is SheetErrorCode.CELL_FORMULA:
            message = "is a formula; write the value itself"
            self._add(number, column, cell.code, message)
        elif cell.code is not None:
            message = "is too long, a date or not printable"
            self._add(number, column, cell.code, message)

    def _check_columns(self, number: int, kind: str, texts: dict[str, str]) -> None:
        for column in REQUIRED[kind]:
            if column not in texts:
                message = f"is empty; a row of kind {kind} needs it"
                self._add(number, column, SheetErrorCode.CELL_MISSING, message)
        allowed = REQUIRED[kind] + OPTIONAL[kind]
        for column in texts:
            if column not in allowed:
                message = f"has text, but a row of kind {kind} does not use it"
                self._add(number, column, SheetErrorCode.CELL_UNUSED, message)

    def _make_item(self, number: int, kind: str, texts: dict[str, str]) -> None:
        name = texts["path"] if kind == "open_route" else texts["name"]
        if kind != "open_route" and not self._check_name(number, name):
            return
        if (kind, name) in self.rows:
            message = f"{name!r} stands in row {self.rows[(kind, name)]} too"
            self._add(number, "name", SheetErrorCode.NAME_DOUBLED, message)
            return
        self.rows[(kind, name)] = number
        if kind == "account":
            self.accounts.add(name)
        elif "account" in texts:
            self.named.append((number, texts["account"]))
        if kind == "key":
            self.keys.append(SheetKey(KeyId(name), AccountId(texts["account"])))
            return
        values = self._convert(number, kind, texts)
        if values is None:
            return
        try:
            self.items.append(ITEM_TYPES[kind].model_validate(values))
        except ValidationError as error:
            for item in error.errors():
                column = _name_column(kind, str(item["loc"][0]))
                message = f"is {item['input']!r}: {item['msg']}"
                self._add(number, column, SheetErrorCode.CELL_INVALID, message)

    def _check_name(self, number: int, name: str) -> bool:
        try:
            check_name("name", name)
        except ValueError as error:
            message = str(error).removeprefix("name ")
            self._add(number, "name", SheetErrorCode.CELL_INVALID, message)
            return False
        if name == ANY_ACCOUNT:
            message = "is '*', which stands for any"
            self._add(number, "name", SheetErrorCode.CELL_INVALID, message)
            return False
        return True

    def _convert(
        self, number: int, kind: str, texts: dict[str, str]
    ) -> dict[str, object] | None:
        values: dict[str, object] = dict(texts)
        if "class" in values:
            values["request_class"] = str(values.pop("class")).lower()
        if "idempotent" in texts:
            flag = BOOLEANS.get(texts["idempotent"].lower())
            if flag is None:
                message = f"is {texts['idempotent']!r}; it must be yes or no"
                code = SheetErrorCode.CELL_INVALID
                self._add(number, "idempotent", code, message)
                return None
            values["idempotent"] = flag
        if kind == "open_route":
            values["name"] = values.pop("path")
        return values

    def _add(self, row: int, column: str, code: SheetErrorCode, message: str) -> None:
        self.problems.append(SheetProblem(row, column, code, message))


def _name_column(kind: str, attribute: str) -> str:
    if attribute == "request_class":
        return "class"
    return "path" if kind == "open_route" and attribute == "name" else attribute
