"""Tests of admission: fair shares, limits and release of capacity."""

import asyncio
from collections import Counter

import pytest

from buckthornstile.api import AdmissionController
from buckthornstile.base import BuckthornstileError, ErrorCode, RequestClass
from buckthornstile.configuration import Account

SERVICE = "desk"


def make_controller(limit, **options):
    loop = asyncio.get_running_loop()
    options = {"maximum_open": 1000, **options}
    return AdmissionController(lambda service: limit, loop.time, **options)


async def acquire(
    controller, account, number, *, seconds=5.0, request_class=RequestClass.INTERACTIVE
):
    await controller.acquire(
        SERVICE,
        account,
        request_class,
        f"{account.name}-{number}",
        cost=1.0,
        deadline=asyncio.get_running_loop().time() + seconds,
    )


def test_account_with_many_calls_leaves_other_account_its_share():
    """Guards against an account that starves others by queueing many calls first."""

    async def run():
        controller = make_controller(2)
        busy, quiet = Account(name="busy"), Account(name="quiet")
        served = Counter()
        order = []

        async def call(account, number):
            await acquire(controller, account, number)
            order.append(account.name)
            await asyncio.sleep(0.002)
            controller.release(SERVICE, account.name)
            served[account.name] += 1

        calls = [call(busy, number) for number in range(100)]
        calls += [call(quiet, number) for number in range(10)]
        await asyncio.gather(*calls)
        return served, order

    served, order = asyncio.run(run())
    assert served == {"busy": 100, "quiet": 10}
    # With equal weights, every other admission belongs to the quiet account.
    assert max(i for i, name in enumerate(order) if name == "quiet") < 40


def test_exceeded_limit_raises_error_with_its_code():
    """Guards against calls that are queued above a limit or past their deadline."""

    async def run():
        controller = make_controller(1, maximum_open=3)
        account = Account(name="mill", maximum_open=2)
        await acquire(controller, account, 0)
        queued = asyncio.create_task(acquire(controller, account, 1, seconds=0.3))
        await asyncio.sleep(0.01)
        with pytest.raises(BuckthornstileError) as caught:
            await acquire(controller, account, 2)
        assert caught.value.code is ErrorCode.QUEUE_FULL
        assert caught.value.retry_after
        with pytest.raises(BuckthornstileError) as caught:
            await queued
        assert caught.value.code is ErrorCode.DEADLINE_PASSED
        controller.release(SERVICE, account.name)
        assert controller.open_calls == 0
        await acquire(controller, account, 3)

    asyncio.run(run())


def test_cancelled_queued_call_holds_no_capacity():
    """Guards against capacity that is lost when a caller disconnects while queued."""

    async def run():
        controller = make_controller(1)
        account = Account(name="mill")
        await acquire(controller, account, 0)
        queued = [
            asyncio.create_task(acquire(controller, account, number))
            for number in range(1, 4)
        ]
        await asyncio.sleep(0.01)
        queued[0].cancel()
        await asyncio.sleep(0.01)
        controller.release(SERVICE, account.name)
        await queued[1]
        controller.release(SERVICE, account.name)
        await queued[2]
        controller.release(SERVICE, account.name)
        assert controller.open_calls == 0

    asyncio.run(run())
