"""Starts a worker's stand-in: ``python -m standins.worker``.

The worker registers itself in the store. After SIGTERM it states in its responses that
it leaves and registers as draining. It serves requests for another
``--drain-seconds``, removes its registration and exits. A request with the body
``--deadly-body`` ends it at once. It prints its journal as one JSON line before it
exits.
"""

import asyncio
import json
import os
import signal

from standins.server import listen, make_argument_parser
from standins.worker._application import WorkerState, make_application
from standins.worker._registration import Registration


def parse_flags():  # noqa: ANN201
    """Parses the command-line flags."""
    parser = make_argument_parser("worker")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--store", required=True, help="base URL of the store")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument(
        "--models", default="", help="names of models, separated by commas"
    )
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--software-version", default="v1")
    parser.add_argument("--event-seconds", type=float, default=0.002)
    parser.add_argument("--work-seconds", type=float, default=0.002)
    parser.add_argument("--load-seconds", type=float, default=0.05)
    parser.add_argument("--heartbeat", type=float, default=0.5)
    parser.add_argument("--cold-seconds", type=float, default=0.0)
    parser.add_argument("--drain-seconds", type=float, default=2.0)
    parser.add_argument(
        "--deadly-body", default="", help="body of requests that crash the worker"
    )
    parser.add_argument(
        "--advertise",
        default="",
        help="IP:port to register (default: the address that the worker listens on)",
    )
    return parser.parse_args()


async def serve() -> None:
    """Runs the worker until SIGTERM or SIGINT, then drains it."""
    flags = parse_flags()
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    state = WorkerState(
        flags.name,
        slots=flags.slots,
        event_seconds=flags.event_seconds,
        work_seconds=flags.work_seconds,
        load_seconds=flags.load_seconds,
        versions={name: flags.version for name in flags.models.split(",") if name},
        software_version=flags.software_version,
    )
    application = make_application(state)

    def print_journal() -> None:
        entries = list(application.journal.entries)  # type: ignore[attr-defined]
        print(json.dumps({"event": "journal", "entries": entries}), flush=True)

    def crash() -> None:
        print_journal()
        os._exit(1)

    state.deadly_body, state.crash = flags.deadly_body.encode() or None, crash
    port = listen(application, flags.address, flags.port)
    registration = Registration(
        state,
        flags.store,
        address=flags.advertise or f"{flags.address}:{port}",
        service=flags.service,
        failure_domain=flags.zone,
        heartbeat=flags.heartbeat,
        cold_seconds=flags.cold_seconds,
    )
    print(json.dumps({"ready": True, "port": port}), flush=True)
    heartbeat_task = asyncio.create_task(registration.run())
    await stop_requested.wait()
    registration.is_draining = state.is_leaving = True
    await registration.register()
    await asyncio.sleep(flags.drain_seconds)
    heartbeat_task.cancel()
    await registration.deregister()
    print_journal()


if __name__ == "__main__":
    asyncio.run(serve())
