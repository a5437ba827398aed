"""Operators change the configuration concurrently."""

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


def test_concurrent_changes_of_two_operators_are_applied_or_refused(tmp_path):
    """Two operators apply different sheets based on the same revision.

    In the second round a key is withdrawn at the same time. Each command must either
    create a revision of its own or fail with a conflict.
    """

    async def scenario(harness):
        before = len(await harness.sync_revision())
        results = []
        # Slow appends let all commands read the same revision before any change is
        # in the store.
        harness.store.add_fault("slow", target="append", seconds=1.0)
        for round_number in range(2):
            sheets = []
            for operator in ("ann", "ben"):
                sheet = tmp_path / f"{operator}-{round_number}.csv"
                weight = {"ann": 2, "ben": 3}[operator] + 2 * round_number
                sheet.write_text(
                    SHEET.format(weight=weight, other=f"{operator}{round_number}")
                )
                sheets.append(str(sheet))
            commands = [
                harness.run_command("config", "apply", sheet, "--store_timeout=5")
                for sheet in sheets
            ]
            if round_number == 1:
                commands.append(
                    harness.run_command(
                        "keys", "withdraw", "mill-key", "--store_timeout=5"
                    )
                )
            results += await asyncio.gather(*commands)
        harness.store.clear_faults()
        codes = {code for code, _ in results}
        assert codes <= {ExitCode.OK, ExitCode.CONFLICT}
        accepted_revisions = [
            output["revision"]
            for code, output in results
            if code == 0 and output["changed"]
        ]
        # Each accepted command created one revision, and there are no others.
        changes = await harness.sync_revision()
        revisions = [change["revision"] for change in changes[before:]]
        assert (
            sorted(accepted_revisions)
            == revisions
            == list(range(before + 1, before + 1 + len(revisions)))
        )
        refusals = [output["code"] for code, output in results if code]
        assert set(refusals) <= {"configuration.conflict"}
        await check_in_effect(harness, changes[-1])

    async def check_in_effect(harness, last_change):
        _, shown = await harness.run_command("config", "show")
        assert shown["revision"] == last_change["revision"]
        for entry in harness.entries:
            await harness.wait_until(
                lambda e=entry: (
                    harness.read_status(e)["configuration"]["revision"]
                    == last_change["revision"]
                ),
                "the last revision is in effect",
                timeout=5.0,
            )
        keys = [item for item in shown["items"] if item["name"] == "mill-key"]
        assert keys[0]["withdrawn"] is True

    with DeploymentHarness(services=1, entries=2) as harness:
        asyncio.run(scenario(harness))
