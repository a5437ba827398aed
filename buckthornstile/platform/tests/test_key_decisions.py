"""What entries state to each other about the key of a request."""

import pytest

from buckthornstile.base import AccountId
from buckthornstile.messages import KeyDecision
from buckthornstile.platform import decode_key_decision, encode_key_decision


@pytest.mark.parametrize("name", ["", "mill", "m\u00fchle \ud800", "a\r\nb: c", "%41"])
def test_any_account_name_fits_into_a_header(name: str) -> None:
    """A name with a lone surrogate failed, and with it each forwarded request."""
    decision = KeyDecision(AccountId(name), 7)
    headers = encode_key_decision(decision)
    assert all(value.isascii() and value.isprintable() for _, value in headers)
    assert decode_key_decision(headers) == decision


def test_statement_without_a_version_is_none() -> None:
    """So states an entry of an earlier release."""
    assert decode_key_decision((("Checked-Account", "mill"),)) is None
    assert decode_key_decision((("Checked-Configuration", "x"),)) is None
