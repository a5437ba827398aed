"""Starts the stand-in for a worker, whose events name its software version."""

import asyncio
import functools
import os

from standins.worker import WorkerState
from standins.worker import __main__ as worker


def make_state(*arguments, **fields):
    """Returns the state of a worker with long streams."""
    state = WorkerState(*arguments, **fields)
    state.padding = f" {state.software_version}"
    state.events = int(os.environ.get("EVENTS", "40"))
    return state


if __name__ == "__main__":
    worker.WorkerState = functools.partial(make_state)
    asyncio.run(worker.serve())
