"""Generation of client accounts' keys, of which only the digest is stored."""

import base64
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthornstile.base import AccountId, KeyId
from buckthornstile.configuration._items import ApiKey

KEY_PREFIX = "bk_"
KEY_BYTES = 32
"""Random bytes of a key."""
KEY_ID_BYTES = 4
"""Random bytes of a generated key id."""


@dataclass(frozen=True, slots=True)
class GeneratedApiKey:
    """A new key, with the clear text that is not stored.

    Args:
        clear: The clear text for the client account, which is shown once.
        item: The key's configuration item, which holds only the digest.
    """

    clear: str = field(repr=False)
    item: ApiKey


def hash_api_key(text: str) -> str:
    """Returns the digest of a key's clear text.

    A plain digest is sufficient, as a key holds 256 random bits, too many to search.

    Args:
        text: The clear text.

    Returns:
        The SHA-256 digest, 64 hexadecimal digits.

    Example:
        >>> hash_api_key("bk_example")[:12]
        'e361cf32a4f3'
    """
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def generate_api_key(
    account: AccountId, *, token_bytes: Callable[[int], bytes], name: str = ""
) -> GeneratedApiKey:
    """Generates a key for a client account.

    Args:
        account: The client account.
        token_bytes: Function that returns the given number of unpredictable bytes,
            as :func:`secrets.token_bytes` does.
        name: The key's public id. If it is empty, an id is generated from the
            account's.

    Returns:
        The clear text of the key and its configuration item.

    Example:
        >>> key = generate_api_key(AccountId("mill-7"), token_bytes=lambda n: bytes(n))
        >>> key.item.name, key.item.digest == hash_api_key(key.clear)
        ('mill-7-00000000', True)
    """
    secret = base64.urlsafe_b64encode(token_bytes(KEY_BYTES)).rstrip(b"=")
    clear = KEY_PREFIX + secret.decode("ascii")
    key_id = KeyId(name or f"{account}-{token_bytes(KEY_ID_BYTES).hex()}")
    return GeneratedApiKey(
        clear, ApiKey(name=key_id, account=account, digest=hash_api_key(clear))
    )
