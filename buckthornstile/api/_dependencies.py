"""What the handlers of the product's own interface share."""

from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.api._admission import AdmissionController
from buckthornstile.api._configuration import ConfigurationWatcher, make_route
from buckthornstile.api._deduplication import CallDeduplicator
from buckthornstile.api._requests import ApiRequest
from buckthornstile.api._revocation import RevocationMonitor, make_withdrawn
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    KeyId,
    ProcessName,
    RequestClass,
)
from buckthornstile.configuration import ANY_TRAINER, Account, ApiKey, hash_api_key
from buckthornstile.gateway import CallSender, GatewayMetrics, JobStore, StreamProxy
from buckthornstile.jobs import JobSpecification
from buckthornstile.settings import EntrySettings
from buckthornstile.topology import Route, TopologyView

RETRY_AFTER_SECONDS = 0.2
"""Seconds after which a request that was not run may come again."""


@dataclass(frozen=True, slots=True)
class ApiDependencies:
    """What the handlers use."""

    settings: EntrySettings
    view: TopologyView
    configuration_watcher: ConfigurationWatcher
    sender: CallSender
    stream_proxy: StreamProxy
    jobs: JobStore
    admission: AdmissionController
    revocation: RevocationMonitor
    deduplicator: CallDeduplicator
    metrics: GatewayMetrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    choose_first_owner: Callable[[JobSpecification], ProcessName]
    is_stopping: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class Authorization:
    """What a request may do, and in whose name.

    Args:
        account: The client account.
        key: The key that came with it; empty on an open route.
        route: How it is served.
        request_class: Who waits on it.
        maximum_age: Weight versions that a sample may be behind its trainer.
    """

    account: Account
    key: KeyId
    route: Route
    request_class: RequestClass
    maximum_age: int = 0


def authorize(
    dependencies: ApiDependencies,
    request: ApiRequest,
    trainer: str = ANY_TRAINER,
    path: str = "",
) -> Authorization:
    """Finds what a request may do.

    Args:
        dependencies: What the handlers share.
        request: The request.
        trainer: The trainer that it comes from, if any.
        path: The path at the upstream, whose rule holds if the request's has none.

    Raises:
        BuckthornstileError: It may not run, or nobody can say.
    """
    watch = dependencies.configuration_watcher
    if not watch.is_loaded:
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_MISSING,
            "no configuration is known yet",
            retry_after=RETRY_AFTER_SECONDS,
        )
    configuration = watch.current
    open_route = configuration.find_open_route(request.path)
    if open_route is not None and trainer == ANY_TRAINER:
        check_fresh(dependencies)
        return Authorization(
            configuration.accounts[open_route.account],
            KeyId(""),
            make_route(open_route),
            open_route.request_class,
        )
    key = authenticate(dependencies, request)
    rule = configuration.find_rule(request.path, key.account, trainer)
    if rule is None and path:
        rule = configuration.find_rule(path, key.account, trainer)
    if rule is None:
        raise BuckthornstileError(
            ErrorCode.ROUTE_UNKNOWN,
            f"no rule serves {(path or request.path)[:80]!r} for account "
            f"{key.account!r}",
        )
    return Authorization(
        configuration.accounts[key.account],
        key.name,
        make_route(rule),
        rule.request_class,
        rule.maximum_age,
    )


def authenticate(dependencies: ApiDependencies, request: ApiRequest) -> ApiKey:
    """Finds the key that came with a request.

    Raises:
        BuckthornstileError: There is none, or it does not work.
    """
    if not request.key:
        raise BuckthornstileError(ErrorCode.KEY_MISSING, "the request has no key")
    key = dependencies.configuration_watcher.current.find_api_key(
        hash_api_key(request.key)
    )
    if key is None or key.withdrawn:
        # A process that knows too little must not say that a key is unknown.
        check_fresh(dependencies)
        code = ErrorCode.KEY_UNKNOWN if key is None else ErrorCode.KEY_WITHDRAWN
        raise BuckthornstileError(code, "the key does not work")
    check_fresh(dependencies)
    return key


def check_fresh(dependencies: ApiDependencies) -> None:
    """Checks that what is known of keys and upstreams is new enough.

    Raises:
        BuckthornstileError: ``CONFIGURATION_OLD``.
    """
    if (
        dependencies.settings.fails_closed
        and not dependencies.configuration_watcher.is_fresh()
    ):
        age = dependencies.configuration_watcher.get_staleness()
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_OLD,
            f"the configuration is {age:.1f} s old, too old to act on",
            retry_after=RETRY_AFTER_SECONDS,
        )


def find_key_error(
    watch: ConfigurationWatcher, key: KeyId
) -> BuckthornstileError | None:
    """Finds why running work under a key must end, or None if it may go on."""
    known = watch.current.keys.get(key)
    if known is None or known.withdrawn:
        return make_withdrawn(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn")
    if not watch.is_fresh():
        return make_withdrawn(
            ErrorCode.CONFIGURATION_OLD, "nobody can say whether the key still works"
        )
    return None
