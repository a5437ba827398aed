"""Decisions of the job manager that a wait for the store has made obsolete."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from buckthornstile.base import ProcessName
from buckthornstile.configuration import KeyState
from buckthornstile.gateway._job_manager import JobManager

OWN_NAME, OTHER_NAME = ProcessName("e1"), ProcessName("e2")


class Setup:
    """A job manager with two jobs, whose calls to the store run a function."""

    def __init__(self) -> None:
        self.live = [OWN_NAME]
        self.jobs = {name: self.make_job(name) for name in ("j1", "j2")}
        self.store = Mock(table=SimpleNamespace(jobs=self.jobs))
        self.presence = Mock(list_live=lambda: list(self.live))
        self.manager = JobManager(
            OWN_NAME,
            Mock(store=self.store),
            self.presence,
            assignment=Mock(list_assigned=lambda part: [OWN_NAME]),
            clock=lambda: 100.0,
            result_lifetime=60.0,
            get_key_state=lambda key: KeyState(key),
        )

    def make_job(self, name: str) -> Mock:
        claim = SimpleNamespace(owner=OTHER_NAME, epoch=1)
        specification = Mock(account="mill", path_prefix="/steps/", model=None, key="")
        job = Mock(id=name, claim=claim, part=0, specification=specification)
        job.is_finished.return_value = False
        job.get_lifetime.return_value = 60.0
        job.started_at = job.claimed_at = 90.0
        return job

    def replace_call(self, method: str, change: Callable[[], object]) -> list[str]:
        """Makes a method of the store run a function in its first call.

        Returns:
            The jobs that it is called with.
        """
        called: list[str] = []

        async def call(job: Mock) -> None:
            called.append(job.id)
            if len(called) == 1:
                change()

        setattr(self.store, method, call)
        return called


def test_runner_that_ended_during_a_call_to_the_store_ends_nothing() -> None:
    """The manager, and with it the process, ended with a KeyError."""
    setup = Setup()
    for name, job in setup.jobs.items():
        job.specification.key = "withdrawn"
        setup.manager._runners[name] = Mock(job=job)
    called = setup.replace_call("end", lambda: setup.manager._runners.pop("j2"))
    asyncio.run(setup.manager._stop_withdrawn_jobs())
    assert called == ["j1"]


def test_job_is_not_ended_because_its_key_cannot_be_verified() -> None:
    """After an outage, or in an entry that woke up, jobs of valid keys were ended."""
    setup = Setup()
    job = setup.jobs["j1"]
    job.specification.key = "unverified"
    runner = setup.manager._runners["j1"] = Mock(job=job)
    called = setup.replace_call("end", lambda: None)
    asyncio.run(setup.manager._stop_withdrawn_jobs())
    runner.stop.assert_called_once()
    assert called == []
    assert not setup.manager._is_orphan(job, setup.live)
    job.specification.key = "valid"
    assert setup.manager._is_orphan(job, setup.live)


@pytest.mark.parametrize("change", ["owner is back", "process leaves"])
def test_claim_is_decided_on_what_is_known_when_it_is_sent(change: str) -> None:
    """Jobs were claimed with a list of live processes from before other claims."""
    setup = Setup()

    def make_obsolete() -> None:
        if change == "owner is back":
            setup.live.append(OTHER_NAME)
        else:
            setup.manager.is_leaving = True

    called = setup.replace_call("claim", make_obsolete)
    asyncio.run(setup.manager._claim_orphans())
    assert called == ["j1"]
