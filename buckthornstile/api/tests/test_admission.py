"""Places are shared by weight, bounded, and given back."""

import asyncio
from collections import Counter

import pytest

from buckthornstile.api import AdmissionController
from buckthornstile.base import BuckthornstileError, ErrorCode, RequestClass
from buckthornstile.configuration import Account

DESK = "desk"


def make_admission(places, **options):
    loop = asyncio.get_running_loop()
    options = {"maximum_open": 1000, **options}
    return AdmissionController(lambda service: places, loop.time, **options)


async def enter(
    admission, account, number, *, seconds=5.0, name=RequestClass.INTERACTIVE
):
    await admission.enter(
        DESK,
        account,
        name,
        f"{account.name}-{number}",
        cost=1.0,
        deadline=asyncio.get_running_loop().time() + seconds,
    )


def test_a_flood_leaves_others_their_share():
    async def go():
        admission = make_admission(2)
        flood, quiet = Account(name="flood"), Account(name="quiet")
        served = Counter()
        order = []

        async def call(account, number):
            await enter(admission, account, number)
            order.append(account.name)
            await asyncio.sleep(0.002)
            admission.leave(DESK, account.name)
            served[account.name] += 1

        calls = [call(flood, number) for number in range(100)]
        calls += [call(quiet, number) for number in range(10)]
        await asyncio.gather(*calls)
        return served, order

    served, order = asyncio.run(go())
    assert served == {"flood": 100, "quiet": 10}
    # By its share, every other place is the quiet account's.
    assert max(i for i, name in enumerate(order) if name == "quiet") < 40


def test_bounds_are_coded_refusals():
    async def go():
        admission = make_admission(1, maximum_open=3)
        account = Account(name="mill", maximum_open=2)
        await enter(admission, account, 0)
        waiting = asyncio.create_task(enter(admission, account, 1, seconds=0.3))
        await asyncio.sleep(0.01)
        with pytest.raises(BuckthornstileError) as caught:
            await enter(admission, account, 2)
        assert caught.value.code is ErrorCode.QUEUE_FULL
        assert caught.value.retry_after
        with pytest.raises(BuckthornstileError) as caught:
            await waiting
        assert caught.value.code is ErrorCode.DEADLINE_PASSED
        admission.leave(DESK, account.name)
        assert admission.open == 0
        await enter(admission, account, 3)

    asyncio.run(go())


def test_a_caller_who_leaves_the_queue_holds_no_place():
    async def go():
        admission = make_admission(1)
        account = Account(name="mill")
        await enter(admission, account, 0)
        waiting = [
            asyncio.create_task(enter(admission, account, number))
            for number in range(1, 4)
        ]
        await asyncio.sleep(0.01)
        waiting[0].cancel()
        await asyncio.sleep(0.01)
        admission.leave(DESK, account.name)
        await waiting[1]
        admission.leave(DESK, account.name)
        await waiting[2]
        admission.leave(DESK, account.name)
        assert admission.open == 0

    asyncio.run(go())
