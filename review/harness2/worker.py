"""A worker: the project's stand-in, with what the pages ask in addition.

Reports name the start of the worker (``born``), and the data of an event names the
version of the software that generated it. It takes the flags of ``standins.worker``.
"""

import asyncio
import time

from standins.worker import __main__ as stand_in
from standins.worker import _application as application

BORN = int(time.time() * 1000)


class ReportHandler(application.ReportHandler):
    """``GET /-/report``, with the start of the worker."""

    def write(self, chunk: object) -> None:
        """Adds the start to the report."""
        if isinstance(chunk, dict):
            chunk = {**chunk, "born": BORN}
        super().write(chunk)


class RequestRunHandler(application.RequestRunHandler):
    """Runs requests; each event's data names the software that generated it."""

    def _make_data(self, prompt: object, number: int) -> str:
        return f"{self.state.software_version} {self.state.id} {number}"


application.ReportHandler = ReportHandler
application.RequestRunHandler = RequestRunHandler

if __name__ == "__main__":
    asyncio.run(stand_in.serve())
