"""Gets the score of a complete item from the upstream that its job names."""

import asyncio

from buckthornstile.base import BuckthornstileError
from buckthornstile.gateway._job_context import JobContext
from buckthornstile.jobs import ItemId, ScoreCall
from buckthornstile.logs import log_event
from buckthornstile.messages import ClientRequest, RoutedCall
from buckthornstile.topology import Route

SCORE_TIMEOUT = 2.0
"""Seconds until the deadline of one request that scores an item."""
SCORE_RETRY_DELAY = 0.1
"""Seconds before a failed scoring request is retried."""
NOT_SENT_RETRY_DELAY = 0.1
"""Seconds before a score that cannot be requested now is tried again."""


async def find_score(context: JobContext, item: ItemId, call: ScoreCall) -> str | None:
    """Returns the score of the item, or None if it could not be scored."""
    view = context.dependencies.view
    failures = 0
    while not context.is_expired():
        route = view.find_route(call.host, call.path)
        if route is None or not route.services or context.find_refusal_reason():
            await asyncio.sleep(NOT_SENT_RETRY_DELAY)
            continue
        signature, new_failures = await _score_once(context, item, call, route)
        if signature:
            return signature
        failures += new_failures
        job_route = context.last_route
        job_max_attempts = job_route.max_attempts if job_route else 1
        if failures >= max(route.max_attempts, job_max_attempts):
            return None
        await asyncio.sleep(SCORE_RETRY_DELAY)
    return None


async def _score_once(
    context: JobContext, item: ItemId, call: ScoreCall, route: Route
) -> tuple[str, int]:
    """Sends a scoring request once.

    Returns:
        The signature of the response, which is the score, or "" without one; and
        the number of failures to count, 0 or 1.
    """
    path, _, query = call.path.partition("?")
    request = ClientRequest(
        id=call.id,
        method="POST",
        host=call.host,
        path=path,
        query=query,
        headers=(),
        body=call.body,
    )
    deadline = asyncio.get_running_loop().time() + SCORE_TIMEOUT
    routed_call = RoutedCall(
        request,
        route,
        None,
        deadline,
        before_send=context.prepare_send,
        is_item_call=True,
    )
    try:
        response = await context.dependencies.sender.send(routed_call)
    except BuckthornstileError as error:
        log_event(
            "item.score_retry",
            job=context.job.id,
            item=item,
            request=call.id,
            reason=error.message,
        )
        return "", 0
    if 200 <= response.head.status < 300:
        return response.head.signature, 0
    return "", int(response.head.status == 500)
