"""Whether work under a key may go on, as an entry knows it."""

from unittest.mock import Mock

import pytest

from buckthornstile.api._configuration import ConfigurationWatcher
from buckthornstile.configuration import Account, ApiKey, KeyState, make_configuration

KEYS = [
    ApiKey(name="k1", account="mill", digest="1" * 64),
    ApiKey(name="k2", account="mill", digest="2" * 64, withdrawn=True),
]


@pytest.mark.parametrize(
    "key, is_late, expected",
    [
        ("k1", False, KeyState.VALID),
        ("k1", True, KeyState.UNVERIFIED),
        ("k2", False, KeyState.WITHDRAWN),
        ("k2", True, KeyState.WITHDRAWN),
        ("k3", False, KeyState.UNVERIFIED),
        ("k3", True, KeyState.UNVERIFIED),
    ],
)
def test_only_a_known_withdrawal_is_final(key: str, is_late: bool, expected: KeyState):
    """A key that a late entry did not know counted as withdrawn."""
    now = 100.0
    watcher = ConfigurationWatcher(
        Mock(),
        Mock(),
        clock=lambda: now,
        key_bound=5.0,
        read_upstream_age=lambda: 0.0,
        on_change=lambda: None,
    )
    watcher.is_loaded = True
    watcher.state.current = make_configuration([Account(name="mill"), *KEYS])
    watcher.consumer.synced_at = now - (4.6 if is_late else 0.2)
    assert watcher.get_key_state(key) is expected
