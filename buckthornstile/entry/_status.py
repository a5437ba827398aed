"""What an entry tells operators of itself."""

from collections import Counter
from dataclasses import asdict
from typing import TYPE_CHECKING

from buckthornstile.entry._changes import is_code_of
from buckthornstile.entry._links import AgentLink
from buckthornstile.entry._open_lots import OpenLot
from buckthornstile.metrics import GaugeName, Gauges, render_metrics

if TYPE_CHECKING:
    from buckthornstile.entry._daemon import Entry


def make_status(entry: "Entry") -> dict[str, object]:
    """Makes the status that ``buckthornstile status`` shows.

    Args:
        entry: The entry.

    Returns:
        A JSON object.
    """
    now = entry.read_clock()
    configuration = entry.configuration.current
    return {
        "process": entry.identity.process,
        "incarnation": entry.identity.incarnation,
        "failure_domain": entry.identity.failure_domain,
        "ready": entry.is_ready,
        "stopping": entry.stopping,
        "configuration": {
            "revision": configuration.revision,
            "offset": configuration.through,
            "has_gap": entry.configuration.has_gap,
        },
        "agents": [_describe_agent(link) for link in _links(entry) if link.is_up],
        "log_lag": min(entry.log.get_lag(), 1e9),
        "control": asdict(entry.control.make_status(now)),
        "weights": {
            "target": entry.weights.target,
            "behind": entry.weights.list_behind(),
        },
        "drained": sorted(configuration.drains),
        "open_calls": entry.admission.open,
        "lots": [_describe_lot(opened, now) for opened in entry.lots.open.values()],
        "upstreams": [_describe_link(entry, link, now) for link in _links(entry)],
    }


def _links(entry: "Entry") -> list[AgentLink]:
    links = entry.fleet.links
    return [links[name] for name in sorted(links)]


def _describe_agent(link: AgentLink) -> dict[str, object]:
    return {
        "process": link.vm.process,
        "configuration_offset": link.agent_offset,
    }


def _describe_lot(opened: OpenLot, now: float) -> dict[str, object]:
    return {
        "lot": opened.lot.lot_id,
        "attach": opened.lot.attach,
        **asdict(opened.lot.summarize(now)),
    }


def _describe_link(entry: "Entry", link: AgentLink, now: float) -> dict[str, object]:
    view = link.view
    return {
        "upstream": view.upstream,
        "service": view.service,
        "failure_domain": view.failure_domain,
        "connected": link.is_up,
        "state": view.state.value,
        "drained": view.drained,
        "leaving": view.leaving,
        "ejected": entry.dispatcher.ejection.is_ejected(view.upstream, now),
        "version": view.version,
        "limit": view.limit,
        "running": view.running,
        "queued": view.queued,
        "in_flight": view.in_flight,
        "configuration_offset": link.agent_offset,
        "last_error": None if link.last_error is None else link.last_error.value,
    }


def make_explanation(entry: "Entry", subject: str = "") -> dict[str, object]:
    """Makes what ``buckthornstile explain`` shows: changes, and refusals by code.

    Args:
        entry: The entry.
        subject: What the changes concern, or a code or its first part; empty for
            all.

    Returns:
        A JSON object.
    """
    # One code may come with several verdicts, each of which has its own count.
    errors: Counter[str] = Counter()
    for labels, count in entry.counters.items().get("errors", {}).items():
        errors[dict(labels).get("code", "")] += int(count)
    return {
        "process": entry.identity.process,
        "changes": entry.changes.list_changes(subject),
        "errors": {
            code: count
            for code, count in errors.items()
            if not subject or is_code_of(code, subject)
        },
        "dispatcher": asdict(entry.dispatcher.counters),
        "control": dict(entry.control.counters),
        "runner": dict(entry.runner.counters),
    }


def render_entry_metrics(entry: "Entry") -> str:
    """Renders the entry's metrics for a scraper.

    Args:
        entry: The entry.

    Returns:
        The text format.
    """
    gauges = Gauges()
    gauges.set(GaugeName("open_calls"), entry.admission.open)
    gauges.set(GaugeName("open_lots"), len(entry.lots.open))
    gauges.set(
        GaugeName("configuration_revision"), entry.configuration.current.revision
    )
    gauges.set(GaugeName("log_lag_seconds"), min(entry.log.get_lag(), 1e9))
    gauges.set(GaugeName("log_appends"), entry.log.appends)
    gauges.set(GaugeName("log_appended_bytes"), entry.log.appended_bytes)
    connected = sum(link.is_up for link in entry.fleet.links.values())
    gauges.set(GaugeName("connected_agents"), connected)
    for name, value in asdict(entry.dispatcher.counters).items():
        gauges.set(GaugeName(f"calls_{name}"), value)
    return render_metrics(
        counters=entry.counters, gauges=gauges, histograms=entry.histograms
    )
