"""A key is withdrawn while its streams run and an entry cannot reach the store."""

import asyncio

from buckthornstile.commands import ExitCode
from standins.tcp_proxy import FaultyProxy
from tests.harness import PROPAGATION_LIMIT, DeploymentHarness, make_lot
from tests.invariants import list_request_times

REFUSAL_CODES = {"key.withdrawn", "key.unknown", "process.configuration_old"}
SLOW_ENGINE_FLAGS = {"event_seconds": 0.02}


def test_withdrawn_key_is_refused_by_entry_without_store_connection():
    """A key is withdrawn while its streams and a lot run.

    One entry has lost its connection to the store and can't read the withdrawal.
    """

    async def scenario(harness, proxy):
        caller = harness.make_caller(attempts=1)
        streams = [
            asyncio.create_task(
                harness.send_completion(caller, tokens=3000, stream=True)
            )
            for _ in range(6)
        ]
        await harness.wait_until(
            lambda: all(len(c.response) > 5 for c in harness.observations.calls),
            "all streams have started",
        )
        lot = asyncio.create_task(
            harness.run_lot(
                harness.make_trainer([harness.entries["entry-0"].url]),
                make_lot("lot-0", tokens=3000),
            )
        )
        await harness.wait_until(
            lambda: harness.count_current_runs() > 6, "the lot has started"
        )
        callers = [
            harness.make_caller(entries=[url], attempts=1) for url in harness.entry_urls
        ]
        lookups = [lambda c=client: harness.send_lookup(c) for client in callers]
        async with (
            harness.run_background_load(lookups[0]) as first,
            harness.run_background_load(lookups[1]) as second,
        ):
            await harness.wait_until(
                lambda: {c.status for c in [*first, *second]} == {200}, "calls succeed"
            )
            proxy.disconnect()
            code, _ = await harness.run_command("keys", "withdraw", "mill-key")
            assert code == ExitCode.OK
            deadline = harness.find_append_time('"withdrawn":true') + PROPAGATION_LIMIT
            stream_records = await asyncio.gather(*streams)
            await asyncio.gather(lot, return_exceptions=True)
            await harness.wait_until(
                lambda: min(first[-1].started_at, second[-1].started_at) > deadline,
                "both entries get calls after the limit",
            )
        assert all(call.finished_at < deadline for call in stream_records)
        assert {call.error_code for call in stream_records} <= REFUSAL_CODES
        late = [c for c in [*first, *second] if c.started_at > deadline]
        assert {call.error_code for call in late} <= REFUSAL_CODES
        assert {call.verdict for call in late} == {"not_run"}
        assert lot.exception().code.value in REFUSAL_CODES
        harness.collect_and_check()
        for name in harness.workers:
            assert not [
                at
                for at in list_request_times(harness.observations, name)
                if at > deadline
            ]

    with (
        DeploymentHarness(
            engines=1, services=1, entries=1, engine_flags=SLOW_ENGINE_FLAGS
        ) as harness,
        FaultyProxy(harness.store.address, harness.store.port) as proxy,
    ):
        harness.add_entry(
            "entry-1", "bench-b", store_address=f"{proxy.address}:{proxy.port}"
        )
        harness.wait_until_ready()
        asyncio.run(scenario(harness, proxy))
