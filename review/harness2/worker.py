"""A worker: the project's stand-in, with what the pages ask in addition.

Reports name the start of the worker (``born``), and the data of an event names the
software that generated it. A request with the body in the variable ``DEADLY_BODY``
ends the worker ``DEADLY_SECONDS`` after it began, whether its connection is still open
or not. It takes the flags of ``standins.worker``.
"""

import asyncio
import json
import os
import time

from standins.worker import __main__ as stand_in
from standins.worker import _application as application

BORN = int(time.time() * 1000)
DEADLY_BODY = os.environ.get("DEADLY_BODY", "").encode()
DEADLY_SECONDS = float(os.environ.get("DEADLY_SECONDS", "0"))


class ReportHandler(application.ReportHandler):
    """``GET /-/report``, with the start of the worker."""

    def write(self, chunk: object) -> None:
        """Adds the start to the report."""
        if isinstance(chunk, dict):
            chunk = {**chunk, "born": BORN}
        super().write(chunk)


class RequestRunHandler(application.RequestRunHandler):
    """Runs requests; each event's data names the software that generated it."""

    async def post(self) -> None:
        """Runs a request; one that crashes the worker gets no answer."""
        if not DEADLY_BODY or self.request.body != DEADLY_BODY:
            await super().post()
            return
        request = self.request.headers.get("Request-Id", "")
        line = {"event": "deadly", "request": request, "at": time.time()}
        print(json.dumps(line), flush=True)
        asyncio.get_running_loop().call_later(DEADLY_SECONDS, os._exit, 1)
        await asyncio.sleep(DEADLY_SECONDS + 1)

    get = post

    def _make_data(self, prompt: object, number: int) -> str:
        return f"{self.state.software_version} {self.state.id} {number}"


application.ReportHandler = ReportHandler
application.RequestRunHandler = RequestRunHandler

if __name__ == "__main__":
    asyncio.run(stand_in.serve())
