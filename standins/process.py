"""Starts and stops stand-ins and entries as child processes."""

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
ABORT_TIMEOUT = 5.0  # seconds
REQUEST_TIMEOUT = 10.0  # seconds
READY_POLL_INTERVAL = 0.02  # seconds


@dataclass(slots=True)
class ManagedProcess:
    """A child process that a ProcessManager has started.

    Args:
        name: Name of the process, used in its log file's name and in errors.
        process: The process, as Popen returned it.
        startup_info: The JSON object that the process printed when it was ready.
        log_path: File that receives its standard error.
        address: IP address that it listens on.
        stop_requested: Whether SIGTERM was sent to it.
    """

    name: str
    process: "subprocess.Popen[bytes]"
    startup_info: dict[str, Any]
    log_path: Path
    address: str = "127.0.0.1"
    stop_requested: bool = False

    @property
    def output_path(self) -> Path:
        """File that receives its standard output, such as an entry's event log."""
        return self.log_path.with_suffix(".out")

    @property
    def port(self) -> int:
        """TCP port that it listens on."""
        return self.startup_info["port"]

    @property
    def url(self) -> str:
        """Base URL of its HTTP server."""
        return f"http://{self.address}:{self.port}"

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.process.poll() is None

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(signal_number)

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process after pause()."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits for it."""
        self.process.kill()
        self.process.wait()

    def abort(self) -> None:
        """Kills the process with SIGABRT, so that it logs its Python stack."""
        self.process.send_signal(signal.SIGABRT)
        try:
            self.process.wait(ABORT_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.kill()

    def terminate(self) -> None:
        """Resumes the process and sends SIGTERM, at most once.

        A second SIGTERM could interrupt the shutdown that the first one started.
        """
        if self.stop_requested or not self.is_running:
            return
        self.stop_requested = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def stop(self, *, timeout: float = STOP_TIMEOUT) -> int:
        """Stops the process and returns its exit status.

        Args:
            timeout: Seconds after SIGTERM until the process is killed.
        """
        self.terminate()
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def request_json(self, method: str, path: str, body: Any = None) -> Any:
        """Sends an HTTP request with a JSON body and returns the decoded response."""
        data = None if body is None else json.dumps(body).encode()
        request = Request(self.url + path, data=data, method=method)
        # Requests go to loopback addresses, so a proxy set in the environment is
        # ignored.
        opener = build_opener(ProxyHandler({}))
        with opener.open(request, timeout=REQUEST_TIMEOUT) as response:
            return json.loads(response.read() or b"null")

    def add_fault(self, kind: str, **fields: Any) -> None:
        """Enables a fault of a stand-in."""
        self.request_json("POST", "/control/faults", {"kind": kind, **fields})

    def clear_faults(self) -> None:
        """Disables all faults of a stand-in."""
        self.request_json("DELETE", "/control/faults")

    def read_journal(self, entry_type: str = "") -> list[dict[str, Any]]:
        """Returns the entries of a stand-in's journal, optionally of one type."""
        entries = self.request_json("GET", "/control/journal")["entries"]
        return [entry for entry in entries if entry_type in ("", entry["what"])]

    def read_log(self) -> str:
        """Returns its standard output followed by its standard error."""
        paths = (self.output_path, self.log_path)
        return "".join(path.read_text(errors="replace") for path in paths)

    def read_events(self, event_name: str = "") -> list[dict[str, Any]]:
        """Returns the records of an entry's event log, optionally of one event."""
        lines = self.output_path.read_text(errors="replace").splitlines()
        records = [json.loads(line) for line in lines if line.startswith("{")]
        return [record for record in records if event_name in ("", record.get("event"))]


class ProcessManager:
    """Starts child processes and stops them all on exit.

    Args:
        environment: Environment variables to set in addition to those of this
            process.

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
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="bench-")
        self.log_directory = Path(self._temporary_directory.name)
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()
        self._temporary_directory.cleanup()

    def start(
        self,
        module: str,
        *arguments: str,
        name: str = "",
        address: str = "127.0.0.1",
        timeout: float = START_TIMEOUT,
        accepts_address: bool = True,
        worker_name: str = "",
        **flags: Any,
    ) -> ManagedProcess:
        """Starts ``python -m module`` and waits until it reports that it is ready.

        Args:
            module: Name of the module, such as ``standins.store``.
            arguments: Positional arguments before the flags, such as ``entry``.
            name: Name of the process; the worker name, or the module and a number,
                by default.
            address: IP address that it listens on.
            timeout: Seconds to wait for the JSON line that reports readiness.
            accepts_address: Whether the module has the flag ``--address``, as all
                stand-ins do; an entry does not.
            worker_name: Name of a worker, passed as ``--name``.
            flags: Command-line flags, as format_flags() expects them.

        Returns:
            The process.

        Raises:
            RuntimeError: The process exited or was not ready in time.
        """
        name = name or worker_name or f"{module}-{len(self.processes)}"
        number = len(self.processes)
        log_path = self.log_directory / f"{number}-{name.replace('/', '_')}.log"
        output_path = log_path.with_suffix(".out")
        if accepts_address:
            flags = {"address": address, **flags}
        if worker_name:
            flags = {"name": worker_name, **flags}
        command = [sys.executable, "-m", module, *arguments, *format_flags(flags)]
        with log_path.open("wb") as log, output_path.open("wb") as output:
            process = subprocess.Popen(
                command,
                stdout=output,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    **os.environ,
                    # A process that does not start in time logs where it is.
                    "PYTHONFAULTHANDLER": "1",
                    **(self.environment or {}),
                },
            )
        started = ManagedProcess(name, process, {}, log_path, address)
        self.processes.append(started)
        started.startup_info = self._read_startup_info(started, timeout)
        return started

    def stop_all(self) -> None:
        """Sends SIGTERM to all processes, then waits until each has exited."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.stop()
        self.processes.clear()

    def _read_startup_info(
        self, started: ManagedProcess, timeout: float
    ) -> dict[str, Any]:
        line = _read_line(started, timeout)
        try:
            startup_info = json.loads(line)
        except ValueError:
            startup_info = None
        if isinstance(startup_info, dict) and "port" in startup_info:
            return startup_info
        started.abort()
        raise RuntimeError(
            f"{started.name} did not start within {timeout} s; it printed {line!r}, "
            f"the load average is {os.getloadavg()[0]}, and it logged:\n"
            f"{started.read_log()}"
        )


def _read_line(started: ManagedProcess, timeout: float) -> bytes:
    """Returns the first line of a process's standard output.

    Returns what was printed so far if the process has exited, and nothing if the
    timeout expires.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        line, newline, _ = started.output_path.read_bytes().partition(b"\n")
        if newline or not started.is_running:
            return line
        time.sleep(READY_POLL_INTERVAL)
    return b""


def format_flags(flags: dict[str, Any]) -> list[str]:
    """Formats a mapping as command-line flags.

    Underscores in names become hyphens. True adds the flag without a value; False
    and None leave the flag out.

    Example:
        >>> format_flags({"token_seconds": 0.1, "ignore_old_terms": True})
        ['--token-seconds=0.1', '--ignore-old-terms']
    """
    arguments = []
    for key, value in flags.items():
        if value is None or value is False:
            continue
        flag = f"--{key.replace('_', '-')}"
        arguments.append(flag if value is True else f"{flag}={value}")
    return arguments
