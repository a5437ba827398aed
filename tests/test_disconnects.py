"""Connections between entry and worker are cut in the middle of a message."""

import asyncio
import contextlib
import itertools
import socket

import pytest

from standins.tcp_proxy import FROM_TARGET, TO_TARGET, FaultyProxy
from tests.harness import (
    MODEL_NAME,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    DeploymentHarness,
    make_lot,
)

CUT_BYTES = (1, 3, 50, 400, 1900, 9000)
PADDING_BYTES = 1200  # makes a request longer than one read of its head


@pytest.mark.parametrize("direction", [TO_TARGET, FROM_TARGET])
@pytest.mark.parametrize("name", ["desk-0", "engine-0"])
def test_cut_at_several_bytes(name, direction):
    async def scenario(harness, proxy):
        caller = harness.make_caller()
        kinds = [
            lambda: harness.order(caller, padding=PADDING_BYTES),
            lambda: harness.look_up(caller),
            lambda: harness.complete(caller),
            lambda: harness.complete(caller, stream=True),
        ]
        turns = itertools.cycle(kinds)
        for number, count in enumerate(CUT_BYTES):
            async with harness.load(lambda: next(turns)()):
                proxy.disconnect_after(count, direction)
                await harness.until(
                    lambda n=number: proxy.disconnect_count > n, f"cut at {count}"
                )
            again = await asyncio.gather(*[call() for call in kinds])
            assert [call.status for call in again] == [200] * 4
        harness.check()

    with make_world() as (harness, proxies):
        asyncio.run(scenario(harness, proxies[name]))


@contextlib.contextmanager
def make_world():
    """Starts a world whose workers are reached by relays only."""
    with DeploymentHarness(entries=1) as harness, contextlib.ExitStack() as stack:
        proxies = {}
        workers = (
            ("desk-0", PLAIN_SERVICE, ""),
            ("engine-0", MODEL_SERVICE, MODEL_NAME),
        )
        for name, service, models in workers:
            address = harness.allocate_address()
            port = find_port(address)
            proxy = proxies[name] = stack.enter_context(FaultyProxy(address, port))
            harness._addresses -= 1
            harness.add_worker(
                name,
                "bench-a",
                service,
                models=models,
                port=port,
                advertise=f"{proxy.address}:{proxy.port}",
            )
        harness.wait_until_ready()
        yield harness, proxies


def find_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def test_cut_in_the_middle_of_a_lot():
    async def scenario(harness, proxy):
        trainer = harness.make_trainer()
        lot = make_lot("lot-0", groups=2, samples=8, tokens=60)
        running = asyncio.create_task(harness.run_lot(trainer, lot))
        for number, count in enumerate((700, 2500, 5000)):
            proxy.disconnect_after(count, FROM_TARGET)
            await harness.until(
                lambda n=number: proxy.disconnect_count > n, f"cut at byte {count}"
            )
        assert len(await running) == 16
        harness.check()

    with make_world() as (harness, proxies):
        asyncio.run(scenario(harness, proxies["engine-0"]))
