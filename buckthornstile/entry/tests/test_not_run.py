"""Requests that reached no upstream are answered with 503 by both listeners."""

import socket

import pytest

from buckthornstile.api import make_api_error
from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.entry.tests.in_process import (
    PLAIN_SERVICE,
    START_INTERVAL_MS,
    InProcessDeployment,
    with_deployment,
)


@pytest.mark.parametrize("target", ["/orders/1", "/once/1", "/lines/1"])
def test_deadline_that_passes_while_connecting_is_answered_with_503(
    target: str,
) -> None:
    """An attempt that had not sent a byte counted as one that may have run (504)."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        once = deployment.routes[1]
        stream = once | {"name": "lines", "pathPrefix": "/lines/", "streaming": True}
        deployment.put_configuration(routes=[*deployment.routes, stream])
        worker = deployment.add_worker("w1", PLAIN_SERVICE)
        entry = await deployment.add_entry("e1")
        with socket.socket() as listener:
            # With a full backlog the kernel drops SYN packets: connecting takes long.
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            worker.write_registration(
                born=worker.state.started_at_ms + START_INTERVAL_MS,
                sequence=9,
                address=f"{address[0]}:{address[1]}",
            )
            await deployment.wait_for(
                lambda: any(
                    upstream.port == address[1]
                    for upstream in entry.view.upstreams.values()
                )
            )
            response = await deployment.send_simple_request(
                "e1", "r1", target=target, headers=(("Deadline-Ms", "150"),)
            )
            for filler in fillers:
                filler.close()
        assert response.status == 503

    test()


@with_deployment
async def test_deadline_that_passes_while_a_request_runs_is_not_503(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE, work_seconds=1.0)
    await deployment.add_entry("e1")
    for target in ("/orders/1", "/once/1"):
        response = await deployment.send_simple_request(
            "e1", "r1", target=target, headers=(("Deadline-Ms", "200"),)
        )
        assert response.status == 504


@pytest.mark.parametrize(
    "code", [ErrorCode.DEADLINE_PASSED, ErrorCode.UPSTREAM_FAILED, ErrorCode.INTERNAL]
)
def test_api_answers_what_has_not_run_with_503(code: ErrorCode) -> None:
    """The API answered with 500, 502 or 504, as if the request might have run."""
    assert make_api_error(BuckthornstileError(code)).status == 503


@pytest.mark.parametrize("code", [ErrorCode.NO_UPSTREAM, ErrorCode.QUEUE_FULL])
def test_api_does_not_promise_that_a_request_has_not_run(code: ErrorCode) -> None:
    """The API answered with 503 although the verdict was that it may have run."""
    error = BuckthornstileError(code, verdict=Verdict.MAY_HAVE_RUN)
    assert make_api_error(error).status == 502
