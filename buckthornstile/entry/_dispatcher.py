"""Sends a call to an upstream, and again only where that is safe."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Incarnation,
    RequestId,
    UpstreamId,
    Verdict,
    make_request_id,
)
from buckthornstile.configuration import Configuration
from buckthornstile.entry._calls import Call
from buckthornstile.entry._fleet import Fleet
from buckthornstile.entry._links import AgentLink
from buckthornstile.entry._pending import PendingRequest
from buckthornstile.limits import Deadline, RetryBudget
from buckthornstile.records import UsageLine
from buckthornstile.routing import (
    EjectionChange,
    OutlierEjection,
    RouteChoice,
    RouteRequest,
    choose_upstream,
)
from buckthornstile.usage import UsageCounter
from buckthornstile.wire import Chunk, Dispatch, End, Started

RETRYABLE_REFUSALS = frozenset(
    {
        ErrorCode.DRAINING,
        ErrorCode.QUEUE_FULL,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.NO_UPSTREAM,
        ErrorCode.UPSTREAM_FAILED,
        ErrorCode.SEALED,
        ErrorCode.SAMPLE_TOO_OLD,
        ErrorCode.VERSION_UNVERIFIABLE,
    }
)
UPSTREAM_FAULTS = frozenset(
    {
        ErrorCode.UPSTREAM_FAILED,
        ErrorCode.ANSWER_TRUNCATED,
        ErrorCode.ANSWER_CROSSED,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.VERSION_UNVERIFIABLE,
    }
)
FREE_REFUSALS = frozenset({ErrorCode.DRAINING, ErrorCode.SAMPLE_TOO_OLD})
"""Refusals that cost an upstream nothing, and so nothing of the retry budget."""

MAX_SENDS = 4
HOME_WAIT_SECONDS = 1.0


class AnswerWriter(Protocol):
    """Where a call's answer goes."""

    async def start(self, started: Started) -> None:
        """Takes the head of the answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Takes the next bytes of the answer."""
        ...

    @property
    def has_begun(self) -> bool:
        """Whether the caller has seen a part of the answer."""
        ...


@dataclass(slots=True)
class DispatcherCounters:
    """What became of calls at this entry."""

    sent: int = 0
    finished: int = 0
    failed: int = 0
    resent: int = 0
    no_upstream: int = 0
    ejected: int = 0
    retry_budget_spent: int = 0


class Dispatcher:
    """Chooses upstreams, sends calls and follows them to their end.

    Args:
        fleet: The upstreams.
        incarnation: The entry's incarnation.
        usage: Counts what each request used.
        get_configuration: Gives the configuration in force here.
        read_clock: Gives the time, in seconds.
        rng: The source of the random choices.
        budget: The entry's retry budget.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        incarnation: Incarnation,
        usage: UsageCounter,
        get_configuration: Callable[[], Configuration],
        read_clock: Callable[[], float],
        rng: random.Random,
        budget: RetryBudget,
    ) -> None:
        self.fleet = fleet
        self.incarnation = incarnation
        self.usage = usage
        self.get_configuration = get_configuration
        self.read_clock = read_clock
        self.rng = rng
        self.budget = budget
        self.ejection = OutlierEjection()
        self.counters = DispatcherCounters()
        self._counter = 0

    # Sending

    def send(self, dispatch: Dispatch, link: AgentLink) -> PendingRequest:
        """Sends one request under a new id, and counts its usage at its end.

        Args:
            dispatch: The request; its id is from :meth:`make_id`.
            link: The agent's link.

        Returns:
            Where its replies arrive.

        Raises:
            BuckthornstileError: Nothing was sent.
        """
        counter = int(dispatch.request_id.rpartition("/")[2])
        self.usage.open(counter)
        try:
            pending = link.dispatch(dispatch)
        except Exception:
            self.usage.finish(counter, None)
            raise
        self.counters.sent += 1
        return pending

    def make_id(self) -> RequestId:
        """Makes the next request id."""
        request_id = make_request_id(self.incarnation, self._counter)
        self._counter += 1
        return request_id

    def settle(self, pending: PendingRequest, link: AgentLink, end: End | None) -> None:
        """Counts the usage of a request that has ended or was given up.

        Args:
            pending: The request.
            link: The link that it was sent over.
            end: Its end, or None if none came; the agent may still tell it.
        """
        dispatch = pending.dispatch
        if end is not None or pending.refused:
            self._count(dispatch, end)
            return
        link.outcomes.add(
            pending, lambda late: self._count(dispatch, late), self.read_clock()
        )

    def _count(self, dispatch: Dispatch, end: End | None) -> None:
        counter = int(dispatch.request_id.rpartition("/")[2])
        line = None
        ran = end is not None and end.verdict is Verdict.RAN
        if end is not None and ran and not end.replayed:
            line = UsageLine(
                account=dispatch.account,
                service=dispatch.service,
                request_class=dispatch.request_class,
                requests=1,
                prompt_tokens=end.prompt_tokens,
                generated_tokens=end.generated_tokens,
            )
        self.usage.finish(counter, line)

    # Choice

    def choose(self, request: RouteRequest) -> tuple[AgentLink | None, RouteChoice]:
        """Chooses an upstream by predicted wait.

        Args:
            request: What the choice depends on.

        Returns:
            The link, or None with the refusal.
        """
        now = self.read_clock()
        choice = choose_upstream(
            self.fleet.list_views(),
            request,
            now=now,
            rng=self.rng,
            failure_domain=self.fleet.owner.identity.failure_domain,
            is_ejected=lambda upstream: self.ejection.is_ejected(upstream, now),
            heartbeat_timeout=self.fleet.owner.heartbeat_timeout,
        )
        if choice.upstream is None:
            self.counters.no_upstream += 1
            return None, choice
        return self.fleet.links[choice.upstream], choice

    def note_result(self, link: AgentLink, code: ErrorCode | None) -> None:
        """Takes in how a request ended, for ejection and the retry budget."""
        ok = code not in UPSTREAM_FAULTS
        if code is None:
            self.budget.on_success()
        upstream = link.view.upstream
        peers = self.fleet.list_peers(link.view.service)
        change = self.ejection.on_result(upstream, ok, self.read_clock(), peers=peers)
        if change is EjectionChange.EJECTED:
            self.counters.ejected += 1
            self.fleet.on_change("ejected after failures in a row", upstream)

    # Calls

    async def run_call(self, call: Call, writer: AnswerWriter) -> End:
        """Runs a call to its end, with resends where they are safe.

        Args:
            call: The classified call.
            writer: Where the answer goes.

        Returns:
            The end of a whole answer.

        Raises:
            BuckthornstileError: With a verdict that is true for the call as a
                whole, over all its sends.
        """
        deadline = Deadline.from_timeout(call.timeout, now=self.read_clock())
        excluded: set[UpstreamId] = set()
        may_have_run = False
        sends = 0
        while True:
            link: AgentLink | None = None
            try:
                link = await self._find_link(call, excluded, deadline)
                sends += 1
                return await self._send_once(call, link, writer, deadline)
            except BuckthornstileError as error:
                may_have_run |= error.verdict is not Verdict.NOT_RUN
                # Without a link there is none left to send to.
                if link is None or not self._may_resend(
                    call, error, writer, deadline, sends
                ):
                    self.counters.failed += 1
                    if may_have_run and error.verdict is Verdict.NOT_RUN:
                        error.verdict = Verdict.MAY_HAVE_RUN
                    raise
                excluded.add(link.view.upstream)
                self.counters.resent += 1

    def _may_resend(
        self,
        call: Call,
        error: BuckthornstileError,
        writer: AnswerWriter,
        deadline: Deadline,
        sends: int,
    ) -> bool:
        """Whether another send is safe, useful and within the budget."""
        if sends >= MAX_SENDS or writer.has_begun:
            return False
        if deadline.has_passed(self.read_clock()):
            return False
        safe = error.verdict is Verdict.NOT_RUN or call.idempotent
        useful = error.code in RETRYABLE_REFUSALS or error.code in UPSTREAM_FAULTS
        if not (safe and useful):
            return False
        if error.verdict is Verdict.NOT_RUN and error.code in FREE_REFUSALS:
            return True
        if self.budget.spend():
            return True
        self.counters.retry_budget_spent += 1
        return False

    async def _find_link(
        self, call: Call, excluded: set[UpstreamId], deadline: Deadline
    ) -> AgentLink:
        await self.fleet.wait_fresh()
        if call.has_home:
            return await self._find_home(call, excluded, deadline)
        request = RouteRequest(
            call.service,
            cost=float(call.expected_tokens),
            prefix=call.prefix,
            excluded=frozenset(excluded),
        )
        link, choice = self.choose(request)
        if link is None:
            raise BuckthornstileError(
                choice.code or ErrorCode.NO_UPSTREAM,
                f"no upstream of {call.service} can take the call: "
                f"{choice.reason.value}",
                retry_after=choice.retry_after,
            )
        return link

    async def _find_home(
        self, call: Call, excluded: set[UpstreamId], deadline: Deadline
    ) -> AgentLink:
        """Finds the one agent at which this call may run.

        A first attempt takes the home, or the deputy if the home cannot take
        it. A retry first seals the call at all other candidates, so that what
        they know, or cannot vouch for, decides.
        """
        homes = self.fleet.list_homes(
            call.service, f"{call.account}\0{call.idempotency_key}"
        )
        links = [self.fleet.open_link(name) for name in homes if name not in excluded]
        usable = [link for link in links if link is not None]
        chosen = None
        for link in usable:
            if await self._is_ready(link, deadline):
                chosen = link
                break
        if chosen is None:
            raise BuckthornstileError(
                ErrorCode.NO_UPSTREAM,
                "no upstream that may remember the call can be reached",
                verdict=Verdict.NOT_RUN if call.attempt <= 1 else Verdict.MAY_HAVE_RUN,
                retry_after=1.0,
            )
        if call.attempt > 1:
            for name in homes:
                if name != chosen.view.upstream:
                    await self._seal_elsewhere(call, name)
        return chosen

    async def _is_ready(self, link: AgentLink, deadline: Deadline) -> bool:
        remaining = deadline.get_remaining(self.read_clock())
        view = link.view
        if view.drained or view.leaving:
            return False
        return link.is_up or await link.wait_connected(
            min(remaining, HOME_WAIT_SECONDS)
        )

    async def _seal_elsewhere(self, call: Call, upstream: UpstreamId) -> None:
        link = self.fleet.open_link(upstream)
        verdict = Verdict.MAY_HAVE_RUN
        if link is not None:
            verdict = await link.seal_call(
                call.account, call.idempotency_key, call.first_attempt_age
            )
        if verdict is not Verdict.NOT_RUN:
            raise BuckthornstileError(
                ErrorCode.ATTEMPT_OUT_OF_MEMORY,
                "an earlier attempt may have run at another upstream",
                verdict=Verdict.MAY_HAVE_RUN,
            )

    def _make_dispatch(self, call: Call, remaining: float) -> Dispatch:
        return Dispatch(
            self.make_id(),
            call.account,
            call.key_id,
            self.get_configuration().through,
            call.request_class,
            call.service,
            call.method,
            call.path,
            idempotency_key=call.idempotency_key,
            first_attempt_age=call.first_attempt_age,
            attempt=call.attempt,
            idempotent=call.idempotent,
            timeout=remaining,
            content_type=call.content_type,
            body=call.body,
            stream=call.stream,
            expected_tokens=call.expected_tokens,
            weight=call.weight,
            home_stable_for=self.fleet.get_stable_seconds(call.service),
        )

    async def _send_once(
        self,
        call: Call,
        link: AgentLink,
        writer: AnswerWriter,
        deadline: Deadline,
    ) -> End:
        dispatch = self._make_dispatch(call, deadline.get_remaining(self.read_clock()))
        pending = self.send(dispatch, link)
        end: End | None = None
        try:
            end = await self._relay(pending, writer, deadline)
        except BuckthornstileError as error:
            self._give_up(pending, link, error)
            self.note_result(link, error.code)
            if error.code is ErrorCode.CONNECTION_LOST and not call.idempotent:
                error.verdict = await link.seal(pending)
            raise
        except BaseException:
            gone = BuckthornstileError(ErrorCode.CANCELLED, "the caller has gone")
            self._give_up(pending, link, gone)
            raise
        finally:
            self.settle(pending, link, end)
        self.note_result(link, end.code)
        self.counters.finished += 1
        return end

    def _give_up(
        self, pending: PendingRequest, link: AgentLink, error: BuckthornstileError
    ) -> None:
        if not pending.ended:
            link.cancel(pending, error)

    async def _relay(
        self, pending: PendingRequest, writer: AnswerWriter, deadline: Deadline
    ) -> End:
        while True:
            reply = await pending.next(deadline.get_remaining(self.read_clock()))
            if isinstance(reply, Started):
                await writer.start(reply)
            elif isinstance(reply, Chunk):
                await writer.write(reply.data)
            elif reply.verdict is Verdict.RAN:
                return reply
            else:
                raise BuckthornstileError(
                    reply.code or ErrorCode.INTERNAL,
                    reply.message,
                    verdict=reply.verdict,
                    retry_after=reply.retry_after or None,
                )
