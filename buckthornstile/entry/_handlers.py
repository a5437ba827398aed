"""The HTTP API of callers, the balancer and operators."""

import asyncio
import json
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.entry._calls import (
    Call,
    authenticate_call,
    classify_call,
    parse_call,
)
from buckthornstile.entry._open_lots import LotStream
from buckthornstile.entry._writers import StreamWriter, WholeWriter, write_error
from buckthornstile.metrics import CounterName, Measure

if TYPE_CHECKING:
    from buckthornstile.entry._daemon import Entry


class BaseHandler(RequestHandler):
    """What all handlers share: coded errors and no log lines of tornado's.

    Args:
        entry: The entry.
    """

    entry: "Entry" = None  # type: ignore[assignment]

    def initialize(self, entry: "Entry") -> None:
        """Stores the entry; tornado calls this."""
        self.entry = entry
        self.set_default_headers()

    def set_default_headers(self) -> None:
        """Sets what every answer carries; tornado calls this."""
        self.clear_header("Server")
        # Tornado calls this once before the handler knows its entry.
        if self.entry is not None and self.entry.stopping:
            # A caller on a kept connection must come again through another entry.
            self.set_header("Connection", "close")

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answers an unforeseen error with a code; tornado calls this."""
        self.entry.counters.increment(CounterName("internal_errors"))
        code = ErrorCode.ROUTE_UNKNOWN if status_code == 404 else ErrorCode.INTERNAL
        # Whether an upstream was reached is not known here.
        verdict = Verdict.NOT_RUN if status_code < 500 else Verdict.MAY_HAVE_RUN
        write_error(self, BuckthornstileError(code, verdict=verdict))

    def log_exception(self, *args: object) -> None:
        """Keeps request lines, which may hold secrets, out of the logs."""

    def refuse(self, error: BuckthornstileError) -> None:
        """Answers with a coded error and counts it."""
        self.entry.count_error(error)
        write_error(self, error)

    def read_json(self) -> dict[str, object]:
        """Reads the body as a JSON object.

        Raises:
            BuckthornstileError: With ``BODY_MALFORMED``.
        """
        try:
            value = json.loads(self.request.body)
        except (ValueError, RecursionError) as error:
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "the body is not JSON"
            ) from error
        if not isinstance(value, dict):
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "the body is not a JSON object"
            )
        return value


@stream_request_body
class BodyHandler(BaseHandler):
    """Collects a bounded body, and refuses a larger one with a code."""

    def prepare(self) -> None:
        """Checks the declared length before any byte is read."""
        self.collected = bytearray()
        self.refused = False
        declared = self.request.headers.get("Content-Length", "0")
        if not declared.isdigit() or int(declared) > self.max_body_bytes:
            self._refuse_body()

    @property
    def max_body_bytes(self) -> int:
        """The largest body accepted, in bytes."""
        return self.entry.settings.max_body_bytes

    def data_received(self, chunk: bytes) -> None:
        """Takes the next bytes of the body."""
        if self.refused:
            return
        self.collected += chunk
        if len(self.collected) > self.max_body_bytes:
            self._refuse_body()

    def _refuse_body(self) -> None:
        self.refused = True
        self.set_header("Connection", "close")
        self.refuse(
            BuckthornstileError(
                ErrorCode.BODY_TOO_LARGE,
                f"the body is larger than {self.max_body_bytes} bytes",
            )
        )

    def take_body(self) -> bytes:
        """Gives the collected body."""
        return bytes(self.collected)


class CallHandler(BodyHandler):
    """Serves every path that the operators' rules or open routes name."""

    _task: asyncio.Task[None] | None = None

    async def _serve(self) -> None:
        if self.refused:
            return
        self._task = asyncio.current_task()
        entry = self.entry
        try:
            call = self._prepare_call()
            entry.admit(call)
        except BuckthornstileError as error:
            self.refuse(error)
            return
        started_at = entry.read_clock()
        try:
            await self._run(call, started_at)
        except asyncio.CancelledError:
            entry.counters.increment(CounterName("callers_gone"))
        finally:
            self._task = None
            entry.release(call)
            entry.record(Measure.TOTAL, call, entry.read_clock() - started_at)

    get = post = put = delete = patch = head = options = _serve  # type: ignore[assignment]

    def _prepare_call(self) -> Call:
        """Runs the filters: parse, authenticate, classify."""
        settings = self.entry.settings
        request = self.request
        call = parse_call(
            request.method or "GET",
            request.uri or "/",
            request.headers,
            self.take_body(),
            default_timeout=settings.default_timeout,
            max_timeout=settings.max_timeout,
        )
        configuration = self.entry.configuration.current
        authorization = request.headers.get("Authorization")
        call = authenticate_call(call, authorization, configuration)
        return classify_call(call, configuration)

    async def _run(self, call: Call, started_at: float) -> None:
        entry = self.entry
        writer: StreamWriter | WholeWriter = WholeWriter(self)
        if call.stream:
            writer = StreamWriter(
                self,
                on_first=lambda: entry.record(
                    Measure.FIRST_TOKEN, call, entry.read_clock() - started_at
                ),
            )
        try:
            end = await entry.dispatcher.run_call(call, writer)
        except BuckthornstileError as error:
            entry.count_error(error)
            if isinstance(writer, StreamWriter) and writer.has_begun:
                writer.fail(error)
            else:
                write_error(self, error)
            return
        entry.record(Measure.QUEUE_WAIT, call, end.queue_wait)
        writer.finish(end)

    def on_connection_close(self) -> None:
        """Gives the call up when the caller goes; tornado calls this."""
        if self._task is not None:
            self._task.cancel()


class HealthHandler(BaseHandler):
    """Tells that the process lives."""

    def get(self) -> None:
        """Answers 200."""
        self.finish({"live": True})


class ReadyHandler(BaseHandler):
    """Tells the balancer whether to send callers here."""

    def get(self) -> None:
        """Answers 200 if ready, else 503."""
        ready = self.entry.is_ready
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready})


class MetricsHandler(BaseHandler):
    """Serves the metrics to scrapers."""

    def get(self) -> None:
        """Answers with the text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.entry.render_metrics())


class StatusHandler(BaseHandler):
    """Shows operators the state of this entry."""

    def get(self) -> None:
        """Answers with the status."""
        self.finish(self.entry.make_status())


class ExplainHandler(BaseHandler):
    """Shows operators what was decided lately, and why."""

    def get(self) -> None:
        """Answers with the last changes of state and refusals by code."""
        subject = self.get_query_argument("subject", "")
        self.finish(self.entry.make_explanation(subject))


class TrainerVersionHandler(BodyHandler):
    """Takes a trainer's current weight version."""

    def post(self, trainer: str) -> None:
        """Notes the version."""
        if self.refused:
            return
        try:
            caller = self.entry.authenticate_trainer(self.request)
            body = self._read()
            self.entry.lots.on_trainer_version(caller.account, trainer, body)
        except BuckthornstileError as error:
            self.refuse(error)
            return
        self.finish({"version": body})

    def _read(self) -> int:
        self.request.body = self.take_body()
        version = self.read_json().get("version")
        if type(version) is not int or version < 0:
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "version must be a whole number from 0"
            )
        return version


class LotHandler(BodyHandler):
    """Streams a lot's samples to its trainer, one JSON a line."""

    _stream: LotStream | None = None

    async def post(self) -> None:
        """Attaches the trainer, and writes lines until the lot or attach ends."""
        if self.refused:
            return
        try:
            caller = self.entry.authenticate_trainer(self.request)
            self.request.body = self.take_body()
            stream = await self.entry.lots.attach(caller, self.read_json())
        except BuckthornstileError as error:
            self.refuse(error)
            return
        self.set_header("Content-Type", "application/x-ndjson")
        self._stream = stream
        started_at = self.entry.read_clock()
        try:
            while (line := await stream.next_line()) is not None:
                self.write(line)
                await self.flush()
        except StreamClosedError:
            self.entry.counters.increment(CounterName("trainers_gone"))
        finally:
            stream.close()
            self.entry.histograms.record(
                Measure.TOTAL,
                self.entry.read_clock() - started_at,
                account=caller.account,
                request_class=stream.request_class,
            )
        if not self._finished:
            self.finish()

    def on_connection_close(self) -> None:
        """Ends the stream when the trainer goes; tornado calls this."""
        if self._stream is not None:
            self._stream.close()


class AcknowledgeHandler(BodyHandler):
    """Takes a trainer's acknowledgement of samples."""

    def post(self, lot: str) -> None:
        """Notes which slots the trainer has."""
        if self.refused:
            return
        try:
            caller = self.entry.authenticate_trainer(self.request)
            self.request.body = self.take_body()
            count = self.entry.lots.acknowledge(caller.account, lot, self.read_json())
        except BuckthornstileError as error:
            self.refuse(error)
            return
        self.finish({"acknowledged": count})


def make_application(entry: "Entry") -> Application:
    """Makes the tornado application.

    Args:
        entry: The entry.

    Returns:
        The application; its last route serves callers.
    """
    options = {"entry": entry}
    routes = [
        (r"/healthz", HealthHandler, options),
        (r"/readyz", ReadyHandler, options),
        (r"/metrics", MetricsHandler, options),
        (r"/v1/status", StatusHandler, options),
        (r"/v1/explain", ExplainHandler, options),
        (r"/v1/lots", LotHandler, options),
        (r"/v1/lots/([^/]+)/acknowledge", AcknowledgeHandler, options),
        (r"/v1/trainers/([^/]+)/version", TrainerVersionHandler, options),
        (r"/.*", CallHandler, options),
    ]
    return Application(routes, log_function=lambda handler: None)  # type: ignore[arg-type]
