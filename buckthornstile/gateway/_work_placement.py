"""Placement by expected work: what the load balancer knows, and its choices."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from buckthornstile.base import ServiceName, UpstreamId
from buckthornstile.gateway._upstream_stats import UpstreamStats
from buckthornstile.logs import log_event
from buckthornstile.metrics import CounterName, Counters
from buckthornstile.placement import (
    PROMPT_TOKEN_SECONDS,
    TOKENS_PER_EVENT,
    Candidate,
    Choice,
    OpenWork,
    RequestProfile,
    WorkEstimator,
    choose,
    is_move_worthwhile,
)
from buckthornstile.topology import Upstream

SLOWDOWN_LIFETIME = 30.0
"""Seconds after a reported slowdown for which its service is placed by work."""
LOG_INTERVAL = 1.0
"""Seconds between two lines about the choices for one service."""
SHORT_RUN_SECONDS = 0.5
"""Length of a run, in seconds, up to which the slowdown at its end held throughout."""
MIN_LOAD_DURATION = 0.1
"""Least average duration of requests, in seconds, by which a reported load ages."""
PACE_WEIGHT = 0.02
"""Weight of the newest run in a service's average pace."""
MAX_ROUTE_LABELS = 64
"""Number of routes with counters of their own."""


@dataclass(frozen=True, slots=True)
class LoadedUpstream:
    """An upstream that may be chosen, as the load balancer sees it."""

    upstream: Upstream
    stats: UpstreamStats
    has_connection: bool
    has_prefix: bool


class WorkPlacement:
    """Places requests by expected work, and learns from their runs.

    Args:
        mode: ``work`` and ``load`` decide for all services; with ``auto`` a service is
            placed by work while its upstreams report a slowdown.
        random_source: Source of randomness for choices.
    """

    def __init__(self, mode: str, random_source: random.Random) -> None:
        self.mode = mode
        self.random_source = random_source
        self.estimator = WorkEstimator()
        self.counters = Counters()
        self._slowdown_times: dict[ServiceName, float] = {}
        self._log_times: dict[tuple[str, ServiceName], float] = {}
        self._routes: set[str] = set()
        self._average_paces: dict[tuple[ServiceName, bool], float] = {}

    def is_active(self, service: ServiceName, now: float) -> bool:
        """Whether the requests of a service are placed by work."""
        if self.mode != "auto":
            return self.mode == "work"
        reported_at = self._slowdown_times.get(service, -math.inf)
        return now - reported_at <= SLOWDOWN_LIFETIME

    def record_load(
        self, service: ServiceName, stats: UpstreamStats, now: float
    ) -> None:
        """Records the load that an upstream of a service reported just now."""
        stats.backlog.record_others(stats.count_others(), now)
        if stats.load is not None and stats.load.slowdown is not None:
            stats.speed.record_report(stats.load.slowdown, now)
            self._slowdown_times[service] = now

    def choose(
        self,
        service: ServiceName,
        upstreams: Sequence[LoadedUpstream],
        now: float,
        *,
        profile: RequestProfile | None,
        is_deferrable: bool,
    ) -> UpstreamId | None:
        """Returns the choice, or None if it failed and load must decide."""
        try:
            choice = self._choose(service, upstreams, now, profile, is_deferrable)
        except Exception as error:
            self._log_failure(service, error, now)
            return None
        return choice.best.upstream

    def _choose(
        self,
        service: ServiceName,
        upstreams: Sequence[LoadedUpstream],
        now: float,
        profile: RequestProfile | None,
        is_deferrable: bool,
    ) -> Choice:
        profile = profile or RequestProfile(service, "")
        estimate = self.estimator.estimate(profile)
        candidates = [self._make_candidate(one, profile, now) for one in upstreams]
        choice = choose(
            candidates, estimate, self.random_source, is_deferrable=is_deferrable
        )
        if self._may_log("placement.choice", service, now):
            self._log_choice(profile, choice, estimate.mean)
        return choice

    def _make_candidate(
        self, loaded: LoadedUpstream, profile: RequestProfile, now: float
    ) -> Candidate:
        stats = loaded.stats
        average = self.estimator.get_average(profile.service)
        duration = max(MIN_LOAD_DURATION, average)
        others, variance = stats.backlog.estimate_others(now, duration)
        load = stats.open_request_count + others
        saved = PROMPT_TOKEN_SECONDS * profile.prompt_tokens
        return Candidate(
            loaded.upstream.id,
            load,
            loaded.upstream.slots,
            compute_duration_factor(stats, now),
            wait=self.compute_wait(loaded.upstream, stats, load, now, variance),
            saved=saved if loaded.has_prefix else 0.0,
            has_connection=loaded.has_connection,
            report_age=now - stats.load_received_at,
        )

    def compute_wait(
        self,
        upstream: Upstream,
        stats: UpstreamStats,
        load: float,
        now: float,
        variance: float = 0.0,
    ) -> float:
        """Returns the expected seconds until an upstream starts one more request.

        If the estimate fails, a full upstream counts like one with a free slot: load
        and the upstream's refusals decide.
        """
        if load < upstream.slots and not variance:
            return 0.0
        service = upstream.service
        try:
            return stats.backlog.compute_wait(
                now,
                self.estimator,
                load=load,
                slots=upstream.slots,
                other_work=self.estimator.get_average(service),
                duration_factor=compute_duration_factor(stats, now),
                variance=variance,
            )
        except Exception as error:
            self._log_failure(service, error, now)
            return 0.0

    def should_move(
        self,
        service: ServiceName,
        work: OpenWork | None,
        *,
        done_events: int,
        latency: float,
        peer_latency: float | None,
        slow_time: float,
        now: float,
    ) -> bool:
        """Whether a slow run is moved: if it would be complete clearly earlier.

        Without placement by work, it is moved in any case.

        Args:
            service: The service that runs it.
            work: The run in its upstream's backlog, or None if it is not known.
            done_events: Number of events of the request so far.
            latency: Seconds between its latest events.
            peer_latency: The same at peers with a free slot, or None if there is none.
            slow_time: Seconds for which the run has been slow.
            now: The time, in seconds.
        """
        if not self.is_active(service, now):
            return True
        if work is None or not peer_latency:
            return False
        profile = work.profile
        prompt_seconds = PROMPT_TOKEN_SECONDS * profile.prompt_tokens
        done = prompt_seconds + done_events * peer_latency
        repeated_tokens = done_events * TOKENS_PER_EVENT
        try:
            remaining = self.estimator.estimate_remaining(profile, done)
        except Exception as error:
            self._log_failure(profile.service, error, now)
            return False
        return is_move_worthwhile(
            remaining=remaining,
            slowdown=latency / peer_latency,
            slow_time=slow_time,
            repeated=prompt_seconds + PROMPT_TOKEN_SECONDS * repeated_tokens,
        )

    # Runs

    def open_work(
        self,
        upstream: Upstream,
        stats: UpstreamStats,
        profile: RequestProfile | None,
        load: float,
        now: float,
    ) -> OpenWork | None:
        """Adds a request that is sent to an upstream to its backlog.

        Returns:
            The request in the backlog, or None if it is not known or cannot be
            estimated.
        """
        if profile is None:
            return None
        try:
            factor = compute_duration_factor(stats, now)
            expected = self.estimator.estimate(profile)
        except Exception as error:
            self._log_failure(profile.service, error, now)
            return None
        is_active = self.is_active(profile.service, now)
        wait = self.compute_wait(upstream, stats, load, now) if is_active else 0.0
        predicted = wait + expected.mean * factor
        work = OpenWork(profile, expected, now, factor, predicted)
        stats.backlog.add(work)
        return work

    def record_completed(
        self,
        stats: UpstreamStats,
        work: OpenWork | None,
        seconds: float,
        now: float,
        *,
        work_seconds: float | None = None,
        pace: float | None = None,
    ) -> None:
        """Records a run that was completed.

        Args:
            stats: Statistics of the upstream.
            work: The run in the upstream's backlog, or None if it is not known.
            seconds: Seconds that the run took.
            now: The time, in seconds.
            work_seconds: Seconds that the whole request would have taken there, if the
                run did only a part of it.
            pace: Seconds that a unit of work took, which compares upstreams; by default
                the run's time relative to its estimate.
        """
        if work is None:
            return
        try:
            slowdown = _compute_run_slowdown(stats, seconds, now)
            total = (work_seconds or seconds) / slowdown
            self._count(work, seconds)
            self.estimator.record_completed(
                work.profile, total / stats.speed.duration_ratio
            )
            pace = total / work.expected.mean if pace is None else pace / slowdown
            self._record_pace(stats, work.profile, pace)
        except Exception as error:
            self._log_failure(work.profile.service, error, now)

    def record_censored(
        self, stats: UpstreamStats, work: OpenWork | None, seconds: float, now: float
    ) -> None:
        """Records a run that ended early, with the seconds until then."""
        if work is None:
            return
        try:
            slowdown = _compute_run_slowdown(stats, seconds, now)
            self.estimator.record_censored(
                work.profile, seconds / slowdown / stats.speed.duration_ratio
            )
        except Exception as error:
            self._log_failure(work.profile.service, error, now)

    def _record_pace(
        self, stats: UpstreamStats, profile: RequestProfile, pace: float
    ) -> None:
        """Compares a run's pace with the average of all upstreams of the service."""
        key = (profile.service, profile.is_generation())
        average = self._average_paces.get(key, pace)
        self._average_paces[key] = average + PACE_WEIGHT * (pace - average)
        if average > 0:
            stats.speed.record_run(pace / average)

    def _count(self, work: OpenWork, observed: float) -> None:
        profile = work.profile
        if len(self._routes) < MAX_ROUTE_LABELS:
            self._routes.add(profile.route)
        route = profile.route if profile.route in self._routes else "other"
        self.counters.increment(CounterName("placement_runs"), route=route)
        for name, seconds in (("predicted", work.predicted), ("observed", observed)):
            self.counters.increment(
                CounterName(f"placement_{name}_seconds"), seconds, route=route
            )

    # Log

    def _log_failure(self, service: ServiceName, error: Exception, now: float) -> None:
        if self._may_log("placement.failed", service, now):
            log_event("placement.failed", service=service, reason=repr(error))

    def _may_log(self, event: str, service: ServiceName, now: float) -> bool:
        key = (event, service)
        if now - self._log_times.get(key, -math.inf) < LOG_INTERVAL:
            return False
        self._log_times[key] = now
        return True

    def _log_choice(self, profile: RequestProfile, choice: Choice, work: float) -> None:
        best, second = choice.best, choice.second
        log_event(
            "placement.choice",
            service=profile.service,
            route=profile.route,
            account=profile.account,
            work=round(work, 4),
            is_probe=choice.is_probe,
            **_describe("", best, choice.seconds),
            **(_describe("second_", second, choice.second_seconds) if second else {}),
        )


def compute_duration_factor(stats: UpstreamStats, now: float) -> float:
    """Returns the expected duration of work at an upstream, relative to the usual."""
    slowdown = max(
        stats.speed.compute_slowdown(now),
        stats.backlog.infer_slowdown(now, stats.speed.reported_at),
    )
    return max(0.05, slowdown * stats.speed.duration_ratio)


def _compute_run_slowdown(stats: UpstreamStats, seconds: float, now: float) -> float:
    if seconds <= SHORT_RUN_SECONDS:
        return max(0.1, stats.speed.compute_slowdown(now))
    return max(0.1, stats.speed.compute_average(now))


def _describe(prefix: str, candidate: Candidate, seconds: float) -> dict[str, object]:
    age = candidate.report_age
    return {
        f"{prefix}upstream": candidate.upstream,
        f"{prefix}seconds": round(seconds, 4),
        f"{prefix}load": round(candidate.load, 2),
        f"{prefix}duration_factor": round(candidate.duration_factor, 2),
        f"{prefix}wait": round(candidate.wait, 4),
        f"{prefix}report_age": round(age, 3) if age < 1e6 else None,
    }
