"""Tests of the settings: order of sources, error texts and reference page."""

import pathlib

import pytest

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.settings import (
    EntrySettings,
    OperatorSettings,
    describe_settings,
    list_unknown_variables,
    load_settings,
    render_settings_page,
)

ENTRY_FLAGS = {
    "process": "entry-1",
    "failure_domain": "bench-a",
    "store_address": "127.0.0.1:7000",
}


def load_invalid_settings(settings_class, flags):
    with pytest.raises(BuckthornstileError) as caught:
        load_settings(settings_class, flags)
    assert caught.value.code is ErrorCode.SETTING_INVALID
    return caught.value.message.splitlines()


def test_flag_overrides_variable_and_variable_overrides_default(monkeypatch):
    assert load_settings(EntrySettings, ENTRY_FLAGS).heartbeat == 1.0
    monkeypatch.setenv("BUCKTHORNSTILE_HEARTBEAT", "0.5")
    assert load_settings(EntrySettings, ENTRY_FLAGS).heartbeat == 0.5
    flags = ENTRY_FLAGS | {"heartbeat": "0.25"}
    assert load_settings(EntrySettings, flags).heartbeat == 0.25


def test_all_invalid_settings_are_reported_at_once(monkeypatch):
    monkeypatch.setenv("BUCKTHORNSTILE_MAX_BODY_BYTES", "9")
    flags = {
        "process": "two words",
        "store_address": "platform.example:80",
        "api_address": "127.0.0.1",
        "heartbeat": "nan",
        "usage_window": 20,
        "usage_due": 10,
        "tls_key": "key.pem",
        "fails_closed": "perhaps",
        "colour": "red",
    }
    lines = load_invalid_settings(EntrySettings, flags)
    reported = {line.split()[0] for line in lines}
    assert reported == (flags.keys() - {"usage_window"}) | {
        "failure_domain",
        "max_body_bytes",
    }
    assert "max_body_bytes is '9'; it must be from 1024 bytes to 268435456 bytes" in (
        lines
    )


@pytest.mark.parametrize(
    ("settings_class", "flags"),
    [
        (EntrySettings, {"store_address": ""}),
        (EntrySettings, {"client_address": "entry:80"}),
        (EntrySettings, {"duty_address": "127.0.0.1:70000"}),
        (EntrySettings, {"max_timeout": 5}),
        (EntrySettings, {"max_append_bytes": 8192}),
        (EntrySettings, {"usage_due": 1}),
        (EntrySettings, {"tls_certificate": "cert.pem"}),
        (OperatorSettings, {"entries": "http://127.0.0.1:1,http://127.0.0.1:x"}),
        (OperatorSettings, {"store_address": "http://127.0.0.1:1"}),
    ],
)
def test_invalid_or_contradictory_settings_are_rejected(settings_class, flags):
    base = ENTRY_FLAGS if settings_class is EntrySettings else {}
    load_settings(settings_class, base)
    assert len(load_invalid_settings(settings_class, base | flags)) == 1


def test_described_setting_has_its_unit():
    described = describe_settings(load_settings(EntrySettings, ENTRY_FLAGS))
    assert described["stop_grace"] == "8.0 s"


def test_misspelt_variable_is_listed_as_unknown(monkeypatch):
    monkeypatch.setenv("BUCKTHORNSTILE_PROCES", "entry-1")
    assert list_unknown_variables() == ("BUCKTHORNSTILE_PROCES",)


def test_reference_page_is_up_to_date():
    root = pathlib.Path(__file__).parents[3]
    page = (root / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == render_settings_page()
