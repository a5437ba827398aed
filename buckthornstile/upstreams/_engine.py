"""The adapter of model engines."""

import contextlib

from pydantic import BaseModel, TypeAdapter, ValidationError

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    RequestId,
    Term,
    Verdict,
    WeightVersion,
)
from buckthornstile.ports import AnswerHead, AnswerPart, EngineState, UpstreamCall
from buckthornstile.upstreams._http import HttpUpstream

CONTROL_TIMEOUT = 2.0  # seconds
LOAD_TIMEOUT = 60.0  # seconds
MAX_CONTROL_BYTES = 1 << 20
OK_STATUS = 200
TERM_REFUSED_STATUS = 409
JSON_TYPE = "application/json"
_STATE = TypeAdapter(EngineState)


class _Cancel(BaseModel):
    request_id: str


class _LoadVersion(BaseModel):
    version: int
    term: int


class HttpEngine(HttpUpstream):
    """A model engine behind HTTP.

    Example:
        >>> HttpEngine("http://127.0.0.1:9000").base_url
        'http://127.0.0.1:9000'
    """

    async def cancel(self, request_id: RequestId) -> None:
        """Closes a call's connection and asks the engine to stop its work.

        Args:
            request_id: The call's id.
        """
        await super().cancel(request_id)
        body = _Cancel(request_id=request_id).model_dump_json().encode()
        with contextlib.suppress(BuckthornstileError):
            await self._control("POST", "/v1/cancel", body, CONTROL_TIMEOUT)

    async def read_state(self) -> EngineState:
        """Reads version, incarnation and load.

        Returns:
            The state, as old as the engine's lag.

        Raises:
            BuckthornstileError: The engine did not answer as agreed.
        """
        status, body = await self._control("GET", "/v1/state", b"", CONTROL_TIMEOUT)
        _check_status(status, "the engine did not report its state")
        try:
            return _STATE.validate_json(body)
        except ValidationError as error:
            raise BuckthornstileError(
                ErrorCode.UPSTREAM_FAILED, "the engine's state is malformed"
            ) from error

    async def load_version(self, version: WeightVersion, *, term: Term) -> None:
        """Orders the engine to serve another version of the weights.

        Args:
            version: The version to load.
            term: The fencing number.

        Raises:
            BuckthornstileError: The swap failed or the term is too old.
        """
        order = _LoadVersion(version=version, term=term).model_dump_json().encode()
        path = "/v1/orders/load_version"
        status, _ = await self._control("POST", path, order, LOAD_TIMEOUT)
        if status == TERM_REFUSED_STATUS:
            raise BuckthornstileError(
                ErrorCode.TERM_OLD, f"the engine refused term {term}"
            )
        _check_status(status, f"the engine did not load version {version}")

    async def _control(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        # Control calls have no request id of their own: an engine echoes none.
        call = UpstreamCall(
            request_id=RequestId(""),
            method=method,
            path=path,
            content_type=JSON_TYPE if body else "",
            body=body,
            timeout=timeout,
        )
        status = 0
        data = bytearray()
        async with contextlib.aclosing(self.call(call)) as events:
            async for event in events:
                if isinstance(event, AnswerHead):
                    status = event.status
                elif isinstance(event, AnswerPart):
                    data += event.data
                if len(data) > MAX_CONTROL_BYTES:
                    raise BuckthornstileError(
                        ErrorCode.UPSTREAM_FAILED,
                        "the engine's answer is too long",
                        verdict=Verdict.MAY_HAVE_RUN,
                    )
        return status, bytes(data)


def _check_status(status: int, message: str) -> None:
    if status != OK_STATUS:
        raise BuckthornstileError(
            ErrorCode.UPSTREAM_FAILED,
            f"{message}: status {status}",
            verdict=Verdict.MAY_HAVE_RUN,
        )


def make_engine(base_url: str) -> HttpEngine:
    """Makes the port to the model engine that listens at a URL.

    Args:
        base_url: Where it listens, as ``http://IP:port``.

    Returns:
        The port. It connects at its first call.

    Example:
        >>> make_engine("http://127.0.0.1:9000/").base_url
        'http://127.0.0.1:9000'
    """
    return HttpEngine(base_url.rstrip("/"))
