"""The operators' configuration, folded from the log; free of I/O."""

from buckthornstile.configuration._change import ChangeError, apply_change
from buckthornstile.configuration._fold import (
    ConfigurationFold,
    FoldOutcome,
    RelayOutcome,
)
from buckthornstile.configuration._keys import NewKey, hash_key, make_key
from buckthornstile.configuration._model import (
    EMPTY_CONFIGURATION,
    Configuration,
    make_configuration,
)

__all__ = [
    "EMPTY_CONFIGURATION",
    "ChangeError",
    "Configuration",
    "ConfigurationFold",
    "FoldOutcome",
    "NewKey",
    "RelayOutcome",
    "apply_change",
    "hash_key",
    "make_configuration",
    "make_key",
]
