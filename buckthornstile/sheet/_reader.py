"""Reads CSV and XLSX files into rows of text and rejects malformed files."""

import csv
import io
import zipfile
from dataclasses import dataclass

import openpyxl

from buckthornstile.sheet._errors import SheetError, SheetErrorCode, SheetProblem

MAX_FILE_BYTES = 4 << 20
MAX_UNCOMPRESSED_BYTES = 64 << 20
MAX_ROWS = 5000
MAX_COLUMNS = 64
MAX_CELL_CHARACTERS = 512
ZIP_SIGNATURE = b"PK\x03\x04"
FORMULA_PREFIXES = ("=", "@", "+", "-")
"""First characters of a text that spreadsheet programs interpret as a formula."""


@dataclass(frozen=True, slots=True)
class Cell:
    """A cell's text, with an error code if the text cannot be used."""

    text: str
    error_code: SheetErrorCode | None = None


@dataclass(frozen=True, slots=True)
class Row:
    """A row that is not empty, with its number in the file, counted from 1."""

    number: int
    cells: tuple[Cell, ...]


def read_rows(data: bytes) -> list[Row]:
    """Reads the rows of a CSV or XLSX file.

    Args:
        data: Contents of the file.

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
    grid = _read_xlsx(data) if data.startswith(ZIP_SIGNATURE) else _read_csv(data)
    rows = [
        Row(number, tuple(cells))
        for number, cells in enumerate(grid, start=1)
        if any(cell.text or cell.error_code for cell in cells)
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
            SheetErrorCode.UNREADABLE, f"is not valid UTF-8 at byte {error.start}"
        ) from None
    if "\0" in text:
        raise _make_error(SheetErrorCode.UNREADABLE, "contains a NUL character")
    header = text.partition("\n")[0]
    # In some locales, spreadsheet programs separate the columns by semicolons.
    delimiter = ";" if ";" in header and "," not in header else ","
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    try:
        return [[_make_cell(value) for value in row] for row in reader]
    except csv.Error as error:
        raise _make_error(
            SheetErrorCode.UNREADABLE,
            f"is not valid CSV at line {reader.line_num}: {error}",
        ) from None


def _read_xlsx(data: bytes) -> list[list[Cell]]:
    try:
        with zipfile.ZipFile(io.BytesIO(data)) as archive:
            uncompressed = sum(info.file_size for info in archive.infolist())
        if uncompressed > MAX_UNCOMPRESSED_BYTES:
            raise _make_error(
                SheetErrorCode.TOO_LARGE,
                f"has {uncompressed} bytes when uncompressed; it must have at most "
                f"{MAX_UNCOMPRESSED_BYTES} bytes",
            )
        book = openpyxl.load_workbook(io.BytesIO(data), read_only=True)
        if len(book.worksheets) != 1:
            raise _make_error(
                SheetErrorCode.UNREADABLE,
                f"has {len(book.worksheets)} worksheets; it must have 1",
            )
        rows = book.worksheets[0].iter_rows(
            max_row=MAX_ROWS + 2, max_col=MAX_COLUMNS, values_only=True
        )
        return [[_make_cell(value) for value in row] for row in rows]
    except SheetError:
        raise
    except Exception as error:
        # openpyxl raises exceptions of many types for a malformed file.
        raise _make_error(
            SheetErrorCode.UNREADABLE, f"is not valid XLSX: {type(error).__name__}"
        ) from None


def _make_cell(value: object) -> Cell:
    if value is None:
        return Cell("")
    if isinstance(value, bool):
        return Cell("true" if value else "false")
    if isinstance(value, int | float):
        is_whole_number = isinstance(value, int) or value.is_integer()
        return Cell(str(int(value)) if is_whole_number else repr(value))
    if not isinstance(value, str):
        # The spreadsheet program converted the text to a date or time.
        return Cell(str(value)[:MAX_CELL_CHARACTERS], SheetErrorCode.CELL_INVALID)
    text = value.strip()
    if len(text) > MAX_CELL_CHARACTERS or not text.isprintable():
        return Cell(text[:MAX_CELL_CHARACTERS], SheetErrorCode.CELL_INVALID)
    if text.startswith(FORMULA_PREFIXES) and not _is_number(text):
        return Cell(text, SheetErrorCode.CELL_FORMULA)
    return Cell(text)


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True
