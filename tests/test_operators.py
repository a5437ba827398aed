"""Operators change the configuration at the same time."""

import asyncio

from buckthornstile.commands import ExitCode
from tests.harness import DeploymentHarness

SHEET = """kind,name,account,path,service,idempotent,maximum_age,weight
account,mill,,,,,,{weight}
account,{other},,,,,,1
key,mill-key,mill,,,,,
rule,completions,*,/v1/completions,geometry-models,yes,2,
rule,orders,*,/orders,shop-desk,no,,
rule,private,mill,/private,shop-desk,no,,
rule,lookup,*,/lookup,shop-desk,yes,,
"""


def test_two_operators_race(tmp_path):
    async def scenario(harness):
        before = len(await harness.follow_history())
        outcomes = []
        # All read the same revision before any of their changes is in the store.
        harness.store.add_fault("slow", target="append", seconds=1.0)
        for turn in range(2):
            sheets = []
            for operator in ("ann", "ben"):
                sheet = tmp_path / f"{operator}-{turn}.csv"
                weight = {"ann": 2, "ben": 3}[operator] + 2 * turn
                sheet.write_text(SHEET.format(weight=weight, other=f"{operator}{turn}"))
                sheets.append(str(sheet))
            race = [
                harness.run_command("config", "apply", sheet, "--store_timeout=5")
                for sheet in sheets
            ]
            if turn == 1:
                race.append(
                    harness.run_command(
                        "keys", "withdraw", "mill-key", "--store_timeout=5"
                    )
                )
            outcomes += await asyncio.gather(*race)
        harness.store.clear_faults()
        codes = {code for code, _ in outcomes}
        assert codes <= {ExitCode.OK, ExitCode.CONFLICT}
        won = [a["revision"] for code, a in outcomes if code == 0 and a["changed"]]
        # Each accepted command has a revision of its own, and no other exists.
        changes = await harness.follow_history()
        made = [change["revision"] for change in changes[before:]]
        assert sorted(won) == made == list(range(before + 1, before + 1 + len(made)))
        lost = [answer["code"] for code, answer in outcomes if code]
        assert set(lost) <= {"configuration.conflict"}
        await check_in_force(harness, changes[-1])

    async def check_in_force(harness, last):
        _, shown = await harness.run_command("config", "show")
        assert shown["revision"] == last["revision"]
        for entry in harness.entries:
            await harness.until(
                lambda e=entry: (
                    harness.read_status(e)["configuration"]["revision"]
                    == last["revision"]
                ),
                "it is in force",
                seconds=5.0,
            )
        keys = [item for item in shown["items"] if item["name"] == "mill-key"]
        assert keys[0]["withdrawn"] is True

    with DeploymentHarness(services=1, entries=2) as harness:
        asyncio.run(scenario(harness))
