"""Health, readiness, metrics and status of an entry for operators."""

from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.api._dependencies import ApiDependencies
from buckthornstile.api._requests import ApiRequest, make_json_response
from buckthornstile.base import ProcessName
from buckthornstile.logs import EventLogHandler
from buckthornstile.messages import Response

MAX_EVENT_LINES = 200
"""Number of recent event log lines in one response."""


@dataclass(frozen=True, slots=True)
class ProcessState:
    """State of an entry process.

    Args:
        ready: Whether the external load balancer may send new clients to the entry.
        stopping: Whether the entry was asked to stop.
        is_holder: Whether the entry is the lease holder.
        term: The newest known term of the lease.
        holder: The process that holds the lease, or None.
        jobs: Number of jobs that the entry runs.
        entries: The live entries.
    """

    ready: bool
    stopping: bool
    is_holder: bool
    term: int
    holder: ProcessName | None
    jobs: int
    entries: tuple[ProcessName, ...]


class OperatorHandlers:
    """Handles the requests of operators, none of which needs an API key.

    Args:
        dependencies: The shared dependencies of the handlers.
        event_log: The log handler that holds the recent event lines.
        get_state: A function that returns the state of the entry.
        render_metrics: A function that returns the metrics in text format.
    """

    def __init__(
        self,
        dependencies: ApiDependencies,
        event_log: EventLogHandler,
        get_state: Callable[[], ProcessState],
        render_metrics: Callable[[], str],
    ) -> None:
        self.dependencies = dependencies
        self.event_log = event_log
        self.get_state = get_state
        self.render_metrics = render_metrics

    def find_handler(self, path: str) -> Callable[[ApiRequest], Response] | None:
        """Returns the handler of a path, or None if the path is not for operators."""
        return {
            "/healthz": self._show_health,
            "/readyz": self._show_readiness,
            "/metrics": self._show_metrics,
            "/v1/status": self._show_status,
            "/v1/explain": self._explain,
        }.get(path)

    def _show_health(self, request: ApiRequest) -> Response:
        return make_json_response({"live": True})

    def _show_readiness(self, request: ApiRequest) -> Response:
        ready = self.get_state().ready
        return make_json_response({"ready": ready}, 200 if ready else 503)

    def _show_metrics(self, request: ApiRequest) -> Response:
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        return Response(200, self.render_metrics().encode(), headers)

    def _show_status(self, request: ApiRequest) -> Response:
        state = self.get_state()
        configuration = self.dependencies.configuration_watcher.current
        view = self.dependencies.view
        upstreams = [
            {
                "upstream": upstream.id,
                "service": upstream.service,
                "failure_domain": upstream.failure_domain,
                "draining": upstream.is_draining,
                "versions": dict(upstream.versions),
            }
            for _, upstream in sorted(view.upstreams.items())
        ]
        return make_json_response(
            {
                "process": self.dependencies.settings.process,
                "failure_domain": self.dependencies.settings.failure_domain,
                "ready": state.ready,
                "stopping": state.stopping,
                "configuration": {
                    "revision": configuration.revision,
                    "offset": configuration.last_offset,
                    "age": round(
                        min(
                            self.dependencies.configuration_watcher.get_staleness(), 1e9
                        ),
                        3,
                    ),
                },
                "control": {
                    "is_holder": state.is_holder,
                    "term": state.term,
                    "holder": state.holder,
                },
                "entries": list(state.entries),
                "drained": sorted(view.drained_domains | view.evacuated_domains),
                "open_calls": self.dependencies.admission.open_calls,
                "jobs": state.jobs,
                "upstreams": upstreams,
            }
        )

    def _explain(self, request: ApiRequest) -> Response:
        subject = request.get_query_parameter("subject")
        return make_json_response(
            {
                "process": self.dependencies.settings.process,
                "lines": self.event_log.list_recent(subject)[-MAX_EVENT_LINES:],
                "counts": self.event_log.count_events(subject),
            }
        )
