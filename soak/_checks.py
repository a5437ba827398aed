"""Checks what was seen from outside while a seed was played."""

import asyncio
import time
import traceback

from soak._deployment import SoakDeployment
from tests.harness import PROPAGATION_LIMIT
from tests.invariants import list_request_times

RECOVERY = 15.0  # seconds after the last fault in which all is served again


def check(deployment: SoakDeployment) -> list[str]:
    """Checks every promise; gives what is wrong."""
    problems = []
    checks = (
        lambda one: one.harness.check(),
        _check_drains,
        _check_withdrawal,
    )
    for one in checks:
        try:
            one(deployment)
        except AssertionError as error:
            text = traceback.format_exception_only(error)
            problems.append("".join(text).strip()[:600])
    for name, process in deployment.harness.entries.items():
        if not process.is_running:
            problems.append(f"{name} ended with status {process.process.poll()}")
        for event in process.read_events("task.failed"):
            problems.append(f"{name}: {event}")
    return problems


def _check_drains(deployment: SoakDeployment) -> None:
    for domain, begun, ended in deployment.drain_spans:
        for name in deployment.harness.observations.upstreams:
            if f"bench-{'abc'[int(name[-1])]}" != domain:
                continue
            late = [
                at
                for at in list_request_times(deployment.harness.observations, name)
                if begun + PROPAGATION_LIMIT < at < ended
            ]
            assert not late, f"{name} got {len(late)} requests while drained"


def _check_withdrawal(deployment: SoakDeployment) -> None:
    if not deployment.withdrawn_at:
        return
    bound = deployment.withdrawn_at + PROPAGATION_LIMIT
    served = [
        call.name
        for call in deployment.harness.observations.calls
        if call.account == "quay" and call.status == 200 and call.began > bound
    ]
    assert not served, f"served under a withdrawn key: {served[:5]}"


async def check_recovery(deployment: SoakDeployment) -> list[str]:
    """Checks that all kinds of calls are served again in time."""
    caller = deployment.harness.make_caller(attempts=2)
    end = time.monotonic() + RECOVERY
    failed: list[str] = []
    while time.monotonic() < end:
        seen = [
            await deployment.harness.look_up(caller, timeout=2.0),
            await deployment.harness.order(caller, timeout=2.0),
            await deployment.harness.complete(caller, timeout=4.0),
        ]
        failed = [f"{one.kind}: {one.code}" for one in seen if one.status != 200]
        if not failed:
            return []
        await asyncio.sleep(0.3)
    return [f"not served again: {failed}"]
