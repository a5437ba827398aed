"""Settings of entries and of the operators' commands."""

from buckthornstile.settings._common import CommonSettings
from buckthornstile.settings._entry import EntrySettings
from buckthornstile.settings._load import (
    describe_settings,
    list_unknown_variables,
    load_settings,
)
from buckthornstile.settings._operator import OperatorSettings
from buckthornstile.settings._reference_page import render_settings_page

__all__ = [
    "CommonSettings",
    "EntrySettings",
    "OperatorSettings",
    "describe_settings",
    "list_unknown_variables",
    "load_settings",
    "render_settings_page",
]
