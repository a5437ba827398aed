"""Reads CSV and XLSX into rows of text, whatever the file holds."""

import csv
import io
import zipfile
from dataclasses import dataclass

import openpyxl

from buckthornstile.sheet._errors import SheetError, SheetErrorCode, SheetProblem

MAX_FILE_BYTES = 4 << 20
MAX_UNPACKED_BYTES = 64 << 20
MAX_ROWS = 5000
MAX_COLUMNS = 64
MAX_CELL_LENGTH = 512
ZIP_START = b"PK\x03\x04"
FORMULA_STARTS = ("=", "@", "+", "-")


@dataclass(frozen=True, slots=True)
class Cell:
    """One cell's text, or the code of why it has none."""

    text: str
    code: SheetErrorCode | None = None


@dataclass(frozen=True, slots=True)
class Row:
    """One row that is not empty, with its number in the file."""

    number: int
    cells: tuple[Cell, ...]


def read_rows(data: bytes) -> list[Row]:
    """Reads the rows of a CSV or XLSX file.

    Args:
        data: The file's bytes.

    Returns:
        The rows that are not empty, the header first.

    Raises:
        SheetError: The file is too large or cannot be read.

    Example:
        >>> [cell.text for cell in read_rows(b"kind,name")[0].cells]
        ['kind', 'name']
    """
    if len(data) > MAX_FILE_BYTES:
        raise _make_error(
            SheetErrorCode.TOO_LARGE,
            f"has {len(data)} bytes; it must have at most {MAX_FILE_BYTES} bytes",
        )
    grid = _read_xlsx(data) if data.startswith(ZIP_START) else _read_csv(data)
    rows = [
        Row(number, tuple(cells))
        for number, cells in enumerate(grid, start=1)
        if any(cell.text or cell.code for cell in cells)
    ]
    if not rows:
        raise _make_error(SheetErrorCode.UNREADABLE, "is empty")
    if len(rows) > MAX_ROWS:
        raise _make_error(
            SheetErrorCode.TOO_LARGE, f"has over {MAX_ROWS} rows with text"
        )
    return rows


def _make_error(code: SheetErrorCode, message: str) -> SheetError:
    return SheetError([SheetProblem(0, "", code, message)])


def _read_csv(data: bytes) -> list[list[Cell]]:
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise _make_error(
            SheetErrorCode.UNREADABLE, f"is not UTF-8 at byte {error.start}"
        ) from None
    if "\0" in text:
        raise _make_error(SheetErrorCode.UNREADABLE, "holds a NUL character")
    header = text.partition("\n")[0]
    # Spreadsheets of some languages write semicolons for commas.
    delimiter = ";" if ";" in header and "," not in header else ","
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    try:
        return [[_make_cell(value) for value in row] for row in reader]
    except csv.Error as error:
        raise _make_error(
            SheetErrorCode.UNREADABLE, f"is not CSV at line {reader.line_num}: {error}"
        ) from None


def _read_xlsx(data: bytes) -> list[list[Cell]]:
    try:
        with zipfile.ZipFile(io.BytesIO(data)) as archive:
            unpacked = sum(info.file_size for info in archive.infolist())
        if unpacked > MAX_UNPACKED_BYTES:
            raise _make_error(
                SheetErrorCode.TOO_LARGE,
                f"unpacks to {unpacked} bytes; at most {MAX_UNPACKED_BYTES} are read",
            )
        book = openpyxl.load_workbook(io.BytesIO(data), read_only=True)
        if len(book.worksheets) != 1:
            raise _make_error(
                SheetErrorCode.UNREADABLE,
                f"holds {len(book.worksheets)} worksheets; it must hold 1",
            )
        rows = book.worksheets[0].iter_rows(
            max_row=MAX_ROWS + 2, max_col=MAX_COLUMNS, values_only=True
        )
        return [[_make_cell(value) for value in row] for row in rows]
    except SheetError:
        raise
    except Exception as error:
        # The package raises errors of many kinds for a broken file.
        raise _make_error(
            SheetErrorCode.UNREADABLE, f"is not XLSX: {type(error).__name__}"
        ) from None


def _make_cell(value: object) -> Cell:
    if value is None:
        return Cell("")
    if isinstance(value, bool):
        return Cell("true" if value else "false")
    if isinstance(value, int | float):
        is_complete = isinstance(value, int) or value.is_integer()
        return Cell(str(int(value)) if is_complete else repr(value))
    if not isinstance(value, str):
        # A spreadsheet has taken the text for a date.
        return Cell(str(value)[:MAX_CELL_LENGTH], SheetErrorCode.CELL_INVALID)
    text = value.strip()
    if len(text) > MAX_CELL_LENGTH or not text.isprintable():
        return Cell(text[:MAX_CELL_LENGTH], SheetErrorCode.CELL_INVALID)
    if text.startswith(FORMULA_STARTS) and not _is_number(text):
        return Cell(text, SheetErrorCode.CELL_FORMULA)
    return Cell(text)


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True
