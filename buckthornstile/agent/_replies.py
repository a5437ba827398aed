"""The messages that end a request at an agent."""

import dataclasses

from buckthornstile.base import BuckthornstileError, ErrorCode, RequestId, Verdict
from buckthornstile.guard import KeptAnswer
from buckthornstile.wire import Answer, Dispatch, End, FinishedSample, compute_digest


def make_answer(
    request_id: RequestId, answer: KeptAnswer, *, queue_wait: float = 0.0
) -> Answer:
    """Makes the one message of a whole answer.

    Args:
        request_id: The request.
        answer: The answer.
        queue_wait: Seconds that it waited in the queue.

    Returns:
        The message for the entry.

    Example:
        >>> make_answer("e/1", KeptAnswer(200, "text/plain", b"yes")).body
        b'yes'
    """
    return Answer(
        request_id,
        answer.status,
        answer.content_type,
        answer.body,
        compute_digest(answer.body),
        answer.labels,
        answer.prompt_tokens,
        answer.generated_tokens,
        queue_wait,
    )


def make_failure(request_id: RequestId, error: BuckthornstileError) -> End:
    """Makes the end of a request that failed.

    Args:
        request_id: The request.
        error: Why.

    Returns:
        The message for the entry.

    Example:
        >>> error = BuckthornstileError(ErrorCode.DRAINING, "no new work")
        >>> make_failure(RequestId("e/1"), error).verdict
        <Verdict.NOT_RUN: 'not_run'>
    """
    return End(
        request_id,
        error.verdict,
        error.code,
        error.message,
        retry_after=error.retry_after or 0.0,
    )


def drop_usage(answer: KeptAnswer) -> KeptAnswer:
    """Leaves out what was counted already, under the request that ran.

    Args:
        answer: The answer.

    Returns:
        The same without token counts.

    Example:
        >>> drop_usage(KeptAnswer(200, "", b"", prompt_tokens=3)).prompt_tokens
        0
    """
    return dataclasses.replace(answer, prompt_tokens=0, generated_tokens=0)


def make_cancelled() -> BuckthornstileError:
    """Makes the error of a request that nobody waits for any more.

    Example:
        >>> make_cancelled().code.value
        'request.cancelled'
    """
    return BuckthornstileError(
        ErrorCode.CANCELLED, "the request was given up", verdict=Verdict.MAY_HAVE_RUN
    )


def make_sample(dispatch: Dispatch, answer: KeptAnswer) -> FinishedSample:
    """Makes the sample that the agent keeps until it is acknowledged.

    Args:
        dispatch: The request that made it.
        answer: The engine's whole answer.

    Returns:
        The sample.
    """
    return FinishedSample(
        dispatch.request_id,
        dispatch.lot,
        dispatch.slot_group,
        dispatch.slot_index,
        answer.body,
        compute_digest(answer.body),
        answer.labels,
        answer.prompt_tokens,
        answer.generated_tokens,
    )
