"""TLS between processes, and towards callers, when certificates are set."""

import ssl


def make_server_context(
    certificate: str, key: str, ca: str = ""
) -> ssl.SSLContext | None:
    """Makes the context of a listener.

    Args:
        certificate: Path of the certificate; empty for no TLS.
        key: Path of its key.
        ca: Path of the authority that peers must prove themselves by; empty for
            callers, who prove themselves by their key.

    Returns:
        The context, or None for plain TCP.

    Raises:
        OSError: A file cannot be read.

    Example:
        >>> make_server_context("", "") is None
        True
    """
    if not certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    if ca:
        context.load_verify_locations(ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(certificate: str, key: str, ca: str) -> ssl.SSLContext | None:
    """Makes the context of a dialler.

    Peers are known by the authority and by the deployment secret, not by name:
    addresses are IP numbers that change with every replaced VM.

    Args:
        certificate: Path of the certificate; empty for no TLS.
        key: Path of its key.
        ca: Path of the authority that listeners must prove themselves by.

    Returns:
        The context, or None for plain TCP.

    Raises:
        OSError: A file cannot be read.

    Example:
        >>> make_client_context("", "", "") is None
        True
    """
    if not certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    context.load_verify_locations(ca)
    context.load_cert_chain(certificate, key)
    return context
