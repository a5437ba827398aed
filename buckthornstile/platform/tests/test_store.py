"""Tests of the store client against the stand-in store.

They cover conditional appends, duplicates, failed calls and dropped history.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.platform import (
    AppendConflictError,
    OffsetOutOfRangeError,
    Producer,
    StoreClient,
    decode_keyed_record,
    encode_keyed_record,
)
from standins.store import make_application


def run_with_store(test: Callable[[StoreClient, Any], Coroutine[Any, Any, None]]):
    async def run() -> None:
        application = make_application()
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(application)
        server.add_sockets(sockets)
        store = StoreClient(f"127.0.0.1:{sockets[0].getsockname()[1]}")
        try:
            await test(store, application)
        finally:
            store.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def test_appended_records_can_be_read() -> None:
    async def test(store: StoreClient, _: Any) -> None:
        assert await store.append("t", 0, [b"a", b"", b"ccc"]) == 0
        assert await store.append("t", 0, [b"d"]) == 3
        data = await store.read("t", 0, 1)
        assert data.records == ((1, b""), (2, b"ccc"), (3, b"d"))
        assert (data.end_offset, data.next_offset) == (4, 4)
        assert (await store.read("t", 0, 4, wait=0.05)).records == ()

    run_with_store(test)


def test_largest_record_can_be_read() -> None:
    """A record may be larger than the size that a read requests."""
    size = 8 << 20

    async def test(store: StoreClient, application: Any) -> None:
        application.log.max_record_bytes = size
        application.log.max_append_bytes = 2 * size
        reader = StoreClient(store.address, max_record_bytes=size)
        await store.append("t", 0, [b"x" * size], timeout=5.0)
        assert (await reader.read("t", 0, 0, timeout=5.0)).records == (
            (0, b"x" * size),
        )
        key = encode_keyed_record("k", b"x" * (size - 2))
        await store.append("keyed.t", 0, [key], timeout=5.0)
        (record,), _ = await reader.read_latest("keyed.t", 0, timeout=5.0)
        assert record.value == b"x" * (size - 2)
        reader.close()

    run_with_store(test)


def test_long_poll_returns_when_record_is_appended() -> None:
    async def test(store: StoreClient, _: Any) -> None:
        read_task = asyncio.create_task(store.read("t", 0, 0, wait=2.0))
        await asyncio.sleep(0.1)
        await store.append("t", 0, [b"a"])
        assert (await read_task).records == ((0, b"a"),)

    run_with_store(test)


def test_append_at_other_end_offset_is_refused() -> None:
    async def test(store: StoreClient, _: Any) -> None:
        assert await store.append("t", 0, [b"a"], at=0) == 0
        with pytest.raises(AppendConflictError) as caught:
            await store.append("t", 0, [b"b"], at=0)
        assert (caught.value.reason, caught.value.expected) == ("end", 1)

    run_with_store(test)


def test_duplicate_append_is_idempotent_and_older_epoch_is_refused() -> None:
    async def test(store: StoreClient, _: Any) -> None:
        first = await store.append("t", 0, [b"a"], producer=Producer("p", 1, 0))
        again = await store.append("t", 0, [b"x"], producer=Producer("p", 1, 0))
        assert first == again
        with pytest.raises(AppendConflictError) as caught:
            await store.append("t", 0, [b"b"], producer=Producer("p", 1, 7))
        assert (caught.value.reason, caught.value.expected) == ("sequence", 1)
        await store.append("t", 0, [b"c"], producer=Producer("p", 2, 0))
        with pytest.raises(AppendConflictError) as caught:
            await store.append("t", 0, [b"d"], producer=Producer("p", 1, 1))
        assert caught.value.reason == "fenced"
        records = (await store.read("t", 0, 0)).records
        assert [record for _, record in records] == [b"a", b"c"]

    run_with_store(test)


@pytest.mark.parametrize(
    ("kind", "may_have_taken_effect"),
    [("busy", False), ("many", False), ("reset", True), ("lose_answer", True)],
)
def test_error_shows_whether_append_may_have_taken_effect(
    kind: str, may_have_taken_effect: bool
) -> None:
    async def test(store: StoreClient, application: Any) -> None:
        application.faults.add({"kind": kind, "target": "append", "count": 1})
        with pytest.raises(PlatformUnavailableError) as caught:
            await store.append("t", 0, [b"a"])
        assert caught.value.may_have_taken_effect is may_have_taken_effect

    run_with_store(test)


def test_append_on_refused_connection_has_no_effect() -> None:
    async def test(_: StoreClient, __: Any) -> None:
        with pytest.raises(PlatformUnavailableError) as caught:
            await StoreClient("127.0.0.1:1").append("t", 0, [b"a"])
        assert caught.value.may_have_taken_effect is False

    run_with_store(test)


def test_read_times_out_if_store_is_silent() -> None:
    async def test(store: StoreClient, application: Any) -> None:
        application.faults.add({"kind": "silent", "seconds": 5, "count": 1})
        with pytest.raises(PlatformUnavailableError):
            await store.read("t", 0, 0, timeout=0.2)

    run_with_store(test)


def test_latest_record_of_each_key_remains_after_history_is_dropped() -> None:
    async def test(store: StoreClient, application: Any) -> None:
        records = [encode_keyed_record(f"k{n % 600:03}", b"%d" % n) for n in range(900)]
        await store.append("keyed.t", 0, records)
        await store.append("keyed.t", 0, [encode_keyed_record("k001", b"")])
        application.log.get("keyed.t", 0).drop_history()
        latest, end_offset = await store.read_latest("keyed.t", 0)
        values = {record.key: record.value for record in latest}
        assert end_offset == 901
        assert len(values) == 599
        assert values["k000"] == b"600"
        assert values["k599"] == b"599"
        with pytest.raises(OffsetOutOfRangeError) as caught:
            await store.read("keyed.t", 0, 5)
        assert caught.value.first_offset == 901

    run_with_store(test)


def test_keyed_record_without_value_removes_key() -> None:
    record = decode_keyed_record(3, encode_keyed_record("k", b""))
    assert (record.key, record.value) == ("k", None)
    for data in (b"", b"\x05ab"):
        with pytest.raises(ValueError, match="no key"):
            decode_keyed_record(3, data)
