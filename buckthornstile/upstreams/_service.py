"""The adapter of plain services."""

from buckthornstile.upstreams._http import HttpUpstream


class HttpService(HttpUpstream):
    """A plain service: any path, the call's body as it is.

    Example:
        >>> HttpService("http://127.0.0.1:9000").base_url
        'http://127.0.0.1:9000'
    """


def make_service(base_url: str) -> HttpService:
    """Makes the port to the plain service that listens at a URL.

    Args:
        base_url: Where it listens, as ``http://IP:port``.

    Returns:
        The port. It connects at its first call.

    Example:
        >>> make_service("http://127.0.0.1:9000/").base_url
        'http://127.0.0.1:9000'
    """
    return HttpService(base_url.rstrip("/"))
