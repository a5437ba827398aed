"""The helper itself: entries start though another program takes a port."""

import socket

from buckthornstile.entry.tests import in_process as helper
from buckthornstile.entry.tests.in_process import InProcessDeployment, with_deployment


@with_deployment
async def test_entry_starts_though_a_found_port_is_taken(
    deployment: InProcessDeployment,
) -> None:
    find_port = helper.find_port
    with socket.socket() as other:
        other.bind(("127.0.0.1", 0))
        other.listen()
        taken = [other.getsockname()[1]]
        helper.find_port = lambda: taken.pop() if taken else find_port()
        try:
            entry = await deployment.add_entry("e1")
        finally:
            helper.find_port = find_port
    assert not taken
    assert entry.is_ready()
