"""The operators' configuration: accounts, keys, routes, rules, drains and changes."""

from buckthornstile.configuration._api_keys import (
    GeneratedApiKey,
    generate_api_key,
    hash_api_key,
)
from buckthornstile.configuration._change import ChangeError, apply_change
from buckthornstile.configuration._items import (
    ANY_ACCOUNT,
    ANY_TRAINER,
    Account,
    ApiKey,
    ConfigurationChange,
    ConfigurationItem,
    Drain,
    ItemReference,
    KeyState,
    OpenRoute,
    Rule,
)
from buckthornstile.configuration._model import (
    EMPTY_CONFIGURATION,
    Configuration,
    make_configuration,
)
from buckthornstile.configuration._records import (
    CHANGE_PREFIX,
    ChangeSummary,
    ConfigurationRecord,
    encode_change,
)
from buckthornstile.configuration._state import ConfigurationState

__all__ = [
    "ANY_ACCOUNT",
    "ANY_TRAINER",
    "CHANGE_PREFIX",
    "EMPTY_CONFIGURATION",
    "Account",
    "ChangeError",
    "ChangeSummary",
    "Configuration",
    "ConfigurationChange",
    "ConfigurationState",
    "ConfigurationItem",
    "Drain",
    "ItemReference",
    "KeyState",
    "ApiKey",
    "ConfigurationRecord",
    "GeneratedApiKey",
    "OpenRoute",
    "Rule",
    "apply_change",
    "encode_change",
    "hash_api_key",
    "make_configuration",
    "generate_api_key",
]
