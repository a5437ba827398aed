"""The agent's request table: each request starts at most once.

A request id is written here before the upstream is touched. An idempotency key
ties the attempts of one call together: while the table remembers one attempt
that may have run, no other attempt under the same key starts.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    IdempotencyKey,
    RequestId,
    Verdict,
)
from buckthornstile.wire import Dispatch, TokenRange

# An entry may have worked from a list of VMs that is this old.
VM_LIST_LAG_SECONDS = 15.0


class RequestState(Enum):
    """How far a request has come."""

    QUEUED = "queued"
    STARTED = "started"
    FINISHED = "finished"
    FAILED = "failed"
    SEALED = "sealed"


VERDICTS: dict[RequestState, Verdict] = {
    RequestState.QUEUED: Verdict.NOT_RUN,
    RequestState.SEALED: Verdict.NOT_RUN,
    RequestState.STARTED: Verdict.MAY_HAVE_RUN,
    RequestState.FAILED: Verdict.MAY_HAVE_RUN,
    RequestState.FINISHED: Verdict.RAN,
}


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole answer, kept so that a retry gets it without a second run."""

    status: int
    content_type: str
    body: bytes
    labels: tuple[TokenRange, ...] = ()
    prompt_tokens: int = 0
    generated_tokens: int = 0


class GuardAction(Enum):
    """What the agent does with a request that has arrived."""

    QUEUE = "queue"
    REPLAY = "replay"


@dataclass(frozen=True, slots=True)
class GuardDecision:
    """The action, and for a replay the kept answer."""

    action: GuardAction
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class CallName:
    """One call of one client account, over all its attempts."""

    account: AccountId
    key: IdempotencyKey


@dataclass(slots=True)
class _Entry:
    state: RequestState
    changed_at: float
    call: CallName | None
    answer: KeptAnswer | None = None


@dataclass(slots=True)
class GuardCounters:
    """What the table has decided so far."""

    queued: int = 0
    replayed: int = 0
    refused_in_flight: int = 0
    refused_unprovable: int = 0
    sealed: int = 0
    forgotten: int = 0


@dataclass(slots=True)
class RequestTable:
    """Remembers requests and calls; forgets the oldest when it is full.

    Args:
        started_at: When this table began to remember, in seconds.
        memory_seconds: How long a settled request is remembered.
        max_entries: Requests remembered at most.
        max_answer_bytes: Bytes of kept answers at most.

    Example:
        >>> table = RequestTable(started_at=0.0)
        >>> table.seal(RequestId("e/1"), now=1.0)
        <Verdict.NOT_RUN: 'not_run'>
    """

    started_at: float
    memory_seconds: float = 600.0
    max_entries: int = 200_000
    max_answer_bytes: int = 32 << 20
    counters: GuardCounters = field(default_factory=GuardCounters)
    _entries: OrderedDict[RequestId, _Entry] = field(default_factory=OrderedDict)
    _calls: dict[CallName, RequestId] = field(default_factory=dict)
    _sealed_calls: dict[CallName, float] = field(default_factory=dict)
    _answers: OrderedDict[RequestId, int] = field(default_factory=OrderedDict)
    _answer_bytes: int = 0
    _remembers_since: float | None = None

    @property
    def remembers_since(self) -> float:
        """The time since which nothing has been forgotten."""
        if self._remembers_since is None:
            return self.started_at
        return self._remembers_since

    def admit(self, dispatch: Dispatch, now: float) -> GuardDecision:
        """Decides whether a request may be queued, and writes it down.

        Args:
            dispatch: The request.
            now: The time, in seconds.

        Returns:
            Queue it, or replay the answer of an earlier attempt.

        Raises:
            BuckthornstileError: ``SEALED`` for an id that was sealed or seen
                before; ``DUPLICATE_IN_FLIGHT`` while an earlier attempt runs;
                ``ATTEMPT_OUT_OF_MEMORY`` for a retry whose earlier attempts
                this table cannot vouch for.
        """
        self._forget_old(now)
        if dispatch.request_id in self._entries:
            raise BuckthornstileError(
                ErrorCode.SEALED,
                "the request id was used before",
                verdict=VERDICTS[self._entries[dispatch.request_id].state],
            )
        call = make_call_name(dispatch)
        if call is not None:
            earlier = self._find_earlier(call)
            if earlier is not None and not _may_run_beside(dispatch, earlier):
                return self._answer_retry(earlier)
            self._check_provable(dispatch, call, now)
        self._write(dispatch.request_id, _Entry(RequestState.QUEUED, now, call))
        if call is not None:
            self._calls[call] = dispatch.request_id
        self.counters.queued += 1
        return GuardDecision(GuardAction.QUEUE)

    def _find_earlier(self, call: CallName) -> _Entry | None:
        """Finds an attempt under the same key that was not proven not to run."""
        request_id = self._calls.get(call)
        if request_id is None:
            return None
        entry = self._entries.get(request_id)
        if entry is None or entry.state is RequestState.SEALED:
            return None
        return entry

    def _answer_retry(self, earlier: _Entry) -> GuardDecision:
        if earlier.answer is not None:
            self.counters.replayed += 1
            return GuardDecision(GuardAction.REPLAY, earlier.answer)
        self.counters.refused_in_flight += 1
        code = ErrorCode.DUPLICATE_IN_FLIGHT
        if earlier.state in (RequestState.FINISHED, RequestState.FAILED):
            code = ErrorCode.ATTEMPT_OUT_OF_MEMORY
        raise BuckthornstileError(
            code,
            "an earlier attempt under the same idempotency key may have run",
            # A queued attempt may start at any moment, and so may have run.
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def _check_provable(self, dispatch: Dispatch, call: CallName, now: float) -> None:
        """Refuses a retry whose earlier attempts nobody can vouch for."""
        if dispatch.idempotent:
            return
        sealed_attempts = call in self._sealed_calls
        if dispatch.attempt <= 1 and not sealed_attempts:
            return
        needed = dispatch.first_attempt_age + VM_LIST_LAG_SECONDS
        remembered = self._remembers(dispatch.first_attempt_age, now)
        stable = dispatch.home_stable_for >= needed
        if dispatch.attempt > 1 and remembered and stable:
            return
        self.counters.refused_unprovable += 1
        raise BuckthornstileError(
            ErrorCode.ATTEMPT_OUT_OF_MEMORY,
            "no process can tell whether an earlier attempt ran",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def _remembers(self, first_attempt_age: float, now: float) -> bool:
        needed = first_attempt_age + VM_LIST_LAG_SECONDS
        return now - self.remembers_since >= needed

    def start(self, request_id: RequestId, now: float) -> bool:
        """Marks a request as started, before its upstream is touched.

        Args:
            request_id: The request.
            now: The time, in seconds.

        Returns:
            Whether it may start; False if it was sealed or started before.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.state is not RequestState.QUEUED:
            return False
        entry.state = RequestState.STARTED
        entry.changed_at = now
        return True

    def finish(
        self, request_id: RequestId, now: float, answer: KeptAnswer | None = None
    ) -> None:
        """Notes a whole answer, and keeps it if the request has a key.

        Args:
            request_id: The request.
            now: The time, in seconds.
            answer: The answer, to be replayed to a retry.
        """
        entry = self._entries[request_id]
        entry.state = RequestState.FINISHED
        entry.changed_at = now
        if answer is None or entry.call is None:
            return
        entry.answer = answer
        self._answers[request_id] = len(answer.body)
        self._answer_bytes += len(answer.body)
        self._drop_answers()

    def fail(self, request_id: RequestId, verdict: Verdict, now: float) -> None:
        """Notes a failure.

        Args:
            request_id: The request.
            verdict: NOT_RUN only if the upstream never saw the request.
            now: The time, in seconds.
        """
        entry = self._entries[request_id]
        not_run = verdict is Verdict.NOT_RUN
        entry.state = RequestState.SEALED if not_run else RequestState.FAILED
        entry.changed_at = now

    def seal(self, request_id: RequestId, now: float) -> Verdict:
        """Makes sure that a request never starts from now on, if it has not.

        Args:
            request_id: The request, which this table may never have seen.
            now: The time, in seconds.

        Returns:
            NOT_RUN if it has not started and now never will; MAY_HAVE_RUN or
            RAN otherwise.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            entry = _Entry(RequestState.SEALED, now, None)
            self._write(request_id, entry)
        if entry.state is RequestState.QUEUED:
            entry.state = RequestState.SEALED
            entry.changed_at = now
        self.counters.sealed += 1
        return VERDICTS[entry.state]

    def seal_call(
        self, call: CallName, now: float, *, first_attempt_age: float
    ) -> Verdict:
        """Seals a call's attempts at this agent, for a retry through another.

        Args:
            call: The call.
            now: The time, in seconds.
            first_attempt_age: Seconds since the call's first attempt.

        Returns:
            NOT_RUN if no attempt started here and none will; else the verdict
            on the attempt that did, or MAY_HAVE_RUN if the first attempt is
            older than this table's memory.
        """
        self._forget_old(now)
        if not self._remembers(first_attempt_age, now):
            return Verdict.MAY_HAVE_RUN
        earlier = self._find_earlier(call)
        if earlier is not None and earlier.state is not RequestState.QUEUED:
            return VERDICTS[earlier.state]
        if earlier is not None:
            earlier.state = RequestState.SEALED
            earlier.changed_at = now
        self._sealed_calls[call] = now
        self.counters.sealed += 1
        return Verdict.NOT_RUN

    def get_state(self, request_id: RequestId) -> RequestState | None:
        """Gives a request's state, or None if it is not remembered."""
        entry = self._entries.get(request_id)
        return None if entry is None else entry.state

    def __len__(self) -> int:
        return len(self._entries)

    def _write(self, request_id: RequestId, entry: _Entry) -> None:
        self._entries[request_id] = entry

    def _drop_answers(self) -> None:
        while self._answer_bytes > self.max_answer_bytes:
            request_id, size = self._answers.popitem(last=False)
            self._answer_bytes -= size
            entry = self._entries.get(request_id)
            if entry is not None:
                entry.answer = None

    def _forget_old(self, now: float) -> None:
        """Forgets settled requests from the oldest end."""
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            full = len(self._entries) >= self.max_entries
            old = now - entry.changed_at > self.memory_seconds
            if not (full or old):
                break
            if entry.state in (RequestState.QUEUED, RequestState.STARTED):
                # Open requests are never forgotten; they move to the young end.
                self._entries.move_to_end(request_id)
                if full:
                    break
                entry.changed_at = now
                continue
            self._forget(request_id, entry)
        self._forget_sealed_calls(now)

    def _forget(self, request_id: RequestId, entry: _Entry) -> None:
        del self._entries[request_id]
        self._answer_bytes -= self._answers.pop(request_id, 0)
        if entry.call is not None and self._calls.get(entry.call) == request_id:
            del self._calls[entry.call]
        self._remembers_since = max(self.remembers_since, entry.changed_at)
        self.counters.forgotten += 1

    def _forget_sealed_calls(self, now: float) -> None:
        for call, sealed_at in list(self._sealed_calls.items())[:4]:
            if now - sealed_at <= self.memory_seconds:
                break
            del self._sealed_calls[call]


def _may_run_beside(dispatch: Dispatch, earlier: _Entry) -> bool:
    """Whether a retry may run although an earlier attempt may have run."""
    return dispatch.idempotent and earlier.answer is None


def make_call_name(dispatch: Dispatch) -> CallName | None:
    """Gives the call that a request is an attempt of.

    Args:
        dispatch: The request.

    Returns:
        The call, or None if the caller gave no idempotency key.

    Example:
        >>> from buckthornstile.base import RequestClass
        >>> request = Dispatch("e/1", "a", "k", 0, RequestClass.WAITED, "s", "GET", "/")
        >>> make_call_name(request) is None
        True
    """
    if not dispatch.idempotency_key:
        return None
    return CallName(dispatch.account, dispatch.idempotency_key)
