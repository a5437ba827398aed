"""Measures memory and times of the decision core in this process, for the slopes."""

import json
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable

from buckthornstile.base import RequestClass, RequestId, WeightVersion
from buckthornstile.configuration import (
    ConfigurationFold,
    hash_key,
    make_configuration,
)
from buckthornstile.guard import RequestTable
from buckthornstile.platform._client import PlatformClient
from buckthornstile.platform._vm_list import HttpVmList
from buckthornstile.records import Account, ConfigurationChange, Key, Rule
from buckthornstile.routing import Candidate, choose_subset
from buckthornstile.samples import GroupSpecification, Lot, LotSpecification, Sample
from buckthornstile.weights import hash_chunk
from buckthornstile.wire import (
    MAX_FRAME_BYTES,
    Dispatch,
    FrameParser,
    Heartbeat,
    TokenRange,
    WeightChunk,
    decode_message,
    encode_message,
    make_frame,
)

ITEMS = 2000
REMEMBERED = 20_000
GROUPS = 256
SAMPLES_PER_GROUP = 8
SAMPLE_BYTES = 4096
MESSAGES = 20_000
ENTRIES = 320
UPSTREAMS = 600
DOMAINS = 5
SUBSETS = (30, 60, 90)
CHUNK_BYTES = 8 << 20
READ_BYTES = 256 << 10

Samples = dict[str, list[float]]


def measure_bytes(make: Callable[[], object], count: int) -> float:
    """Measures the memory that is allocated for each of some objects.

    Args:
        make: Makes them all; what it returns is kept until the reading.
        count: How many it makes.
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return used / count


def measure_microseconds(run: Callable[[], object], count: int) -> float:
    """Measures the processor time of one of some equal steps."""
    started = time.process_time()
    for _ in range(count):
        run()
    return (time.process_time() - started) / count * 1e6


def make_accounts() -> object:
    """Makes a configuration of client accounts only."""
    return make_configuration([Account(name=f"account-{n}") for n in range(ITEMS)])


def make_keys() -> object:
    """Makes a configuration of keys only."""
    return make_configuration(
        [
            Key(name=f"key-{n}", account=f"account-{n}", digest=hash_key(str(n)))
            for n in range(ITEMS)
        ]
    )


def make_rules() -> object:
    """Makes a configuration of rules only."""
    return make_configuration(
        [Rule(name=f"rule-{n}", path=f"/v1/{n}", service="m") for n in range(ITEMS)]
    )


def make_table(idempotency: bool) -> RequestTable:
    """Makes a guard table full of finished requests."""
    table = RequestTable(0.0, max_entries=2 * REMEMBERED)
    for number in range(REMEMBERED):
        request_id = RequestId(f"entry-1-0123456789ab/{number}")
        key = f"call-{number}" if idempotency else ""
        dispatch = Dispatch(
            request_id,
            f"account-{number % 8}",  # type: ignore[arg-type]
            "key",  # type: ignore[arg-type]
            0,  # type: ignore[arg-type]
            RequestClass.WAITED,
            "desk",  # type: ignore[arg-type]
            "POST",
            "/quotes",
            idempotency_key=key,  # type: ignore[arg-type]
        )
        table.admit(dispatch, 1.0)
        table.start(request_id, 1.0)
        table.finish(request_id, 1.0)
    return table


def make_lot(*, finished: bool) -> Lot:
    """Makes a lot of a step's samples, with or without its results."""
    groups = tuple(
        GroupSpecification(prompt=f"set blade {n}", samples=SAMPLES_PER_GROUP)
        for n in range(GROUPS)
    )
    wanted = LotSpecification(lot="l", trainer="t", groups=groups, version=1)
    lot = Lot(wanted, now=0.0)
    lot.on_attach(1, (), 1, 0.0)
    if finished:
        labels = (TokenRange(0, 63, WeightVersion(1)),)
        for slot in wanted.iterate_slots():
            body = bytes(SAMPLE_BYTES)
            assert lot.on_finished(Sample(slot, body, labels), 0.0)
    return lot


def measure_memory() -> dict[str, float]:
    """Measures bytes for each account, key, rule, remembered request and slot."""
    slots = GROUPS * SAMPLES_PER_GROUP
    return {
        "bytes_per_account": measure_bytes(make_accounts, ITEMS),
        "bytes_per_key": measure_bytes(make_keys, ITEMS),
        "bytes_per_rule": measure_bytes(make_rules, ITEMS),
        "bytes_per_remembered_request": measure_bytes(
            lambda: make_table(False), REMEMBERED
        ),
        "bytes_per_remembered_call": measure_bytes(
            lambda: make_table(True), REMEMBERED
        ),
        "bytes_per_open_slot": measure_bytes(lambda: make_lot(finished=False), slots),
        "bytes_per_finished_slot_of_4_kib": measure_bytes(
            lambda: make_lot(finished=True), slots
        ),
    }


def measure_configuration() -> dict[str, float]:
    """Measures the time that one change takes in a large configuration."""
    fold = ConfigurationFold()
    items = [Account(name=f"account-{n}") for n in range(ITEMS)]
    fold.apply(
        0,  # type: ignore[arg-type]
        ConfigurationChange(change_id="c0", base_revision=0, put=tuple(items)),
    )
    started = time.process_time()
    for number in range(1, 21):
        change = ConfigurationChange(
            change_id=f"c{number}", base_revision=number, put=(items[number],)
        )
        assert fold.apply(number, change).accepted  # type: ignore[arg-type]
    return {"change_ms_in_2000_items": (time.process_time() - started) / 20 * 1e3}


def measure_heartbeats() -> dict[str, float]:
    """Measures the codec on one heartbeat."""
    heartbeat = Heartbeat(
        sequence=9,
        sent_at=1e5,
        configuration_offset=7,  # type: ignore[arg-type]
        engine_incarnation="engine-u12-0123456789ab",  # type: ignore[arg-type]
        version=7,  # type: ignore[arg-type]
        limit=16.0,
        running=12,
        queued_tokens=600,
        tokens_per_second=2400.0,
    )
    data = encode_message(heartbeat)
    return {
        "heartbeat_bytes": len(data),
        "heartbeat_encode_us": measure_microseconds(
            lambda: encode_message(heartbeat), MESSAGES
        ),
        "heartbeat_decode_us": measure_microseconds(
            lambda: decode_message(data), MESSAGES
        ),
    }


def measure_weights() -> dict[str, float]:
    """Measures the agent's own work on a chunk of weights, without sockets."""
    data = bytes(CHUNK_BYTES)
    chunk = WeightChunk(WeightVersion(1), 1, 1, data)
    frame = make_frame(encode_message(chunk))
    parts = [frame[i : i + READ_BYTES] for i in range(0, len(frame), READ_BYTES)]

    def receive() -> None:
        parser = FrameParser(MAX_FRAME_BYTES)
        bodies = [body for part in parts for body in parser.feed(part)]
        decode_message(bodies[0])

    per_gb = 1e9 / CHUNK_BYTES / 1e6
    return {
        "weights_send_s_per_gb": per_gb
        * measure_microseconds(lambda: make_frame(encode_message(chunk)), 10),
        "weights_receive_s_per_gb": per_gb * measure_microseconds(receive, 10),
        "weights_hash_s_per_gb": per_gb
        * measure_microseconds(lambda: hash_chunk(data), 10),
    }


def make_candidates() -> list[Candidate]:
    """Makes the upstreams of the two-year size."""
    return [
        Candidate(f"u{n}", f"service-{n % 2}", f"domain-{n % DOMAINS}")  # type: ignore[arg-type]
        for n in range(UPSTREAMS)
    ]


def measure_vm_list() -> dict[str, float]:
    """Measures one reading of the VM list and one choice of a subset."""
    vms = [
        {
            "process": f"agent-u{n}",
            "role": "agent" if n < UPSTREAMS else "entry",
            "failure_domain": f"domain-{n % DOMAINS}",
            "address": f"10.0.{n // 250}.{n % 250}",
            "port": 7401,
            "state": "live",
            "upstream": f"u{n}",
            "service": "models",
        }
        for n in range(UPSTREAMS + ENTRIES)
    ]
    answer = json.dumps({"vms": vms}).encode()
    vm_list = HttpVmList(PlatformClient("http://127.0.0.1:1"))
    candidates = make_candidates()

    def read() -> None:
        assert len(vm_list._parse(answer)) == len(vms)

    return {
        "vm_list_bytes_of_920": len(answer),
        "vm_list_parse_ms_of_920": measure_microseconds(read, 20) / 1e3,
        "choose_subset_ms_of_600": measure_microseconds(
            lambda: choose_subset("e1", candidates, size=90),  # type: ignore[arg-type]
            20,
        )
        / 1e3,
    }


def measure_balance() -> dict[str, float]:
    """Measures how evenly subsets spread over upstreams, and after a domain's loss."""
    candidates = make_candidates()
    survivors = [c for c in candidates if c.failure_domain != "domain-0"]
    figures: dict[str, float] = {}
    for size in SUBSETS:
        counts: Counter[str] = Counter()
        kept = []
        moved = []
        for number in range(ENTRIES):
            entry = f"e{number}"
            before = set(choose_subset(entry, candidates, size=size))  # type: ignore[arg-type]
            after = set(choose_subset(entry, survivors, size=size))  # type: ignore[arg-type]
            counts.update(candidate.upstream for candidate in before)
            kept.append(sum(c.failure_domain != "domain-0" for c in before))
            moved.append(len(after - before))
        loads = [counts[candidate.upstream] for candidate in candidates]
        figures[f"subset_{size}_least_entries_per_agent"] = min(loads)
        figures[f"subset_{size}_mean_entries_per_agent"] = sum(loads) / UPSTREAMS
        figures[f"subset_{size}_most_entries_per_agent"] = max(loads)
        figures[f"subset_{size}_left_after_domain_loss"] = min(kept)
        figures[f"subset_{size}_new_links_after_domain_loss"] = max(moved)
    return figures


def measure_sizes(repeats: int) -> Samples:
    """Measures everything some times over.

    Args:
        repeats: How many times.
    """
    samples: Samples = {}
    for _ in range(repeats):
        figures = {
            **measure_memory(),
            **measure_configuration(),
            **measure_heartbeats(),
            **measure_vm_list(),
            **measure_weights(),
        }
        for name, value in figures.items():
            samples.setdefault(name, []).append(value)
    # Hashes decide it, so that every run gives the same.
    samples |= {name: [value] for name, value in measure_balance().items()}
    return samples
