"""Subset sizes at the two-year target: coverage, movement and heartbeat bytes.

Run with ``python -m benchmarks.subset``.
"""

from collections import Counter
from dataclasses import dataclass
from time import perf_counter

import fire

from buckthornstile.base import NO_OFFSET, Incarnation
from buckthornstile.routing import Candidate, choose_subset
from buckthornstile.wire import Heartbeat, encode_message

TARGET_BYTES_PER_SECOND = 19_000
HEARTBEATS_PER_SECOND = 1.0
TCP_HEADER_BYTES = 52
"""IPv4 and TCP headers with timestamps, of a segment or an acknowledgement."""
_MINIMUM_PER_SERVICE = 8


@dataclass(frozen=True)
class SubsetFigures:
    """What a subset size gives.

    Args:
        size: Upstreams wanted for each entry.
        kept: Most upstreams that an entry keeps.
        least_cover: Entries of the upstream with fewest.
        most_cover: Entries of the upstream with most.
        least_choice: Upstreams of a service left to the worst entry after the
            worst loss of a failure domain.
        moved: Mean connections that one lost upstream moves at an entry.
        entry_bytes: Heartbeat bytes a second at the entry with most upstreams.
        agent_bytes: The same at the agent with most entries.
    """

    size: int
    kept: int
    least_cover: int
    most_cover: int
    least_choice: int
    moved: float
    entry_bytes: float
    agent_bytes: float


def make_candidates(
    upstreams: int, services: int, domains: int
) -> tuple[Candidate, ...]:
    """Makes upstreams spread evenly over services and failure domains."""
    return tuple(
        Candidate(f"u{i}", f"s{i % services}", f"d{i // services % domains}")
        for i in range(upstreams)
    )


def measure_heartbeat_bytes() -> int:
    """Measures one heartbeat on the wire, its TCP headers included."""
    heartbeat = Heartbeat(
        sequence=123_456,
        sent_at=1e6,
        configuration_offset=NO_OFFSET,
        engine_incarnation=Incarnation("geometry-models-17-0001"),
        limit=24.0,
        running=24,
        queued=12,
        queued_tokens=4000,
        tokens_per_second=1600.0,
        background_tokens=900,
    )
    return len(encode_message(heartbeat)) + TCP_HEADER_BYTES


def measure_size(
    size: int, entries: int, candidates: tuple[Candidate, ...], beat_bytes: int
) -> SubsetFigures:
    """Measures one subset size.

    Args:
        size: Upstreams wanted for each entry.
        entries: Number of entries.
        candidates: All upstreams.
        beat_bytes: Bytes of one heartbeat on the wire.

    Returns:
        The figures.
    """
    names = [f"e{i}" for i in range(entries)]
    chosen = {name: choose_subset(name, candidates, size=size) for name in names}
    cover = Counter(item.upstream for items in chosen.values() for item in items)
    covers = [cover[item.upstream] for item in candidates]
    domains = {item.failure_domain for item in candidates}
    services = {item.service for item in candidates}
    choice = min(
        sum(1 for i in items if i.service == service and i.failure_domain != domain)
        for items in chosen.values()
        for domain in domains
        for service in services
    )
    moved = [
        len(set(choose_subset(name, candidates[:-1], size=size)) ^ set(chosen[name]))
        for name in names[:40]
    ]
    kept = max(len(items) for items in chosen.values())
    # Both ends send one and take one; each is acknowledged by the next.
    link = 2.0 * HEARTBEATS_PER_SECOND * beat_bytes
    return SubsetFigures(
        size,
        kept,
        min(covers),
        max(covers),
        choice,
        sum(moved) / len(moved),
        kept * link,
        max(covers) * link,
    )


def main(
    *, entries: int = 320, upstreams: int = 600, services: int = 4, domains: int = 6
) -> None:
    """Prints one line a size, and the largest size within the target.

    Args:
        entries: Number of entries.
        upstreams: Number of upstreams.
        services: Number of services.
        domains: Number of failure domains.
    """
    candidates = make_candidates(upstreams, services, domains)
    beat_bytes = measure_heartbeat_bytes()
    print(f"one heartbeat: {beat_bytes} bytes with TCP headers")
    begun = perf_counter()
    choose_subset("e0", candidates, size=48)
    print(f"one choose_subset: {1e3 * (perf_counter() - begun):.1f} ms")
    print("size  kept  cover     choice  moved  entry B/s  agent B/s")
    fitting = []
    for size in (24, 32, 40, 48, 56, 64, 80, 96, 128):
        got = measure_size(size, entries, candidates, beat_bytes)
        print(
            f"{got.size:4}  {got.kept:4}  {got.least_cover:3}-{got.most_cover:<4}  "
            f"{got.least_choice:6}  {got.moved:5.2f}  {got.entry_bytes:9.0f}  "
            f"{got.agent_bytes:9.0f}"
        )
        if max(got.entry_bytes, got.agent_bytes) <= TARGET_BYTES_PER_SECOND:
            fitting.append(size)
    print(
        f"largest size within {TARGET_BYTES_PER_SECOND} B/s: {max(fitting, default=0)}"
    )


if __name__ == "__main__":
    fire.Fire(main)
