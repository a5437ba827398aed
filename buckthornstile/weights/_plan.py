"""Plans how a set of weights reaches every agent, and how long it takes.

One agent of each failure domain fetches from the rate-limited store; the others
fetch from agents of their own domain, down a tree, chunk by chunk. An agent
passes a chunk on as soon as it has it.
"""

import hashlib
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornstile.base import (
    FailureDomain,
    ProcessName,
    WeightVersion,
    check_range,
)

DEFAULT_FAN_OUT = 2
_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class WeightNode:
    """An agent that needs the weights.

    Args:
        process: The agent.
        failure_domain: Where it is.
    """

    process: ProcessName
    failure_domain: FailureDomain


@dataclass(frozen=True, slots=True)
class DistributionPlan:
    """Who fetches from whom.

    Args:
        version: The weights.
        parents: For each agent, the agent to fetch from; None for the store.
        depth: The longest path from the store, in hops.

    Example:
        >>> nodes = [WeightNode(f"a{n}", "bench-a") for n in range(4)]
        >>> plan = plan_distribution(nodes, version=WeightVersion(7))
        >>> list(plan.parents.values()).count(None), plan.depth
        (1, 3)
    """

    version: WeightVersion
    parents: dict[ProcessName, ProcessName | None]
    depth: int

    def list_sources(self, process: ProcessName) -> tuple[ProcessName, ...]:
        """Lists where an agent may fetch from, in order of preference.

        Args:
            process: The agent.

        Returns:
            Its parent, then that one's parent, and so on; after the last one
            comes the store. An agent goes on to the next when one fails.
        """
        sources = []
        parent = self.parents[process]
        while parent is not None:
            sources.append(parent)
            parent = self.parents[parent]
        return tuple(sources)


def plan_distribution(
    nodes: Iterable[WeightNode],
    *,
    version: WeightVersion,
    fan_out: int = DEFAULT_FAN_OUT,
) -> DistributionPlan:
    """Builds one tree for each failure domain.

    Every process that knows the same agents builds the same trees, and another
    version puts other agents at the top.

    Args:
        nodes: The agents that need the weights.
        version: The weights.
        fan_out: Agents that fetch from one agent.

    Returns:
        The plan.

    Raises:
        ValueError: The fan-out is under 1.

    Example:
        >>> plan = plan_distribution([], version=WeightVersion(7))
        >>> plan.depth
        0
    """
    check_range("fan_out", fan_out, minimum=1)
    domains: dict[FailureDomain, list[ProcessName]] = defaultdict(list)
    for node in nodes:
        domains[node.failure_domain].append(node.process)
    parents: dict[ProcessName, ProcessName | None] = {}
    largest = 0
    for domain in sorted(domains):
        members = sorted(domains[domain], key=lambda name: _rank(name, version))
        for index, member in enumerate(members):
            parents[member] = members[(index - 1) // fan_out] if index else None
        largest = max(largest, len(members))
    return DistributionPlan(version, parents, get_tree_depth(largest, fan_out))


def get_tree_depth(size: int, fan_out: int) -> int:
    """Gives the hops from the store to a tree's last agent.

    Args:
        size: The tree's agents.
        fan_out: Agents that fetch from one agent.

    Example:
        >>> get_tree_depth(120, 2), get_tree_depth(3, 1)
        (7, 3)
    """
    depth = 0
    covered = 0
    while covered < size:
        covered += fan_out**depth
        depth += 1
    return depth


@dataclass(frozen=True, slots=True)
class DistributionEstimate:
    """How long a distribution takes.

    Args:
        seconds: From the first request to the last agent's last chunk.
        depth: Hops from the store to the last agent.
        bytes_per_second: The rate at which the pipeline runs.
        limited_by: ``store`` or ``link``.
    """

    seconds: float
    depth: int
    bytes_per_second: float
    limited_by: str


def estimate_distribution_seconds(
    *,
    agents: int,
    failure_domains: int,
    weight_bytes: float,
    chunk_bytes: float,
    link_bytes_per_second: float,
    store_bytes_per_second: float,
    fan_out: int = DEFAULT_FAN_OUT,
    hop_latency: float = 0.001,
) -> DistributionEstimate:
    """Works out the time of a pipelined distribution.

    Args:
        agents: Agents in all, spread evenly.
        failure_domains: Trees, each fetching once from the store.
        weight_bytes: Size of the weights.
        chunk_bytes: Size of a chunk.
        link_bytes_per_second: What one agent sends, shared by its children.
        store_bytes_per_second: What the store gives, shared by the domains.
        fan_out: Agents that fetch from one agent.
        hop_latency: Seconds added to each chunk by each hop.

    Returns:
        The estimate.

    Example:
        >>> estimate = estimate_distribution_seconds(agents=600, failure_domains=5,
        ...     weight_bytes=14e9, chunk_bytes=16e6, link_bytes_per_second=1.25e9,
        ...     store_bytes_per_second=5e9)
        >>> round(estimate.seconds, 1), estimate.depth, estimate.limited_by
        (22.6, 7, 'link')
    """
    check_range("failure_domains", failure_domains, minimum=1)
    check_range("fan_out", fan_out, minimum=1)
    tree_size = math.ceil(agents / failure_domains)
    depth = get_tree_depth(tree_size, fan_out)
    # An agent that is alone in its tree sends nothing on.
    senders = min(fan_out, max(1, tree_size - 1))
    link_rate = link_bytes_per_second / senders
    store_rate = min(store_bytes_per_second / failure_domains, link_bytes_per_second)
    rate = min(link_rate, store_rate) if depth > 1 else store_rate
    first_chunk = max(0, depth - 1) * (chunk_bytes / link_rate + hop_latency)
    seconds = weight_bytes / rate + first_chunk + hop_latency
    limited_by = "store" if store_rate <= rate else "link"
    return DistributionEstimate(seconds, depth, rate, limited_by)


def _rank(process: ProcessName, version: WeightVersion) -> bytes:
    data = f"{version}/{process}".encode()
    return hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()
