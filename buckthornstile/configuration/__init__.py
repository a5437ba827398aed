"""The operators' configuration: keys, rules, drains, and how it changes."""

from buckthornstile.configuration._change import ChangeError, apply_change
from buckthornstile.configuration._fold import ConfigurationFold
from buckthornstile.configuration._items import (
    ANY_ACCOUNT,
    ANY_TRAINER,
    Account,
    ConfigurationChange,
    ConfigurationItem,
    Drain,
    ItemName,
    Key,
    OpenRoute,
    Rule,
)
from buckthornstile.configuration._keys import NewKey, hash_key, make_key
from buckthornstile.configuration._model import (
    EMPTY_CONFIGURATION,
    Configuration,
    make_configuration,
)
from buckthornstile.configuration._records import (
    ChangeNote,
    KeyedValue,
    encode_change,
)

__all__ = [
    "ANY_ACCOUNT",
    "ANY_TRAINER",
    "EMPTY_CONFIGURATION",
    "Account",
    "ChangeError",
    "ChangeNote",
    "Configuration",
    "ConfigurationChange",
    "ConfigurationFold",
    "ConfigurationItem",
    "Drain",
    "ItemName",
    "Key",
    "KeyedValue",
    "NewKey",
    "OpenRoute",
    "Rule",
    "apply_change",
    "encode_change",
    "hash_key",
    "make_configuration",
    "make_key",
]
