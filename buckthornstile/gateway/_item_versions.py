"""Which upstreams may run an item, by their versions of weights and software."""

from buckthornstile.base import SoftwareVersion
from buckthornstile.gateway._item_progress import ItemProgress
from buckthornstile.gateway._job_context import JobContext
from buckthornstile.messages import StreamEvent
from buckthornstile.topology import Route, Upstream


def get_version(context: JobContext, upstream: Upstream) -> int:
    """Returns the weight version of the job's model at an upstream, or 0."""
    model = context.job.specification.model
    view = context.dependencies.view
    return view.get_version(upstream, model) if model is not None else 0


def holds_allowed_version(context: JobContext, upstream: Upstream) -> bool:
    """Whether an upstream may run an item of the job from the start."""
    specification = context.job.specification
    if specification.model is None:
        return True
    version = get_version(context, upstream)
    return bool(version) and version >= specification.minimum_version


def can_go_on(
    context: JobContext,
    upstream: Upstream,
    route: Route,
    event: StreamEvent,
    software_version: SoftwareVersion | None,
) -> bool:
    """Whether an upstream holds the versions that must produce the rest of a text.

    Args:
        context: The job.
        upstream: The upstream.
        route: The route of the job.
        event: The first event of the text.
        software_version: Version of the software that produced the events so far.
    """
    if upstream.software_version != software_version:
        return False
    return (
        not route.requires_single_version
        or get_version(context, upstream) == event.version
    )


def is_eligible(
    context: JobContext, upstream: Upstream, route: Route, progress: ItemProgress
) -> bool:
    """Whether an upstream may run the rest of an item."""
    if not holds_allowed_version(context, upstream):
        return False
    return not progress.events or can_go_on(
        context, upstream, route, progress.events[0], progress.software_version
    )


def is_software_uncertain(
    context: JobContext, upstream: Upstream, progress: ItemProgress
) -> bool:
    """Whether a run's new events may be of another software version than its choice.

    An upstream may start again under its id, with other software, before its record
    shows it.
    """
    listed = context.dependencies.view.upstreams.get(upstream.id)
    return listed is not None and listed.software_version != progress.software_version
