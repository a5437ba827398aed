"""Tests of parsing a sheet and planning its changes.

A sheet is accepted or rejected as a whole. A large removal requires a flag, so that
a truncated sheet does not remove most of the configuration. The same flag is needed to
withdraw the keys that a sheet does not list.
"""

import datetime
import io
import pathlib
import random

import openpyxl
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.configuration import (
    EMPTY_CONFIGURATION,
    Account,
    Drain,
    Rule,
    apply_change,
)
from buckthornstile.sheet import (
    COLUMNS,
    SheetError,
    make_sheet_change,
    make_sheet_keys,
    parse_sheet,
    plan_sheet,
)

EXAMPLE_SHEET = pathlib.Path(__file__).parents[3] / "examples" / "sheet.csv"


def make_xlsx(rows):
    book = openpyxl.Workbook()
    for row in rows:
        book.active.append(row)
    buffer = io.BytesIO()
    book.save(buffer)
    return buffer.getvalue()


def read_problems(data):
    with pytest.raises(SheetError) as caught:
        parse_sheet(data)
    assert caught.value.code is ErrorCode.SHEET_INVALID
    return [
        (problem.row, problem.column, problem.code.value.removeprefix("sheet."))
        for problem in caught.value.problems
    ]


def apply_sheet(configuration, sheet, **options):
    plan = plan_sheet(configuration, sheet, **options)
    keys = make_sheet_keys(plan, token_bytes=random.Random(1).randbytes)
    change_id = f"c{configuration.revision}"
    change = make_sheet_change(plan, change_id=change_id, new_keys=keys)
    return apply_change(configuration, change, offset=configuration.revision)


def test_example_sheet_parses_alike_from_csv_and_xlsx():
    data = EXAMPLE_SHEET.read_bytes()
    rows = [line.split(",") for line in data.decode().splitlines()]
    typed_rows = [
        [int(text) if text.isdigit() else text or None for text in row] for row in rows
    ]
    assert parse_sheet(make_xlsx(typed_rows)) == parse_sheet(data)
    assert parse_sheet(data.replace(b",", b";")) == parse_sheet(data)
    assert parse_sheet(b"\xef\xbb\xbf" + data) == parse_sheet(data)
    after = apply_sheet(EMPTY_CONFIGURATION, parse_sheet(data))
    rule = after.find_rule("/v1/lots", "tooth-geometry", "fine-setting")
    assert rule.name == "geometry-lots-fine"
    assert not after.find_rule("/v1/orders/4", "mill-7").idempotent


@pytest.mark.parametrize(
    ("rows", "problems"),
    [
        ("kind,name,colour", [(1, "colour", "column_unknown")]),
        ("kind,name,name", [(1, "name", "column_doubled")]),
        ("name", [(1, "kind", "column_missing")]),
        ("", [(0, "", "unreadable")]),
        ('kind,name\n"account,x', [(0, "", "unreadable")]),
        ("kind,name\nengine,x", [(2, "kind", "kind_unknown")]),
        ("kind,name\naccount,", [(2, "name", "cell_missing")]),
        ("kind,name\naccount,two words", [(2, "name", "cell_invalid")]),
        ("kind,name\naccount,*", [(2, "name", "cell_invalid")]),
        ("kind,name\naccount,=A1", [(2, "name", "cell_formula")]),
        ("kind,name\naccount,x\n\naccount,x", [(4, "name", "name_doubled")]),
        ("kind,name,weight\naccount,x,-1", [(2, "weight", "cell_invalid")]),
        ("kind,name,weight\naccount,x,nan", [(2, "weight", "cell_invalid")]),
        ("kind,name,reason\naccount,x,why", [(2, "reason", "cell_unused")]),
        ("kind,name\naccount,x,y", [(2, "number 3", "cell_unused")]),
        ("kind,name,account\nkey,k,nobody", [(2, "account", "account_unknown")]),
        (
            "kind,name,path,service,class,idempotent\n"
            "rule,r,v1,s,urgent,yes\nrule,q,/v1,s,,maybe\nrule,p,/v1,,,",
            [
                (2, "path", "cell_invalid"),
                (2, "class", "cell_invalid"),
                (3, "idempotent", "cell_invalid"),
                (4, "service", "cell_missing"),
            ],
        ),
        ("kind\n" + "account\n" * 6000, [(0, "", "too_large")]),
    ],
)
def test_problem_has_row_column_and_code(rows, problems):
    assert read_problems(rows.encode()) == problems


def test_date_and_formula_cells_of_a_spreadsheet_are_rejected():
    rows = [
        ["kind", "name", "reason"],
        ["drain", datetime.date(2026, 3, 7), None],
        ["drain", "=1+1", None],
        ["drain", "bench-a", "#REF!\x0b"[:5]],
    ]
    assert read_problems(make_xlsx(rows)) == [
        (2, "name", "cell_invalid"),
        (3, "name", "cell_formula"),
    ]
    assert read_problems(make_xlsx(rows)[:200]) == [(0, "", "unreadable")]
    assert read_problems(b"x" * (5 << 20)) == [(0, "", "too_large")]


def test_spreadsheet_with_large_uncompressed_size_is_rejected(monkeypatch):
    data = make_xlsx([["kind"]])
    name = "buckthornstile.sheet._reader.MAX_UNCOMPRESSED_BYTES"
    monkeypatch.setattr(name, 1000)
    assert read_problems(data) == [(0, "", "too_large")]


CELL_TEXTS = st.one_of(
    st.sampled_from([*COLUMNS, "account", "key", "rule", "*", "/v1", "yes", "=1", ""]),
    st.text(max_size=8),
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(st.lists(CELL_TEXTS, max_size=6), max_size=6), st.binary(max_size=60))
def test_malformed_files_raise_only_errors_with_codes(rows, noise):
    text = "\n".join(",".join(row) for row in [list(COLUMNS[:6]), *rows])
    for data in (text.encode("utf-8", "ignore"), noise, b"PK\x03\x04" + noise):
        try:
            apply_sheet(EMPTY_CONFIGURATION, parse_sheet(data))
        except BuckthornstileError as error:
            assert error.code.value.split(".")[0] in ("sheet", "configuration")


def test_plan_lists_added_changed_and_removed_items():
    before = apply_sheet(EMPTY_CONFIGURATION, parse_sheet(EXAMPLE_SHEET.read_bytes()))
    text = EXAMPLE_SHEET.read_text().replace("public,,,,,,,1,32", "public,,,,,,,1,64")
    text = "\n".join(line for line in text.splitlines() if "ledger-sync" not in line)
    text += "\nkey,new,mill-7\ndrain,bench-a"
    plan = plan_sheet(before, parse_sheet(text.encode()))
    assert plan.added == (Drain(name="bench-a"),)
    assert plan.changed == (Account(name="public", maximum_open=64),)
    assert [item.name for item in plan.removed] == ["ledger-sync"]
    assert [key.name for key in plan.new_keys] == ["new"]
    assert plan_sheet(before, parse_sheet(EXAMPLE_SHEET.read_bytes())).is_empty


def test_large_removal_requires_flag():
    before = apply_sheet(EMPTY_CONFIGURATION, parse_sheet(EXAMPLE_SHEET.read_bytes()))
    small_sheet = parse_sheet(b"kind,name\naccount,mill-7\naccount,tooth-geometry\n")
    with pytest.raises(BuckthornstileError) as caught:
        plan_sheet(before, small_sheet)
    assert caught.value.code is ErrorCode.REMOVAL_TOO_LARGE
    after = apply_sheet(before, small_sheet, allow_removal=True)
    assert not after.rules
    assert all(key.withdrawn for key in after.keys.values())


def test_keys_and_drains_missing_from_sheet_stay():
    before = apply_sheet(EMPTY_CONFIGURATION, parse_sheet(EXAMPLE_SHEET.read_bytes()))
    rule = Rule(name="x", path="/x", service="s")
    with_drain = parse_sheet(EXAMPLE_SHEET.read_bytes() + b"drain,bench-a\n")
    drained = apply_sheet(before, with_drain)
    text = EXAMPLE_SHEET.read_text().replace("key,mill-7-clerks,mill-7,,,,,,,,,\n", "")
    plan = plan_sheet(drained, parse_sheet(text.encode()))
    assert rule not in plan.removed
    assert plan.is_empty
    assert {item.name for item in plan.kept} == {"bench-a", "mill-7-clerks"}


def test_withdrawn_key_stays_withdrawn_and_moved_key_is_rejected():
    sheet = parse_sheet(EXAMPLE_SHEET.read_bytes())
    before = apply_sheet(EMPTY_CONFIGURATION, sheet)
    without = EXAMPLE_SHEET.read_text().replace(
        "key,mill-7-clerks,mill-7,,,,,,,,,\n", ""
    )
    withdrawn = apply_sheet(before, parse_sheet(without.encode()), allow_removal=True)
    assert withdrawn.keys["mill-7-clerks"].withdrawn
    assert plan_sheet(withdrawn, sheet).is_empty
    moved = EXAMPLE_SHEET.read_text().replace(
        "key,mill-7-clerks,mill-7", "key,mill-7-clerks,public"
    )
    with pytest.raises(SheetError) as caught:
        plan_sheet(before, parse_sheet(moved.encode()))
    assert caught.value.problems[0].row == 5
