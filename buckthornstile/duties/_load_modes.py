"""Chooses how running requests are treated while an engine loads a version."""

from buckthornstile.base import ServiceName
from buckthornstile.messages import LoadMode
from buckthornstile.topology import TopologyView

RUNNING_ITEM_SECONDS = 12.0
"""Seconds for which items may still run at the engines of a service after its route
was moved or no longer requires a single version: the time limit of a run, and the delay
until every entry has the configuration."""


class LoadModePolicy:
    """Chooses the mode of load orders for a service.

    Args:
        view: The topology in effect.
    """

    def __init__(self, view: TopologyView) -> None:
        self.view = view
        self._last_required: dict[ServiceName, float] = {}
        self._first_observed_at: float | None = None

    def observe(self, now: float) -> None:
        """Records which services' routes require a single version now.

        Args:
            now: The current clock reading, in seconds.
        """
        if self._first_observed_at is None:
            self._first_observed_at = now
        configuration = self.view.configuration
        for route in configuration.routes if configuration else ():
            if route.requires_single_version:
                for service, _ in route.services:
                    self._last_required[service] = now

    def choose(self, service: ServiceName, now: float) -> LoadMode:
        """Returns the mode in which the engines of a service should load.

        Args:
            service: The service.
            now: The current clock reading, in seconds.
        """
        self.observe(now)
        if self._may_run_single_version_items(service, now):
            return LoadMode.FINISH_FIRST
        return LoadMode.CONTINUE

    def _may_run_single_version_items(self, service: ServiceName, now: float) -> bool:
        """Whether a service's engines may run items that require a single version."""
        assert self._first_observed_at is not None
        if now - self._first_observed_at < RUNNING_ITEM_SECONDS:
            # A route that requires one may have been moved before this process started.
            return bool(self._last_required)
        required_at = self._last_required.get(service)
        return required_at is not None and now - required_at < RUNNING_ITEM_SECONDS
