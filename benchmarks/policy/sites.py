"""Cascade's and Tweedside's services, accounts and traffic at today's sizes."""

from dataclasses import dataclass

from benchmarks.policy.upstreams import UpstreamSpec
from buckthornstile.base import RequestClass


@dataclass(frozen=True)
class Service:
    """A service and its workers by failure domain."""

    name: str
    workers: tuple[tuple[str, int], ...]
    spec: UpstreamSpec
    most_per_domain: int = 4


@dataclass(frozen=True)
class Source:
    """Calls of one client account, arriving at random.

    Args:
        account: The account.
        service: The service called.
        request_class: Who waits on them.
        load: Offered work, as a share of the service's capacity.
        tokens: Mean tokens of an answer; lengths are exponential.
        prompt: Tokens of the prompt.
        patience: Seconds after which the caller gives up.
    """

    account: str
    service: str
    request_class: RequestClass
    load: float
    tokens: float
    prompt: float = 0.0
    patience: float = 20.0


@dataclass(frozen=True)
class Trainer:
    """A trainer that asks for one lot while it trains on the one before.

    Args:
        account: The account.
        service: The model service.
        groups: Groups in a lot.
        samples: Samples in a group; they share a prompt.
        tokens: Median tokens of a sample; lengths are log-normal.
        spread: The log-normal's sigma.
        longest: Tokens at which a sample is cut.
        prompt: Tokens of the prompt.
        train_seconds: How long a step takes once its samples are there.
        needed: The share of a lot that a step waits on.
        maximum_age: Versions that a sample may be behind.
    """

    account: str
    service: str
    groups: int = 8
    samples: int = 8
    tokens: float = 150.0
    spread: float = 0.7
    longest: float = 900.0
    prompt: float = 400.0
    train_seconds: float = 6.0
    needed: float = 0.9
    maximum_age: int = 1


@dataclass(frozen=True)
class Site:
    """One user's deployment."""

    name: str
    failure_domains: tuple[str, ...]
    entries: int
    services: tuple[Service, ...]
    sources: tuple[Source, ...]
    trainers: tuple[Trainer, ...]
    flooding: str


_WAITED, _BACKGROUND = RequestClass.WAITED, RequestClass.BACKGROUND
_DESK = UpstreamSpec(
    slots=16,
    stream_speed=100.0,
    total_speed=800.0,
    prefill_cost=0.0,
    cold_slots=4,
    swap_seconds=0.0,
)

CASCADE = Site(
    name="cascade",
    failure_domains=("bench-a", "bench-b", "grind-room", "ledger-room"),
    entries=3,
    services=(
        Service(
            "geometry-models",
            (("bench-a", 1), ("bench-b", 1), ("grind-room", 1), ("ledger-room", 1)),
            UpstreamSpec(),
        ),
        Service(
            "shop-desk",
            (("bench-a", 1), ("bench-b", 1), ("grind-room", 1), ("ledger-room", 1)),
            _DESK,
        ),
    ),
    sources=(
        Source("mill-1", "shop-desk", _WAITED, 0.20, 40.0),
        Source("mill-2", "shop-desk", _WAITED, 0.14, 40.0),
        Source("mill-3", "shop-desk", _WAITED, 0.06, 40.0),
        Source("mill-4", "shop-desk", _WAITED, 0.04, 40.0),
        Source("mill-1", "geometry-models", _WAITED, 0.05, 120.0, 200.0),
        Source("mill-3", "geometry-models", _WAITED, 0.03, 120.0, 200.0),
        Source("ledger", "shop-desk", _BACKGROUND, 0.30, 80.0, patience=60.0),
        Source("audit", "geometry-models", _BACKGROUND, 0.25, 300.0, 400.0, 60.0),
    ),
    trainers=(
        Trainer("tooth-north", "geometry-models"),
        Trainer("tooth-south", "geometry-models", groups=6),
    ),
    flooding="mill-1",
)

TWEEDSIDE = Site(
    name="tweedside",
    failure_domains=("perth-a", "stirling-b", "dundee-c"),
    entries=3,
    services=(
        Service(
            "drafting-models",
            (("perth-a", 2), ("stirling-b", 2), ("dundee-c", 1)),
            UpstreamSpec(),
        ),
        Service(
            "members-desk",
            (("perth-a", 1), ("stirling-b", 1), ("dundee-c", 1)),
            _DESK,
        ),
    ),
    sources=(
        Source("fit-1", "members-desk", _WAITED, 0.18, 40.0),
        Source("fit-2", "members-desk", _WAITED, 0.12, 40.0),
        Source("fit-3", "members-desk", _WAITED, 0.06, 40.0),
        Source("fit-4", "members-desk", _WAITED, 0.04, 40.0),
        Source("fit-1", "drafting-models", _WAITED, 0.12, 150.0, 200.0),
        Source("fit-5", "drafting-models", _WAITED, 0.06, 150.0, 200.0),
        Source("stock", "members-desk", _BACKGROUND, 0.25, 80.0, patience=60.0),
        Source("stock", "drafting-models", _BACKGROUND, 0.15, 200.0, 300.0, 60.0),
    ),
    trainers=(
        Trainer("corrections", "drafting-models", groups=12, train_seconds=5.0),
        Trainer("notes", "drafting-models", groups=4, train_seconds=8.0),
    ),
    flooding="fit-1",
)

SITES = {site.name: site for site in (CASCADE, TWEEDSIDE)}
