"""What an entry tells operators and the balancer of itself."""

from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.api._dependencies import ApiDependencies
from buckthornstile.api._requests import ApiRequest, make_json_reply
from buckthornstile.base import ProcessName
from buckthornstile.logs import EventLogHandler
from buckthornstile.messages import Response

MAX_LINES = 200
"""Recent event lines in one answer."""


@dataclass(frozen=True, slots=True)
class ProcessState:
    """What an entry knows of itself.

    Args:
        ready: Whether callers may be sent here.
        stopping: Whether it was asked to stop.
        is_holder: Whether it holds the lease.
        term: The lease's newest term.
        holder: Who holds the lease.
        jobs: Jobs that it runs.
        entries: The entries that live.
    """

    ready: bool
    stopping: bool
    is_holder: bool
    term: int
    holder: ProcessName | None
    jobs: int
    entries: tuple[ProcessName, ...]


class OperatorHandlers:
    """Answers operators; none of it needs a key."""

    def __init__(
        self,
        dependencies: ApiDependencies,
        events: EventLogHandler,
        read_state: Callable[[], ProcessState],
        render_metrics: Callable[[], str],
    ) -> None:
        self.dependencies = dependencies
        self.events = events
        self.read_state = read_state
        self.render_metrics = render_metrics

    def find(self, path: str) -> Callable[[ApiRequest], Response] | None:
        """Finds what answers a path, or None if it is no operator's."""
        return {
            "/healthz": self._show_health,
            "/readyz": self._show_readiness,
            "/metrics": self._show_metrics,
            "/v1/status": self._show_status,
            "/v1/explain": self._explain,
        }.get(path)

    def _show_health(self, request: ApiRequest) -> Response:
        return make_json_reply({"live": True})

    def _show_readiness(self, request: ApiRequest) -> Response:
        ready = self.read_state().ready
        return make_json_reply({"ready": ready}, 200 if ready else 503)

    def _show_metrics(self, request: ApiRequest) -> Response:
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        return Response(200, self.render_metrics().encode(), headers)

    def _show_status(self, request: ApiRequest) -> Response:
        state = self.read_state()
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
        return make_json_reply(
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
                "open_calls": self.dependencies.admission.open,
                "jobs": state.jobs,
                "upstreams": upstreams,
            }
        )

    def _explain(self, request: ApiRequest) -> Response:
        subject = request.read_argument("subject")
        return make_json_reply(
            {
                "process": self.dependencies.settings.process,
                "lines": self.events.list_recent(subject)[-MAX_LINES:],
                "counts": self.events.count_events(subject),
            }
        )
