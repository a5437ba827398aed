"""Consumes the operators' configuration and the trainers' versions from the store."""

import asyncio
import json
from collections.abc import Callable

from buckthornstile.base import KeyId, Offset, ServiceName, parse_json
from buckthornstile.configuration import (
    Configuration,
    ConfigurationState,
    KeyState,
    OpenRoute,
    Rule,
)
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.gateway import KEY_BOUND_FRACTION
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    CONFIGURATION_TOPIC,
    TRAINER_VERSION_TOPIC,
    KeyedRecord,
    StoreClient,
    encode_keyed_record,
)
from buckthornstile.topology import (
    API_HOST,
    ModelName,
    Route,
    RouteKind,
    TopologyView,
)

MAX_POLL_WAIT = 0.4
"""Seconds of a long poll; bounds how long a stale configuration goes unnoticed."""
MAX_ATTEMPTS = 3
"""Maximum number of upstreams that one idempotent call or sample is sent to."""
MAX_TIMEOUT = 86_400.0
"""Seconds of a route's timeout; the timeout of each call is the effective limit."""


class ConfigurationWatcher:
    """Keeps the configuration of the API up to date.

    Args:
        store: The store client.
        view: The topology view that receives routes and drained failure domains.
        clock: A function that returns the time in seconds; the clock must advance
            while the machine is suspended.
        key_bound: Seconds within which a withdrawn key must stop working.
        read_upstream_age: A function that returns the seconds since the records of
            the upstreams were last read.
        on_change: Called after a new configuration is in effect or a trainer has a new
            version.
    """

    def __init__(
        self,
        store: StoreClient,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        key_bound: float,
        read_upstream_age: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self.read_upstream_age = read_upstream_age
        self.store = store
        self.view = view
        self.key_bound = key_bound
        self.on_change = on_change
        self.state = ConfigurationState()
        self.is_loaded = False
        self._trainer_versions: dict[str, int] = {}
        self.consumer = PartitionConsumer(
            store,
            CONFIGURATION_TOPIC,
            0,
            clock=clock,
            max_wait=MAX_POLL_WAIT,
            on_record=self._apply,
            on_snapshot=self._load_snapshot,
            on_caught_up=self._commit,
            ordered=True,
        )
        self.version_consumer = PartitionConsumer(
            store,
            TRAINER_VERSION_TOPIC,
            0,
            clock=clock,
            max_wait=MAX_POLL_WAIT,
            on_record=self._apply_version,
            on_snapshot=self._load_version_snapshot,
        )

    @property
    def current(self) -> Configuration:
        """Configuration in effect."""
        return self.state.current

    def get_staleness(self) -> float:
        """Returns the seconds since configuration and upstreams were up to date."""
        return max(self.consumer.get_staleness(), self.read_upstream_age())

    def is_fresh(self) -> bool:
        """Whether the configuration and upstreams are recent enough to rely on.

        The staleness must stay below a fraction of ``key_bound``, so that a withdrawal,
        drain or removal is applied in time. After a pause of this process the result
        is False until the store has been read again.
        """
        return (
            self.is_loaded
            and self.get_staleness() < KEY_BOUND_FRACTION * self.key_bound
        )

    def get_key_state(self, key: KeyId) -> KeyState:
        """Returns whether work under a key may go on.

        A withdrawal is final, so that it holds however old the configuration is. A key
        that is not known may have been added since.
        """
        known = self.current.keys.get(key)
        if known is not None and known.withdrawn:
            return KeyState.WITHDRAWN
        if known is None or not self.is_fresh():
            return KeyState.UNVERIFIED
        return KeyState.VALID

    def get_trainer_version(self, trainer: str) -> int:
        """Returns the newest weight version that a trainer has published, or 0."""
        return self._trainer_versions.get(trainer, 0)

    async def publish_version(
        self, trainer: str, model: ModelName | None, version: int
    ) -> None:
        """Appends the current weight version of a trainer to the store.

        Args:
            trainer: The record key of the trainer, with its client account.
            model: The model that it trains, or None if no rule matches the trainer.
            version: The version of the weights.

        Raises:
            PlatformUnavailableError: The store rejected the record or did not respond.
        """
        value = json.dumps([model, version]).encode()
        record = encode_keyed_record(trainer, value)
        await self.store.append(TRAINER_VERSION_TOPIC, 0, [record])

    async def run(self) -> None:
        """Consumes both topics until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.consumer.run())
            group.create_task(self.version_consumer.run())

    def _load_snapshot(self, records: list[KeyedRecord]) -> None:
        self.state.reset()
        for record in sorted(records, key=lambda item: item.offset):
            self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        try:
            self.state.apply(Offset(record.offset), record.key, record.value)
        except ValueError as error:
            log_event("configuration.unreadable", key=record.key, reason=error)

    def _commit(self) -> None:
        is_first = not self.is_loaded
        self.is_loaded = True
        if not self.state.commit() and not is_first:
            return
        current = self.current
        self.view.replace_api_configuration(
            [make_route(rule) for rule in current.rules.values()],
            current.drains,
            revision=current.revision,
        )
        log_event(
            "configuration.in_force",
            revision=current.revision,
            offset=current.last_offset,
            rules=len(current.rules),
            drained=",".join(sorted(current.drains)),
        )
        self.on_change()

    def _load_version_snapshot(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self._apply_version(record)

    def _apply_version(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            model, version = parse_json(record.value)
            version = int(version)
        except (ValueError, TypeError) as error:
            log_event("version.unreadable", trainer=record.key, reason=error)
            return
        if version <= self._trainer_versions.get(record.key, 0):
            return
        self._trainer_versions[record.key] = version
        log_event("version.named", trainer=record.key, model=model, version=version)
        if model is not None:
            self.view.apply_target_version(ModelName(model), version)
        self.on_change()


def make_route(rule: Rule | OpenRoute) -> Route:
    """Builds the route of a rule or open route.

    Example:
        >>> make_route(Rule(name="r", path="/v1/x", service="desk")).kind
        <RouteKind.AT_MOST_ONCE: 'at_most_once'>
    """
    kind = RouteKind.IDEMPOTENT if rule.idempotent else RouteKind.AT_MOST_ONCE
    return Route(
        name=rule.name,
        host=API_HOST,
        path_prefix=rule.name,
        kind=kind,
        services=((ServiceName(rule.service), 1.0),),
        timeout=MAX_TIMEOUT,
        target_latency=MAX_TIMEOUT,
        max_attempts=MAX_ATTEMPTS,
        allows_anonymous=isinstance(rule, OpenRoute),
        is_resumable=rule.idempotent,
    )
