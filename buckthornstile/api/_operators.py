"""What an entry tells operators and the balancer of itself."""

from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.api._requests import ApiRequest, make_json_reply
from buckthornstile.api._tools import ApiTools
from buckthornstile.base import ProcessName
from buckthornstile.calls import Reply
from buckthornstile.logs import EventLineHandler

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
        tools: ApiTools,
        events: EventLineHandler,
        read_state: Callable[[], ProcessState],
        render_metrics: Callable[[], str],
    ) -> None:
        self.tools = tools
        self.events = events
        self.read_state = read_state
        self.render_metrics = render_metrics

    def find(self, path: str) -> Callable[[ApiRequest], Reply] | None:
        """Finds what answers a path, or None if it is no operator's."""
        return {
            "/healthz": self._show_health,
            "/readyz": self._show_readiness,
            "/metrics": self._show_metrics,
            "/v1/status": self._show_status,
            "/v1/explain": self._explain,
        }.get(path)

    def _show_health(self, request: ApiRequest) -> Reply:
        return make_json_reply({"live": True})

    def _show_readiness(self, request: ApiRequest) -> Reply:
        ready = self.read_state().ready
        return make_json_reply({"ready": ready}, 200 if ready else 503)

    def _show_metrics(self, request: ApiRequest) -> Reply:
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        return Reply(200, self.render_metrics().encode(), headers)

    def _show_status(self, request: ApiRequest) -> Reply:
        state = self.read_state()
        configuration = self.tools.watch.current
        view = self.tools.view
        upstreams = [
            {
                "upstream": upstream.id,
                "service": upstream.service,
                "failure_domain": upstream.zone,
                "draining": upstream.is_draining,
                "versions": dict(upstream.versions),
            }
            for _, upstream in sorted(view.upstreams.items())
        ]
        return make_json_reply(
            {
                "process": self.tools.settings.process,
                "failure_domain": self.tools.settings.failure_domain,
                "ready": state.ready,
                "stopping": state.stopping,
                "configuration": {
                    "revision": configuration.revision,
                    "offset": configuration.through,
                    "age": round(min(self.tools.watch.get_age(), 1e9), 3),
                },
                "control": {
                    "is_holder": state.is_holder,
                    "term": state.term,
                    "holder": state.holder,
                },
                "entries": list(state.entries),
                "drained": sorted(view.drained | view.evacuated),
                "open_calls": self.tools.admission.open,
                "jobs": state.jobs,
                "upstreams": upstreams,
            }
        )

    def _explain(self, request: ApiRequest) -> Reply:
        subject = request.read_argument("subject")
        return make_json_reply(
            {
                "process": self.tools.settings.process,
                "lines": self.events.list_recent(subject)[-MAX_LINES:],
                "counts": self.events.count_events(subject),
            }
        )
