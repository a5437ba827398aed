"""A key is withdrawn while its streams run and an entry cannot read the store."""

import asyncio

from buckthornstile.commands import ExitCode
from standins.tcp_proxy import FaultyProxy
from tests.harness import PROPAGATION_LIMIT, DeploymentHarness, make_lot
from tests.invariants import list_request_times

KEY_CODES = {"key.withdrawn", "key.unknown", "process.configuration_old"}
SLOW_ENGINE = {"event_seconds": 0.02}


def test_a_withdrawn_key_stops_also_at_an_entry_cut_off_from_the_store():
    async def scenario(harness, proxy):
        caller = harness.make_caller(attempts=1)
        streams = [
            asyncio.create_task(harness.complete(caller, tokens=3000, stream=True))
            for _ in range(6)
        ]
        await harness.until(
            lambda: all(len(c.answer) > 5 for c in harness.observations.calls),
            "all run",
        )
        lot = asyncio.create_task(
            harness.run_lot(
                harness.make_trainer([harness.entries["entry-0"].url]),
                make_lot("lot-0", tokens=3000),
            )
        )
        await harness.until(lambda: harness.count_runs() > 6, "a lot runs")
        singles = [
            harness.make_caller(entries=[u], attempts=1) for u in harness.entry_urls
        ]
        turns = [lambda c=single: harness.look_up(c) for single in singles]
        async with harness.load(turns[0]) as first, harness.load(turns[1]) as second:
            await harness.until(
                lambda: {c.status for c in [*first, *second]} == {200}, "calls run"
            )
            proxy.disconnect()
            code, _ = await harness.run_command("keys", "withdraw", "mill-key")
            assert code == ExitCode.OK
            deadline = harness.find_append('"withdrawn":true') + PROPAGATION_LIMIT
            ended = await asyncio.gather(*streams)
            await asyncio.gather(lot, return_exceptions=True)
            await harness.until(
                lambda: min(first[-1].began, second[-1].began) > deadline,
                "both entries are asked after the bound",
            )
        assert all(call.ended < deadline for call in ended)
        assert {call.code for call in ended} <= KEY_CODES
        late = [c for c in [*first, *second] if c.began > deadline]
        assert {call.code for call in late} <= KEY_CODES
        assert {call.verdict for call in late} == {"not_run"}
        assert lot.exception().code.value in KEY_CODES
        harness.check()
        for name in harness.workers:
            assert not [
                at
                for at in list_request_times(harness.observations, name)
                if at > deadline
            ]

    with (
        DeploymentHarness(
            engines=1, services=1, entries=1, engine_flags=SLOW_ENGINE
        ) as harness,
        FaultyProxy(harness.store.address, harness.store.port) as proxy,
    ):
        harness.add_entry(
            "entry-1", "bench-b", store_address=f"{proxy.address}:{proxy.port}"
        )
        harness.wait_until_ready()
        asyncio.run(scenario(harness, proxy))
