"""Fingerprints by which repeated requests are recognized, whatever their ids."""

from typing import NewType

from xxhash import xxh3_128

from buckthornstile.messages import RoutedCall

Fingerprint = NewType("Fingerprint", str)
"""Digest of a request's account, method, host, path, query and body."""


def compute_fingerprint(call: RoutedCall) -> Fingerprint:
    """Computes the fingerprint of a request; it holds no API key."""
    request = call.request
    head = "\x00".join(
        (call.account or "", request.method, request.host, request.target)
    )
    # In two steps, so that the body is not copied.
    digest = xxh3_128(head.encode("utf-8", "replace") + b"\x00")
    digest.update(request.body)
    return Fingerprint(digest.hexdigest())
