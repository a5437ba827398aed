"""Proof of the deployment secret, from both ends of a connection."""

import hashlib
import hmac
from dataclasses import dataclass

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    FailureDomain,
    Incarnation,
    ProcessName,
    Role,
    ServiceName,
    UpstreamId,
)
from buckthornstile.wire._messages import Hello, Welcome

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is.

    Args:
        process: Its name.
        role: What it does.
        incarnation: Its present life.
        failure_domain: Where it runs.
        upstream: For an agent, the upstream that it stands beside.
        service: For an agent, that upstream's service.
    """

    process: ProcessName
    role: Role
    incarnation: Incarnation
    failure_domain: FailureDomain
    upstream: UpstreamId = UpstreamId("")
    service: ServiceName = ServiceName("")


def _prove(
    secret: str, purpose: str, nonces: bytes, identity: Hello | Welcome | Identity
) -> bytes:
    fields = (
        purpose,
        identity.process,
        identity.role.value,
        identity.incarnation,
        identity.failure_domain,
        getattr(identity, "upstream", ""),
        getattr(identity, "service", ""),
    )
    text = "\0".join(fields).encode() + b"\0" + nonces
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def make_hello(
    identity: Identity, secret: str, *, challenge: bytes, nonce: bytes
) -> Hello:
    """Makes the dialler's proof.

    Args:
        identity: The dialler.
        secret: The deployment secret.
        challenge: The listener's nonce.
        nonce: The dialler's own nonce.

    Returns:
        The message to send.

    Example:
        >>> me = Identity("e1", Role.ENTRY, "i1", "bench-a")
        >>> hello = make_hello(me, "secret", challenge=b"1", nonce=b"2")
        >>> check_hello(hello, "secret", challenge=b"1").process
        'e1'
    """
    bare = Identity(
        identity.process,
        identity.role,
        identity.incarnation,
        identity.failure_domain,
    )
    proof = _prove(secret, "hello", challenge + nonce, bare)
    return Hello(
        bare.process,
        bare.role,
        bare.incarnation,
        bare.failure_domain,
        nonce,
        proof,
    )


def check_hello(hello: Hello, secret: str, *, challenge: bytes) -> Identity:
    """Checks the dialler's proof.

    Args:
        hello: The dialler's message.
        secret: The deployment secret.
        challenge: The nonce that the listener sent on this connection.

    Returns:
        The dialler's identity.

    Raises:
        BuckthornstileError: With ``PROOF_WRONG``.
    """
    expected = _prove(secret, "hello", challenge + hello.nonce, hello)
    _check_proof(expected, hello.proof)
    return Identity(hello.process, hello.role, hello.incarnation, hello.failure_domain)


def make_welcome(
    identity: Identity, secret: str, *, challenge: bytes, hello: Hello
) -> Welcome:
    """Makes the listener's proof, in answer to a checked hello.

    Args:
        identity: The listener.
        secret: The deployment secret.
        challenge: The nonce that the listener sent.
        hello: The dialler's message.

    Returns:
        The message to send.

    Example:
        >>> me = Identity("a1", Role.AGENT, "i1", "bench-a", "u1", "m")
        >>> caller = Identity("e1", Role.ENTRY, "i1", "bench-a")
        >>> hello = make_hello(caller, "secret", challenge=b"1", nonce=b"2")
        >>> welcome = make_welcome(me, "secret", challenge=b"1", hello=hello)
        >>> check_welcome(welcome, "secret", challenge=b"1", nonce=b"2").upstream
        'u1'
    """
    proof = _prove(secret, "welcome", challenge + hello.nonce, identity)
    return Welcome(
        identity.process,
        identity.role,
        identity.incarnation,
        identity.failure_domain,
        identity.upstream,
        identity.service,
        proof,
    )


def check_welcome(
    welcome: Welcome, secret: str, *, challenge: bytes, nonce: bytes
) -> Identity:
    """Checks the listener's proof.

    Args:
        welcome: The listener's message.
        secret: The deployment secret.
        challenge: The listener's nonce.
        nonce: The dialler's own nonce.

    Returns:
        The listener's identity.

    Raises:
        BuckthornstileError: With ``PROOF_WRONG``.
    """
    expected = _prove(secret, "welcome", challenge + nonce, welcome)
    _check_proof(expected, welcome.proof)
    return Identity(
        welcome.process,
        welcome.role,
        welcome.incarnation,
        welcome.failure_domain,
        welcome.upstream,
        welcome.service,
    )


def _check_proof(expected: bytes, proof: bytes) -> None:
    if not hmac.compare_digest(expected, proof):
        raise BuckthornstileError(
            ErrorCode.PROOF_WRONG, "the peer does not know the deployment secret"
        )
