"""Connections between entry and worker break in the middle of a message."""

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

DISCONNECT_OFFSETS = (1, 3, 50, 400, 1900, 9000)
PADDING_BYTES = 1200  # so that an order is not read at once with its headers


@pytest.mark.parametrize("direction", [TO_TARGET, FROM_TARGET])
@pytest.mark.parametrize("worker_name", ["desk-0", "engine-0"])
def test_calls_succeed_after_connection_breaks(worker_name, direction):
    """A connection breaks after few or many bytes of a request or a response."""

    async def scenario(harness, proxy):
        caller = harness.make_caller()
        calls = [
            lambda: harness.place_order(caller, padding=PADDING_BYTES),
            lambda: harness.send_lookup(caller),
            lambda: harness.send_completion(caller),
            lambda: harness.send_completion(caller, stream=True),
        ]
        call_cycle = itertools.cycle(calls)
        for number, byte_count in enumerate(DISCONNECT_OFFSETS):
            async with harness.run_background_load(lambda: next(call_cycle)()):
                proxy.disconnect_after(byte_count, direction)
                await harness.wait_until(
                    lambda n=number: proxy.disconnect_count > n,
                    f"the connection breaks after {byte_count} bytes",
                )
            records = await asyncio.gather(*[send() for send in calls])
            assert [record.status for record in records] == [200] * 4
        harness.collect_and_check()

    with start_proxied_deployment() as (harness, proxies):
        asyncio.run(scenario(harness, proxies[worker_name]))


@contextlib.contextmanager
def start_proxied_deployment():
    """Starts a deployment whose workers are reached only through faulty proxies."""
    with DeploymentHarness(entries=1) as harness, contextlib.ExitStack() as stack:
        proxies = {}
        workers = (
            ("desk-0", PLAIN_SERVICE, ""),
            ("engine-0", MODEL_SERVICE, MODEL_NAME),
        )
        for name, service, models in workers:
            address = harness.allocate_address()
            port = find_free_port(address)
            proxy = proxies[name] = stack.enter_context(FaultyProxy(address, port))
            # add_worker() must allocate the same address, on which the port is free.
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


def find_free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def test_lot_completes_after_connection_breaks():
    async def scenario(harness, proxy):
        trainer = harness.make_trainer()
        lot = make_lot("lot-0", groups=2, samples=8, tokens=60)
        running = asyncio.create_task(harness.run_lot(trainer, lot))
        for number, byte_count in enumerate((700, 2500, 5000)):
            proxy.disconnect_after(byte_count, FROM_TARGET)
            await harness.wait_until(
                lambda n=number: proxy.disconnect_count > n,
                f"the connection breaks after {byte_count} bytes",
            )
        assert len(await running) == 16
        harness.collect_and_check()

    with start_proxied_deployment() as (harness, proxies):
        asyncio.run(scenario(harness, proxies["engine-0"]))
