"""Start of an entry in the in-process deployment if one of its ports is taken."""

import socket

from buckthornstile.entry.tests import in_process
from buckthornstile.entry.tests.in_process import InProcessDeployment, with_deployment


@with_deployment
async def test_entry_starts_on_other_ports_if_one_is_taken(
    deployment: InProcessDeployment,
) -> None:
    find_free_port = in_process.find_free_port
    with socket.socket() as other:
        other.bind(("127.0.0.1", 0))
        other.listen()
        taken_ports = [other.getsockname()[1]]
        in_process.find_free_port = lambda: (
            taken_ports.pop() if taken_ports else find_free_port()
        )
        try:
            entry = await deployment.add_entry("e1")
        finally:
            in_process.find_free_port = find_free_port
    assert not taken_ports
    assert entry.is_ready()
