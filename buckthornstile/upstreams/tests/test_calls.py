import asyncio
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tornado.httpclient import AsyncHTTPClient

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.ports import AnswerHead, AnswerPart
from buckthornstile.upstreams import make_engine, make_service
from buckthornstile.upstreams.tests.upstreams import (
    RawUpstream,
    collect,
    is_whole,
    join_parts,
    make_call,
    serve,
)
from standins.engine import make_application as make_engine_standin
from standins.engine import make_token
from standins.service import make_application as make_service_standin

scenarios("calls.feature")

OK = b"HTTP/1.1 200 OK\r\n"
RAW_ANSWERS = {
    "nothing": b"",
    "noise": b"\xff\x00 noise\r\n\r\n",
    "an endless head": OK + b"X: " + b"a" * 200_000,
    "no length": OK + b"\r\nhalf",
    "a false length": OK + b"Content-Length: many\r\n\r\nhalf",
    "two lengths": OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nhalf",
    "a broken chunk": OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n",
}


async def send(upstream, fault):
    stream = upstream == "a streamed engine"
    timeout = 0.2 if fault == "hang" else 5.0
    if upstream == "no upstream":
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        return await collect(make_service(f"http://127.0.0.1:{port}"), make_call())
    if upstream == "a plain service":
        url = serve(make_service_standin())
        port, path = make_service(url), "/order"
    else:
        url = serve(make_engine_standin())
        port, path = make_engine(url), "/v1/completions"
    if fault != "none":
        body = json.dumps({"kind": fault, "value": 3, "seconds": 2})
        await AsyncHTTPClient().fetch(url + "/control/faults", method="POST", body=body)
    return await collect(port, make_call(path=path, stream=stream, timeout=timeout))


def run(coroutine):
    try:
        return {"events": asyncio.run(coroutine), "error": None}
    except BuckthornstileError as error:
        return {"events": [], "error": error}


@given(parsers.parse("{upstream} with the fault {fault}"), target_fixture="target")
def choose_target(upstream, fault):
    return upstream, fault


@when("a request is sent to it", target_fixture="outcome")
def send_request(target):
    return run(send(*target))


@when(parsers.parse("an upstream sends {name} and closes"), target_fixture="outcome")
def send_raw(name):
    async def call():
        url = await RawUpstream(RAW_ANSWERS[name]).start()
        return await collect(make_service(url), make_call(timeout=2.0))

    return run(call())


@then(parsers.parse("the call ends with {code} and the verdict {verdict}"))
def check_error(outcome, code, verdict):
    error = outcome["error"]
    assert error is not None, outcome["events"]
    assert (error.code, error.verdict) == (ErrorCode(code), Verdict(verdict))


@then("the answer is whole and names the request")
def check_whole(outcome, target):
    events = outcome["events"]
    assert events[0].request_id == "e1/0" and is_whole(events)
    data = join_parts(events)
    if target[0] == "a streamed engine":
        assert data.endswith(b"data: [DONE]\n\n")
    elif target[0] == "a whole engine":
        expected = [make_token("set a tooth", 0, index) for index in range(20)]
        assert json.loads(data)["tokens"] == expected
    else:
        assert json.loads(data)["run"] == 1


def test_no_cut_of_an_answer_passes_as_whole():
    chunked = (
        OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n3\r\nend\r\n0\r\n\r\n"
    )
    fixed = OK + b"Content-Length: 7\r\n\r\nhalfend"

    async def call(answer):
        url = await RawUpstream(answer).start()
        return await collect(make_service(url), make_call())

    for answer in (chunked, fixed):
        assert join_parts(asyncio.run(call(answer))) == b"halfend"
        for cut in range(len(answer)):
            with pytest.raises(BuckthornstileError) as raised:
                asyncio.run(call(answer[:cut]))
            assert raised.value.verdict is Verdict.MAY_HAVE_RUN, cut


def test_a_doubled_answer_never_reaches_the_next_request():
    answer = OK + b"Content-Length: 2\r\n\r\n"

    async def call():
        upstream = RawUpstream(answer + b"ok" + answer + b"no", closes=False)
        service = make_service(await upstream.start())
        return [join_parts(await collect(service, make_call(n))) for n in range(3)]

    assert asyncio.run(call()) == [b"ok", b"ok", b"ok"]


NAMED = OK + b"X-Request-Id: REQUEST-ID\r\nContent-Length: 2\r\n\r\n"


def test_repeatable_calls_share_a_connection_that_names_its_requests():
    async def call(answer, idempotent):
        upstream = RawUpstream(answer, closes=False)
        service = make_service(await upstream.start())
        for number in range(3):
            request = make_call(number, idempotent=idempotent)
            assert join_parts(await collect(service, request)) == b"ok"
        await service.close()
        return upstream.connections

    assert asyncio.run(call(NAMED + b"ok", True)) == 1
    assert asyncio.run(call(NAMED + b"ok", False)) == 3
    assert asyncio.run(call(OK + b"Content-Length: 2\r\n\r\nok", True)) == 3


def test_a_doubled_answer_on_a_shared_connection_is_never_taken_for_another():
    async def call():
        upstream = RawUpstream(NAMED + b"ok" + NAMED + b"no", closes=False)
        service = make_service(await upstream.start())
        answers = []
        for number in range(6):
            try:
                request = make_call(number, idempotent=True)
                answers.append(join_parts(await collect(service, request)))
            except BuckthornstileError as error:
                answers.append(error.code)
        return answers

    assert set(asyncio.run(call())) <= {b"ok", ErrorCode.ANSWER_CROSSED}


def test_an_order_is_written_once_whatever_becomes_of_its_connection():
    async def call():
        upstream = RawUpstream(OK + b"Content-Length: 2\r\n\r\nok", closes=False)
        service = make_service(await upstream.start())
        await collect(service, make_call(0))
        upstream.answer, upstream.closes = b"", True
        with pytest.raises(BuckthornstileError):
            await collect(service, make_call(1))
        return upstream.requests

    assert asyncio.run(call()) == 2


def test_a_slow_reader_holds_the_upstream_back():
    size = 48 << 20

    async def call():
        head = OK + f"Content-Length: {size}\r\n\r\n".encode()
        upstream = RawUpstream(head + b"x" * size)
        service = make_service(await upstream.start())
        received, held_back = 0, None
        async for event in service.call(make_call(timeout=30)):
            if not isinstance(event, AnswerPart):
                continue
            received += len(event.data)
            if held_back is None:
                # Enough turns of the loop to read the answer twice over.
                for _ in range(2 * size // 65536):
                    await asyncio.sleep(0)
                held_back = not upstream.all_written.is_set()
        return received, held_back

    assert asyncio.run(call()) == (size, True)


def test_cancel_ends_the_call_and_the_engines_work():
    async def call():
        engine = make_engine(serve(make_engine_standin()))
        request = make_call(path="/v1/completions", stream=True, tokens=100_000)
        with pytest.raises(BuckthornstileError) as raised:
            async for event in engine.call(request):
                if isinstance(event, AnswerHead):
                    assert (await engine.read_state()).running == 1
                    await engine.cancel(request.request_id)
        return raised.value, (await engine.read_state()).running

    error, running = asyncio.run(call())
    assert (error.code, running) == (ErrorCode.CANCELLED, 0)


def test_a_call_that_is_cancelled_before_it_is_sent_has_not_run():
    async def call():
        upstream = RawUpstream(OK + b"Content-Length: 2\r\n\r\nok")
        service = make_service(await upstream.start())
        running = asyncio.create_task(collect(service, make_call()))
        await asyncio.sleep(0)
        await service.cancel(make_call().request_id)
        with pytest.raises(BuckthornstileError) as raised:
            await running
        return raised.value, upstream.requests

    error, requests = asyncio.run(call())
    assert (error.code, error.verdict) == (ErrorCode.CANCELLED, Verdict.NOT_RUN)
    assert requests == 0


def test_a_line_break_in_a_path_is_never_sent():
    async def call():
        upstream = RawUpstream(OK + b"Content-Length: 2\r\n\r\nok")
        service = make_service(await upstream.start())
        return await collect(service, make_call(path="/a\r\nX-Key: b"))

    with pytest.raises(BuckthornstileError) as raised:
        asyncio.run(call())
    error = raised.value
    assert (error.code, error.verdict) == (ErrorCode.HEADER_INVALID, Verdict.NOT_RUN)


@pytest.mark.parametrize(
    ("fault", "term", "code"),
    [
        (None, 7, None),
        (None, 2, ErrorCode.TERM_OLD),
        ("swap_fails", 7, ErrorCode.UPSTREAM_FAILED),
    ],
)
def test_an_order_to_load_weights_is_done_or_refused(fault, term, code):
    async def call():
        url = serve(make_engine_standin())
        engine = make_engine(url)
        await engine.load_version(2, term=5)
        if fault:
            body = json.dumps({"kind": fault})
            await AsyncHTTPClient().fetch(
                url + "/control/faults", method="POST", body=body
            )
        try:
            await engine.load_version(3, term=term)
        except BuckthornstileError as error:
            return error.code, (await engine.read_state()).version
        return None, (await engine.read_state()).version

    assert asyncio.run(call()) == (code, 3 if code is None else 2)
