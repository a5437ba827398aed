"""TLS between processes; the certificates here are for tests only."""

import asyncio
import pathlib

import pytest

from buckthornstile.base import BuckthornstileError, Role
from buckthornstile.wire import (
    Goodbye,
    Identity,
    PeerServer,
    dial_peer,
    make_client_context,
    make_server_context,
)

FOLDER = pathlib.Path(__file__).with_name("certificates")
ENTRY = Identity("e1", Role.ENTRY, "i1", "bench-a")
AGENT = Identity("a1", Role.AGENT, "i2", "bench-b", "u1", "models")


def make_paths(name):
    files = (f"{name}.pem", f"{name}.key", f"{name}-authority.pem")
    return [str(FOLDER / file) for file in files]


async def echo(connection):
    connection.send(await connection.receive())
    await connection.receive()


async def exchange(server_context, client_context):
    server = PeerServer(
        AGENT,
        "secret",
        on_connection=echo,
        on_refusal=lambda error: None,
        ssl_context=server_context,
    )
    server.listen(0, "127.0.0.1")
    port = next(iter(server._sockets.values())).getsockname()[1]
    try:
        connection = await dial_peer(
            "127.0.0.1", port, ENTRY, "secret", ssl_context=client_context
        )
        connection.send(Goodbye("over TLS"))
        answer = await connection.receive()
        connection.close()
        return answer
    finally:
        server.stop()


def test_peers_of_one_authority_talk():
    right = make_paths("right")
    answer = asyncio.run(
        exchange(make_server_context(*right), make_client_context(*right))
    )
    assert answer == Goodbye("over TLS")


@pytest.mark.parametrize(
    ("server", "client"), [("right", "wrong"), ("wrong", "right"), ("right", None)]
)
def test_peers_without_a_common_authority_do_not(server, client):
    client_context = make_client_context(*make_paths(client)) if client else None
    with pytest.raises(BuckthornstileError):
        asyncio.run(exchange(make_server_context(*make_paths(server)), client_context))
