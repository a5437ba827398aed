"""Starts the project's stand-in for a worker, which goes dark instead of exiting.

After the journal is written, the process stops and says nothing more, until it is
killed and started again.
"""

import asyncio
import os
import signal

from standins.worker import __main__ as worker


def go_dark(_status):
    """Stops this process."""
    os.kill(os.getpid(), signal.SIGSTOP)


if __name__ == "__main__":
    os._exit = go_dark
    asyncio.run(worker.serve())
