"""Handshake, framing and refusal of strangers on a real loopback socket."""

import asyncio

import pytest
from tornado.tcpclient import TCPClient

from buckthornstile.base import BuckthornstileError, ErrorCode, Role
from buckthornstile.wire import (
    Connection,
    FrameParser,
    Goodbye,
    Identity,
    PeerServer,
    dial_peer,
    make_frame,
)

ENTRY = Identity("e1", Role.ENTRY, "i1", "bench-a")
AGENT = Identity("a1", Role.AGENT, "i2", "bench-b", "u1", "models")


async def echo(connection: Connection) -> None:
    while True:
        connection.send(await connection.receive())


def start_server(refusals):
    server = PeerServer(AGENT, "right", on_connection=echo, on_refusal=refusals.append)
    server.listen(0, "127.0.0.1")
    port = next(iter(server._sockets.values())).getsockname()[1]
    return server, port


def test_both_ends_prove_the_secret_and_messages_pass():
    async def check():
        server, port = start_server([])
        connection = await dial_peer("127.0.0.1", port, ENTRY, "right")
        assert connection.peer == AGENT
        for number in range(50):
            connection.send(Goodbye(f"message {number}"))
        for number in range(50):
            assert await connection.receive() == Goodbye(f"message {number}")
        connection.close()
        server.stop()

    asyncio.run(check())


def test_a_wrong_secret_is_refused_and_counted():
    async def check():
        refusals = []
        server, port = start_server(refusals)
        with pytest.raises(BuckthornstileError) as caught:
            await dial_peer("127.0.0.1", port, ENTRY, "wrong")
        assert caught.value.code is ErrorCode.CONNECTION_LOST
        assert refusals[0].code is ErrorCode.PROOF_WRONG
        server.stop()

    asyncio.run(check())


@pytest.mark.parametrize(
    "garbage", [b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x08garbage!", b"\xff" * 64]
)
def test_garbage_on_the_port_harms_nobody_else(garbage):
    async def check():
        refusals = []
        server, port = start_server(refusals)
        good = await dial_peer("127.0.0.1", port, ENTRY, "right")
        stream = await TCPClient().connect("127.0.0.1", port)
        await stream.write(garbage)
        await stream.read_until_close()
        assert refusals[0].code is ErrorCode.FRAME_MALFORMED
        good.send(Goodbye("still here"))
        assert await good.receive() == Goodbye("still here")
        good.close()
        server.stop()

    asyncio.run(check())


def test_the_parser_gives_whole_frames_only_however_they_are_cut():
    data = b"".join(make_frame(bytes([n]) * (n + 1)) for n in range(20))
    for step in (1, 2, 3, 7, len(data)):
        parser = FrameParser()
        frames = []
        for start in range(0, len(data), step):
            frames += parser.feed(data[start : start + step])
        assert frames == [bytes([n]) * (n + 1) for n in range(20)]
