"""A call with an idempotency key runs once, whichever entries receive it."""

import asyncio

import pytest

from buckthornstile.api import CallDeduplicator
from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.messages import Response
from buckthornstile.platform import StoreClient
from standins.server import listen
from standins.store import make_application

ACCOUNT = "mill"


class DeduplicationSetup:
    """Two deduplicators on one store, as of two entries; counts executed calls."""

    def __init__(self, deduplicator_type=CallDeduplicator):
        self.application = make_application()
        port = listen(self.application, "127.0.0.1", 0)
        self.faults = self.application.faults
        self.deduplicators = [
            deduplicator_type(StoreClient(f"127.0.0.1:{port}"), parts=2)
            for _ in range(2)
        ]
        self.runs = 0

    async def attempt(self, entry, *, key="blade-7", error=None, seconds=0.0):
        async def work():
            await asyncio.sleep(seconds)
            if error is not None:
                raise error
            self.runs += 1
            return Response(200, b"done")

        return await self.deduplicators[entry].run(ACCOUNT, key, work)

    async def expect_rejection(self, entry, **options):
        """Attempts a call that must be rejected, and returns its error."""
        with pytest.raises(BuckthornstileError) as caught:
            await self.attempt(entry, **options)
        return caught.value


def run_scenario(scenario, **options):
    async def run():
        setup = DeduplicationSetup(**options)
        await scenario(setup)
        return setup

    return asyncio.run(run())


def test_same_entry_returns_cached_response_to_retry():
    """Guards against a second run when a retry arrives during or after the first."""

    async def scenario(setup):
        first, second = await asyncio.gather(
            setup.attempt(0, seconds=0.1), setup.attempt(0)
        )
        assert first.body == second.body == b"done"
        assert (await setup.attempt(0)).body == b"done"

    assert run_scenario(scenario).runs == 1


def test_other_entry_rejects_call_that_ran():
    """Guards against a second run when a retry reaches another entry."""

    async def scenario(setup):
        await setup.attempt(0)
        error = await setup.expect_rejection(1)
        assert error.code is ErrorCode.DUPLICATE_IN_FLIGHT
        assert error.verdict is Verdict.MAY_HAVE_RUN

    assert run_scenario(scenario).runs == 1


def test_call_that_was_not_run_may_run_at_other_entry():
    """Guards against a claim that is not released after a run failed with NOT_RUN."""

    not_run = BuckthornstileError(ErrorCode.NO_UPSTREAM)

    async def scenario(setup):
        for entry in (0, 1, 0):
            assert await setup.expect_rejection(entry, error=not_run) is not_run
        assert (await setup.attempt(1)).body == b"done"
        assert (await setup.expect_rejection(0)).verdict is Verdict.MAY_HAVE_RUN

    assert run_scenario(scenario).runs == 1


def test_call_that_may_have_run_is_not_run_again():
    """Guards against a second run after the connection to the upstream was lost."""

    lost = BuckthornstileError(ErrorCode.UPSTREAM_FAILED, verdict=Verdict.MAY_HAVE_RUN)

    async def scenario(setup):
        assert await setup.expect_rejection(0, error=lost) is lost
        assert await setup.expect_rejection(0) is lost
        assert (await setup.expect_rejection(1)).verdict is Verdict.MAY_HAVE_RUN

    assert run_scenario(scenario).runs == 0


@pytest.mark.parametrize("entries", [(0, 1), (1, 0)])
def test_concurrent_attempts_at_two_entries_run_once(entries):
    """Guards against two runs when two entries claim the same call concurrently."""

    async def scenario(setup):
        outcomes = await asyncio.gather(
            *[setup.attempt(entry, seconds=0.05) for entry in entries],
            return_exceptions=True,
        )
        errors = [
            outcome for outcome in outcomes if isinstance(outcome, BuckthornstileError)
        ]
        assert len(errors) == 1

    assert run_scenario(scenario).runs == 1


def test_append_is_retried_after_lost_store_response():
    """Guards against a rejection if only the response to the claim's append is lost."""

    async def scenario(setup):
        setup.faults.add({"kind": "lose_answer", "target": "append", "count": 2})
        assert (await setup.attempt(0)).body == b"done"
        assert (await setup.expect_rejection(1)).verdict is Verdict.MAY_HAVE_RUN

    assert run_scenario(scenario).runs == 1


def test_call_is_rejected_as_may_have_run_if_store_is_unavailable():
    """Guards against running a call that cannot be claimed.

    A call with a generated key needs no claim and still runs.
    """

    async def scenario(setup):
        setup.faults.add({"kind": "busy", "target": "append"})
        error = await setup.expect_rejection(0)
        assert error.code is ErrorCode.PLATFORM_UNAVAILABLE
        assert error.verdict is Verdict.MAY_HAVE_RUN
        assert (await setup.attempt(0, key="auto-1")).body == b"done"

    assert run_scenario(scenario).runs == 1


class UnverifiedClaimDeduplicator(CallDeduplicator):
    """Treats every acknowledged append as a successful claim."""

    async def claim(self, digest):
        await self._append(digest, 0, b"mine")
        return 0


def test_unverified_claim_runs_call_twice():
    """Shows that the claim must be read back.

    The store acknowledges a duplicate append, so both entries believe that they own
    the call.
    """

    async def scenario(setup):
        await setup.attempt(0)
        await setup.attempt(1)

    assert (
        run_scenario(scenario, deduplicator_type=UnverifiedClaimDeduplicator).runs == 2
    )
