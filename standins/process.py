"""Starts stand-ins and daemons as processes, for tests and the demo."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self
from urllib.request import ProxyHandler, Request, build_opener

START_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 10.0  # seconds
CALL_TIMEOUT = 10.0  # seconds
READY_POLL = 0.02  # seconds


@dataclass(slots=True)
class ManagedProcess:
    """One process of the bench.

    Args:
        name: Its name on the bench.
        process: The operating system's process.
        ready: The JSON line that it printed at its start.
        log_path: Where its error output goes.
        address: The IP number that it listens on.
        stop_requested: Whether it was sent SIGTERM.
    """

    name: str
    process: "subprocess.Popen[bytes]"
    ready: dict[str, Any]
    log_path: Path
    address: str = "127.0.0.1"
    stop_requested: bool = False

    @property
    def output_path(self) -> Path:
        """Where its standard output goes, such as an entry's event lines."""
        return self.log_path.with_suffix(".out")

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self.ready["port"]

    @property
    def url(self) -> str:
        """Where it listens."""
        return f"http://{self.address}:{self.port}"

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Sends it a signal."""
        self.process.send_signal(number)

    def pause(self) -> None:
        """Suspends it."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills it at once."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Sends SIGTERM, once: a second one may strike as it shuts down."""
        if self.stop_requested or not self.is_running:
            return
        self.stop_requested = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def stop(self, *, timeout: float = STOP_TIMEOUT) -> int:
        """Asks it to end, kills it after a while, and gives its exit status."""
        self.terminate()
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Makes a JSON call to it, such as to its control routes."""
        data = None if body is None else json.dumps(body).encode()
        request = Request(self.url + path, data=data, method=method)
        # Stand-ins listen on loopback, so a proxy of the environment is ignored.
        opener = build_opener(ProxyHandler({}))
        with opener.open(request, timeout=CALL_TIMEOUT) as answer:
            return json.loads(answer.read() or b"null")

    def add_fault(self, kind: str, **fields: Any) -> None:
        """Switches on a fault of a stand-in."""
        self.call("POST", "/control/faults", {"kind": kind, **fields})

    def clear_faults(self) -> None:
        """Switches off a stand-in's faults."""
        self.call("DELETE", "/control/faults")

    def read_journal(self, what: str = "") -> list[dict[str, Any]]:
        """Reads a stand-in's journal, or its entries of one kind."""
        entries = self.call("GET", "/control/journal")["entries"]
        return [entry for entry in entries if what in ("", entry["what"])]

    def read_log(self) -> str:
        """Reads its standard output and error output."""
        paths = (self.output_path, self.log_path)
        return "".join(path.read_text(errors="replace") for path in paths)

    def read_events(self, event: str = "") -> list[dict[str, Any]]:
        """Reads an entry's event lines, or those of one event."""
        lines = self.output_path.read_text(errors="replace").splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if event in ("", line.get("event"))]


class ProcessManager:
    """Starts processes and ends all that it started.

    Args:
        environment: Variables to set besides those of this process.

    Example:
        >>> with ProcessManager() as process_manager:
        ...     store = process_manager.start("standins.store")
        ...     store.read_journal()
        []
    """

    def __init__(self, *, environment: dict[str, str] | None = None) -> None:
        self.environment = environment
        self.processes: list[ManagedProcess] = []

    def __enter__(self) -> Self:
        self._folder = tempfile.TemporaryDirectory(prefix="bench-")
        self.folder = Path(self._folder.name)
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()
        self._folder.cleanup()

    def start(
        self,
        module: str,
        *arguments: str,
        name: str = "",
        address: str = "127.0.0.1",
        timeout: float = START_TIMEOUT,
        is_standin: bool = True,
        worker_name: str = "",
        **flags: Any,
    ) -> ManagedProcess:
        """Starts ``python -m module`` and waits until it is ready.

        Args:
            module: The module, such as ``standins.store``.
            arguments: Words before the flags, such as ``entry``.
            name: A name for its log; the module and a number by default.
            address: The IP number that it listens on.
            timeout: Seconds to wait for the line that says it is ready.
            is_standin: Whether it takes ``--address``; the product does not.
            worker_name: For a worker, its name, passed as ``--name``.
            flags: Flags; underscores become hyphens, True gives a bare flag.

        Returns:
            The process.

        Raises:
            RuntimeError: It ended or was not ready in time.
        """
        name = name or worker_name or f"{module}-{len(self.processes)}"
        number = len(self.processes)
        log_path = self.folder / f"{number}-{name.replace('/', '_')}.log"
        output_path = log_path.with_suffix(".out")
        if is_standin:
            flags = {"address": address, **flags}
        if worker_name:
            flags = {"name": worker_name, **flags}
        command = [sys.executable, "-m", module, *arguments, *make_flags(flags)]
        with log_path.open("wb") as log, output_path.open("wb") as output:
            process = subprocess.Popen(
                command,
                stdout=output,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(self.environment or {})},
            )
        started = ManagedProcess(name, process, {}, log_path, address)
        self.processes.append(started)
        started.ready = self._read_ready(started, timeout)
        return started

    def stop_all(self) -> None:
        """Asks all to end at once, then waits for each."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.stop()
        self.processes.clear()

    def _read_ready(self, started: ManagedProcess, timeout: float) -> dict[str, Any]:
        line = _read_line(started, timeout)
        try:
            ready = json.loads(line)
        except ValueError:
            ready = None
        if isinstance(ready, dict) and "port" in ready:
            return ready
        started.kill()
        raise RuntimeError(
            f"{started.name} was not ready; it printed {line!r} and logged:\n"
            f"{started.read_log()}"
        )


def _read_line(started: ManagedProcess, timeout: float) -> bytes:
    """Reads the first line of a process's output."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        line, newline, _ = started.output_path.read_bytes().partition(b"\n")
        if newline or not started.is_running:
            return line
        time.sleep(READY_POLL)
    return b""


def make_flags(flags: dict[str, Any]) -> list[str]:
    """Makes command-line words from flags; False and None leave a flag out.

    Example:
        >>> make_flags({"token_seconds": 0.1, "ignore_old_terms": True})
        ['--token-seconds=0.1', '--ignore-old-terms']
    """
    words = []
    for key, value in flags.items():
        if value is None or value is False:
            continue
        flag = f"--{key.replace('_', '-')}"
        words.append(flag if value is True else f"{flag}={value}")
    return words
