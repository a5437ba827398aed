"""Settings: order of sources, all errors at once, hidden secrets, the page."""

import pathlib

import pytest

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.settings import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
    describe_settings,
    list_unknown_variables,
    load_settings,
    render_settings_page,
)

SECRET = "a-secret-of-the-deployment"
ENTRY = {
    "process": "entry-1",
    "failure_domain": "bench-a",
    "platform_url": "http://127.0.0.1:7000",
    "deployment_secret": SECRET,
}
AGENT = ENTRY | {
    "upstream": "engine-1",
    "service": "geometry-models",
    "upstream_url": "http://127.0.0.1:7001",
}


def read_errors(kind, flags):
    with pytest.raises(BuckthornstileError) as caught:
        load_settings(kind, flags)
    assert caught.value.code is ErrorCode.SETTING_INVALID
    return caught.value.message.splitlines()


def test_a_flag_goes_over_a_variable_and_that_over_the_default(monkeypatch):
    assert load_settings(EntrySettings, ENTRY).heartbeat_interval == 1.0
    monkeypatch.setenv("BUCKTHORNSTILE_HEARTBEAT_INTERVAL", "0.5")
    assert load_settings(EntrySettings, ENTRY).heartbeat_interval == 0.5
    flags = ENTRY | {"heartbeat_interval": "0.25"}
    assert load_settings(EntrySettings, flags).heartbeat_interval == 0.25


def test_all_errors_are_named_at_once_and_hide_the_secret(monkeypatch):
    monkeypatch.setenv("BUCKTHORNSTILE_MAX_BODY_BYTES", "9")
    flags = {
        "process": "two words",
        "platform_url": "platform.example:80",
        "deployment_secret": "short-secret",
        "address": "localhost",
        "heartbeat_interval": "nan",
        "lease_duration": 3,
        "lease_renewal_interval": 2,
        "tls_key": "key.pem",
        "log_format": "xml",
        "colour": "red",
    }
    lines = read_errors(EntrySettings, flags)
    named = {line.split()[0] for line in lines}
    assert named == (flags.keys() - {"lease_duration", "tls_key"}) | {
        "failure_domain",
        "max_body_bytes",
        "tls_ca",
    }
    assert "short-secret" not in "\n".join(lines)
    assert "max_body_bytes is '9'; it must be from 1024 bytes to 268435456 bytes" in (
        lines
    )


@pytest.mark.parametrize(
    ("kind", "flags"),
    [
        (EntrySettings, {"order_timeout": 5}),
        (EntrySettings, {"lease_margin": 4}),
        (EntrySettings, {"heartbeat_timeout": 1.5}),
        (EntrySettings, {"snapshot_interval": 2000}),
        (EntrySettings, {"max_timeout": 5}),
        (AgentSettings, {"maximum_limit": 1}),
        (AgentSettings, {"upstream_url": "http://engine:80"}),
        (AgentSettings, {"peer_port": 70000}),
        (OperatorSettings, {"entries": "http://127.0.0.1:1,http://127.0.0.1:x"}),
    ],
)
def test_settings_that_contradict_each_other_are_refused(kind, flags):
    base = {EntrySettings: ENTRY, AgentSettings: AGENT}.get(
        kind, {"platform_url": ENTRY["platform_url"]}
    )
    load_settings(kind, base)
    assert len(read_errors(kind, base | flags)) == 1


def test_a_description_hides_the_secret_and_shows_units():
    described = describe_settings(load_settings(AgentSettings, AGENT))
    assert SECRET not in str(described)
    assert described["deployment_secret"] == "(hidden)"
    assert described["guard_memory"] == "900.0 s"


def test_a_misspelt_variable_is_found(monkeypatch):
    monkeypatch.setenv("BUCKTHORNSTILE_PROCES", "entry-1")
    assert list_unknown_variables() == ("BUCKTHORNSTILE_PROCES",)


def test_the_page_is_up_to_date():
    root = pathlib.Path(__file__).parents[3]
    page = (root / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == render_settings_page()
