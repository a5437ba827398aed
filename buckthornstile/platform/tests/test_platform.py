import asyncio
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tornado import web
from tornado.httpclient import AsyncHTTPClient

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    PlatformUnavailableError,
)
from buckthornstile.platform import make_platform_ports
from buckthornstile.ports import UpstreamOrder, VmState
from buckthornstile.records import UsageLine, UsageSeal
from standins.platform import PlatformOptions, make_application
from standins.server import listen

scenarios("platform.feature")


def serve(application):
    return f"http://127.0.0.1:{listen(application, '127.0.0.1', 0)}"


async def control(url, method, path, body=None):
    data = None if body is None else json.dumps(body)
    answer = await AsyncHTTPClient().fetch(url + path, method=method, body=data)
    return json.loads(answer.body)


def make_order(term):
    return UpstreamOrder(f"o{term}", term, "start", "perth-a", "drafting-models")


@given(
    parsers.parse("a platform with the fault {fault} on its log"),
    target_fixture="fault",
)
def choose_fault(fault):
    return fault


@given(parsers.parse("a platform that {habit} old terms"), target_fixture="options")
def choose_habit(habit):
    return PlatformOptions(refuse_old_terms=habit == "refuses")


@when("a record is appended", target_fixture="outcome")
def append(fault):
    async def call():
        url = serve(make_application())
        if fault == "refused":
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            closed = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
            server.close()
            target = make_platform_ports(closed, timeout=0.2)
        else:
            body = {"kind": fault, "target": "log", "seconds": 1, "count": 1}
            await control(url, "POST", "/control/faults", body)
            target = make_platform_ports(url, timeout=0.2)
        with pytest.raises(PlatformUnavailableError) as raised:
            await target.log.append(b"record")
        page = await make_platform_ports(url).log.read(0)
        return raised.value.may_have_taken_effect, len(page.entries)

    return asyncio.run(call())


@then(parsers.parse("the append fails and says that it {says} have taken effect"))
def check_effect(outcome, says):
    assert outcome[0] is (says == "may")


@then(parsers.parse("the log holds {count:d} records"))
def check_count(outcome, count):
    assert outcome[1] == count


@when(parsers.parse("it gets orders of the terms {terms}"), target_fixture="done")
def send_orders(options, terms):
    async def call():
        ports = make_platform_ports(serve(make_application(options)))
        for term in map(int, terms.split()):
            try:
                await ports.orders.order(make_order(term), timeout=2)
            except BuckthornstileError as error:
                assert error.code is ErrorCode.TERM_OLD
        return await ports.orders.list_orders()

    return asyncio.run(call())


@then(parsers.parse("it has carried out {names}"))
def check_orders(done, names):
    assert list(done) == names.split()


@when("a window is reported twice with different figures", target_fixture="reports")
def report_twice(options):
    async def call():
        url = serve(make_application(options))
        ports = make_platform_ports(url, caller="e1")
        for requests in (1, 2):
            line = UsageLine(
                account="a", service="s", request_class="waited", requests=requests
            )
            seal = UsageSeal(window=60, duration=60, term=1, through=9, lines=(line,))
            await ports.usage_reports.report(seal, timeout=2)
        counted = await control(url, "GET", "/usage")
        return counted["reports"], await control(url, "GET", "/control/journal")

    return asyncio.run(call())


@then("the first report counts and the journal shows both")
def check_reports(reports):
    counted, journal = reports
    assert [r["lines"][0]["requests"] for r in counted] == [1]
    seen = [(e["repeated"], e["by"], e["term"]) for e in journal["entries"]]
    assert seen == [(False, "e1", 1), (True, "e1", 1)]


def test_the_log_is_read_from_an_offset_with_limited_retention():
    async def call():
        options = PlatformOptions(retain_records=3)
        log = make_platform_ports(serve(make_application(options))).log
        offsets = [await log.append(bytes([n])) for n in range(5)]
        page = await log.read(0, limit=2)
        waiting = asyncio.create_task(log.read(5, wait=5))
        appended = await log.append(b"\xff")
        return offsets, page, appended, await waiting

    offsets, page, appended, waited = asyncio.run(call())
    assert offsets == list(range(5))
    assert [(e.offset, e.data) for e in page.entries] == [(2, b"\2"), (3, b"\3")]
    assert (page.first_retained, page.next_offset) == (2, 5)
    assert [(e.offset, e.data) for e in waited.entries] == [(appended, b"\xff")]


def test_the_weight_store_names_when_to_come_back():
    async def call():
        options = PlatformOptions(chunk_burst=1, chunks_per_second=0.001)
        url = serve(make_application(options))
        weights = make_platform_ports(url).weights
        assert await weights.read_latest() is None
        body = {"version": 3, "chunk_count": 2, "chunk_bytes": 8}
        await control(url, "POST", "/weights", body)
        latest = await weights.read_latest()
        assert (latest.version, latest.chunk_count) == (3, 2)
        assert len(await weights.read_chunk(3, 0)) == 8
        with pytest.raises(PlatformUnavailableError) as raised:
            await weights.read_chunk(3, 1)
        return raised.value.retry_after, raised.value.may_have_taken_effect

    assert asyncio.run(call()) == (1.0, False)


def test_a_malformed_entry_costs_no_other_vm():
    good = {"role": "agent", "failure_domain": "perth-a", "address": "127.0.0.1"}
    good |= {"port": 9, "upstream": "u1", "state": "leaving", "seconds_left": 30}

    async def call():
        url = serve(make_application())
        await control(url, "PUT", "/control/vms/a1", good)
        await control(url, "PUT", "/control/vms/a2", {"role": "boiler"})
        await control(url, "PUT", "/control/trainers/t1", {"version": 4})
        ports = make_platform_ports(url)
        trainers = await ports.trainers.list_trainers()
        return await ports.vm_list.list_vms(), ports.vm_list.malformed, trainers

    vms, malformed, trainers = asyncio.run(call())
    assert [(vm.process, vm.state) for vm in vms] == [("a1", VmState.LEAVING)]
    assert 0 < vms[0].seconds_left <= 30
    assert malformed == 1
    assert [(t.trainer, t.version) for t in trainers] == [("t1", 4)]


def test_an_unchanged_vm_list_is_not_sent_or_parsed_again():
    vm = {"role": "agent", "failure_domain": "perth-a", "address": "127.0.0.1"}
    vm |= {"port": 9, "upstream": "u1", "state": "live"}

    async def call():
        url = serve(make_application())
        await control(url, "PUT", "/control/vms/a1", vm)
        vm_list = make_platform_ports(url).vm_list
        first, again = await vm_list.list_vms(), await vm_list.list_vms()
        await control(url, "PUT", "/control/vms/a1", vm | {"state": "leaving"})
        return first, again, await vm_list.list_vms(), vm_list.unchanged

    first, again, changed, unchanged = asyncio.run(call())
    assert again is first
    assert [vm.state for vm in changed] == [VmState.LEAVING]
    assert unchanged == 1


@pytest.mark.parametrize("body", [b"", b"[]", b'{"offset": "x"}', b"\xff"])
def test_a_malformed_answer_leaves_the_effect_open(body):
    class Handler(web.RequestHandler):
        def prepare(self):
            self.finish(body)

    async def call():
        ports = make_platform_ports(serve(web.Application([("/.*", Handler)])))
        calls = [
            ports.log.append(b"x"),
            ports.log.read(0),
            ports.vm_list.list_vms(),
            ports.orders.list_orders(),
            ports.weights.read_latest(),
            ports.trainers.list_trainers(),
        ]
        return await asyncio.gather(*calls, return_exceptions=True)

    for error in asyncio.run(call()):
        assert isinstance(error, PlatformUnavailableError)
        assert error.may_have_taken_effect
