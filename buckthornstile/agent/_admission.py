"""The filters that a request passes before an agent starts it.

They run at its arrival and again immediately before its start, since keys are
withdrawn and failure domains drained while a request waits. Each raises with the
verdict NOT_RUN, which is true: nothing has started.
"""

from dataclasses import dataclass

from buckthornstile.base import (
    OPEN_ROUTE_KEY,
    BuckthornstileError,
    ErrorCode,
    FailureDomain,
    ServiceName,
    WeightVersion,
)
from buckthornstile.configuration import Configuration
from buckthornstile.wire import Dispatch


@dataclass(frozen=True, slots=True)
class AgentCondition:
    """What the filters compare a request with.

    Args:
        configuration: The configuration as far as the agent knows it.
        failure_domain: The agent's own.
        service: The agent's own.
        draining: Whether the agent stops or its VM leaves.
        version: The weights that the upstream serves.
    """

    configuration: Configuration
    failure_domain: FailureDomain
    service: ServiceName
    draining: bool
    version: WeightVersion


def check_request(dispatch: Dispatch, condition: AgentCondition) -> None:
    """Runs all filters.

    Args:
        dispatch: The request.
        condition: The agent's condition now.

    Raises:
        BuckthornstileError: The first filter's refusal.
    """
    check_target(dispatch, condition)
    check_draining(condition)
    check_key(dispatch, condition.configuration)
    check_version(dispatch, condition)


def check_target(dispatch: Dispatch, condition: AgentCondition) -> None:
    """Refuses a request that is for another service."""
    if dispatch.service != condition.service:
        raise BuckthornstileError(
            ErrorCode.NO_UPSTREAM,
            f"this upstream serves {condition.service}, not {dispatch.service}",
        )


def check_draining(condition: AgentCondition) -> None:
    """Refuses new work while the agent or its failure domain is drained."""
    drained = condition.configuration.is_drained(condition.failure_domain)
    if condition.draining or drained:
        raise BuckthornstileError(
            ErrorCode.DRAINING, "the upstream takes no new work", retry_after=1.0
        )


def check_key(dispatch: Dispatch, configuration: Configuration) -> None:
    """Refuses a withdrawn key, and one that a newer configuration lacks.

    An entry that has read further than this agent is trusted: what it knows of
    the key is newer.
    """
    knows_less = configuration.through < dispatch.configuration_offset
    if dispatch.key_id == OPEN_ROUTE_KEY:
        route = configuration.find_open_route(dispatch.path.partition("?")[0])
        if route is None and not knows_less:
            raise BuckthornstileError(ErrorCode.KEY_MISSING, "the route is not open")
        return
    key = configuration.keys.get(dispatch.key_id)
    if key is not None and key.withdrawn:
        raise BuckthornstileError(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn")
    if knows_less:
        return
    if key is None or key.account != dispatch.account:
        raise BuckthornstileError(ErrorCode.KEY_UNKNOWN, "the key is not known")


def check_version(dispatch: Dispatch, condition: AgentCondition) -> None:
    """Refuses a sample that the present weights would make too old."""
    if condition.version < dispatch.minimum_version:
        raise BuckthornstileError(
            ErrorCode.SAMPLE_TOO_OLD,
            f"the upstream serves version {condition.version}; "
            f"at least {dispatch.minimum_version} is wanted",
            retry_after=0.5,
        )
