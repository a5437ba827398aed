"""Calls to the platform, with its failures as typed errors."""

from pydantic import ValidationError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from buckthornstile.base import PlatformUnavailableError, ProcessName

MAX_ANSWER_BYTES = 256 << 20
MAX_CONCURRENT_CALLS = 100
CLIENT_ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500


class PlatformClient:
    """Makes calls to one platform.

    Args:
        base_url: Where the platform listens, as ``http://IP:port``.
        timeout: Seconds for one call, unless the call names its own.
        caller: The process that calls, sent as ``X-Caller``.

    Example:
        >>> PlatformClient("http://127.0.0.1:1").base_url
        'http://127.0.0.1:1'
    """

    def __init__(
        self, base_url: str, *, timeout: float = 5.0, caller: ProcessName | str = ""
    ) -> None:
        self.base_url = base_url
        self.timeout = timeout
        self.caller = caller
        self._client: SimpleAsyncHTTPClient | None = None

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout: float | None = None,
        entity_tag: str = "",
    ) -> HTTPResponse:
        """Makes one call, once.

        Args:
            method: The HTTP method.
            path: Path and query.
            body: The body, for methods that have one.
            timeout: Seconds for this call; the client's own by default.
            entity_tag: The tag of an answer that the caller has; the platform
                may answer with status 304 in place of the same answer.

        Returns:
            An answer with a status under 500.

        Raises:
            PlatformUnavailableError: There is no answer, or a status from 500
                on. Only a refused connection proves that it had no effect.
        """
        wait = self.timeout if timeout is None else timeout
        headers = HTTPHeaders({"X-Caller": self.caller})
        if entity_tag:
            headers["If-None-Match"] = entity_tag
        request = HTTPRequest(
            self.base_url + path,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=wait,
            request_timeout=wait,
            follow_redirects=False,
        )
        try:
            response = await self._get_client().fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise PlatformUnavailableError(
                "the platform refused the connection", may_have_taken_effect=False
            ) from error
        except (OSError, HTTPError) as error:
            raise PlatformUnavailableError(f"no answer from {path}") from error
        if response.code >= SERVER_ERROR_STATUS:
            raise PlatformUnavailableError(f"status {response.code} from {path}")
        return response

    async def call_accepted(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout: float | None = None,
    ) -> bytes:
        """Makes one call and gives the body of an answer that accepts it.

        Raises:
            PlatformUnavailableError: There is no answer or it is a refusal.
        """
        response = await self.call(method, path, body=body, timeout=timeout)
        check_accepted(response)
        return response.body

    def close(self) -> None:
        """Closes the client."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def _get_client(self) -> SimpleAsyncHTTPClient:
        # Made at the first call, since it belongs to the running event loop.
        if self._client is None:
            self._client = SimpleAsyncHTTPClient(
                force_instance=True,
                max_clients=MAX_CONCURRENT_CALLS,
                max_body_size=MAX_ANSWER_BYTES,
                max_buffer_size=MAX_ANSWER_BYTES,
            )
        return self._client


def check_accepted(response: HTTPResponse) -> None:
    """Checks that an answer's status is no refusal.

    Args:
        response: An answer with a status under 500.

    Raises:
        PlatformUnavailableError: It is a refusal, which had no effect.
    """
    if response.code < CLIENT_ERROR_STATUS:
        return
    error = PlatformUnavailableError(
        f"the platform refused with status {response.code}",
        may_have_taken_effect=False,
    )
    error.retry_after = _read_retry_after(response)
    raise error


def make_malformed_error(error: ValidationError) -> PlatformUnavailableError:
    """Makes the error for an answer that does not have the agreed form.

    Args:
        error: What the check of the answer found.

    Returns:
        An error that leaves open whether the call took effect.
    """
    return PlatformUnavailableError(
        f"the platform's answer is malformed in {error.error_count()} places"
    )


def _read_retry_after(response: HTTPResponse) -> float | None:
    try:
        return float(response.headers.get("Retry-After", ""))
    except ValueError:
        return None
