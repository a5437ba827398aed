"""Shared dependencies, authentication and authorization of the API handlers."""

from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.api._admission import AdmissionController
from buckthornstile.api._configuration import ConfigurationWatcher, make_route
from buckthornstile.api._deduplication import CallDeduplicator
from buckthornstile.api._requests import ApiRequest
from buckthornstile.api._revocation import RevocationMonitor, make_revocation_error
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
"""Seconds after which a request that was not run may be retried."""


@dataclass(frozen=True, slots=True)
class ApiDependencies:
    """Objects and functions that the API handlers share.

    Args:
        settings: The settings of the entry.
        view: The topology view.
        configuration_watcher: The current configuration and trainers' versions.
        sender: Sends calls to upstreams.
        stream_proxy: Opens streams at upstreams.
        jobs: The jobs in the store.
        admission: The concurrency limits of the services.
        revocation: Cancels work under revoked keys.
        deduplicator: Runs calls with an idempotency key at most once.
        metrics: The metrics of the entry.
        clock: A function that returns the monotonic time in seconds.
        wall_clock: A function that returns the time in seconds since the epoch.
        choose_first_owner: A function that returns the entry that runs a new job.
        is_stopping: A function that returns whether the entry was asked to stop.
    """

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
    """Account, key and route under which a request is allowed to run.

    Args:
        account: The client account.
        key: The id of the API key of the request; empty on an open route.
        route: The route that serves the request.
        request_class: The scheduling class of the request.
        maximum_age: Number of weight versions that a sample may be behind its
            trainer.
        revision: The revision of the configuration that allows the request.
    """

    account: Account
    key: KeyId
    route: Route
    request_class: RequestClass
    maximum_age: int = 0
    revision: int = 0


def authorize(
    dependencies: ApiDependencies,
    request: ApiRequest,
    trainer: str = ANY_TRAINER,
    path: str = "",
) -> Authorization:
    """Returns the account, key and route under which a request may run.

    Args:
        dependencies: The shared dependencies of the handlers.
        request: The request.
        trainer: The trainer that sent the request, or the wildcard ``ANY_TRAINER``.
        path: The path at the upstream; its rule applies if no rule matches the path
            of the request.

    Raises:
        BuckthornstileError: The request is not allowed, or the configuration is
            missing or too old.
    """
    watcher = dependencies.configuration_watcher
    if not watcher.is_loaded:
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_MISSING,
            "no configuration has been loaded yet",
            retry_after=RETRY_AFTER_SECONDS,
        )
    configuration = watcher.current
    open_route = configuration.find_open_route(request.path)
    if open_route is not None and trainer == ANY_TRAINER:
        check_configuration_age(dependencies)
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
        configuration.revision,
    )


def authenticate(dependencies: ApiDependencies, request: ApiRequest) -> ApiKey:
    """Returns the API key of a request.

    Raises:
        BuckthornstileError: The request has no key, the key is unknown or withdrawn,
            or the configuration is too old.
    """
    if not request.key:
        raise BuckthornstileError(ErrorCode.KEY_MISSING, "the request has no API key")
    key = dependencies.configuration_watcher.current.find_api_key(
        hash_api_key(request.key)
    )
    if key is None or key.withdrawn:
        # With an outdated configuration, this process must not report a key as
        # unknown: it may be a new one.
        check_configuration_age(dependencies)
        code = ErrorCode.KEY_UNKNOWN if key is None else ErrorCode.KEY_WITHDRAWN
        raise BuckthornstileError(code, "the API key is unknown or withdrawn")
    check_configuration_age(dependencies)
    return key


def check_configuration_age(dependencies: ApiDependencies) -> None:
    """Checks that the known keys and upstreams are recent enough.

    Raises:
        BuckthornstileError: ``CONFIGURATION_OLD``, if the entry is set to fail closed
            and its data is too old.
    """
    if (
        dependencies.settings.fails_closed
        and not dependencies.configuration_watcher.is_fresh()
    ):
        age = dependencies.configuration_watcher.get_staleness()
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_OLD,
            f"the configuration is {age:.1f} s old, which is too old to use",
            retry_after=RETRY_AFTER_SECONDS,
        )


def find_key_error(
    watcher: ConfigurationWatcher, key: KeyId
) -> BuckthornstileError | None:
    """Returns the error with which work under a key must stop, or None."""
    known = watcher.current.keys.get(key)
    if known is None or known.withdrawn:
        return make_revocation_error(
            ErrorCode.KEY_WITHDRAWN, "the API key was withdrawn"
        )
    if not watcher.is_fresh():
        return make_revocation_error(
            ErrorCode.CONFIGURATION_OLD,
            "the configuration is too old to check whether the API key is valid",
        )
    return None
