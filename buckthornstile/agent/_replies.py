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


def make_replay(request_id: RequestId, answer: KeptAnswer) -> Answer:
    """Makes the message of an answer that another request made.

    Args:
        request_id: The request that is answered.
        answer: The answer.

    Returns:
        The message; its entry counts no usage for it.

    Example:
        >>> make_replay("e/1", KeptAnswer(200, "text/plain", b"yes")).replayed
        True
    """
    return dataclasses.replace(make_answer(request_id, answer), replayed=True)


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
