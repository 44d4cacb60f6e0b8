"""Runs a deployment of separate processes on this machine.

Starts the platform stand-in, backend server stand-ins and routers, each on free ports
of the loopback interface, and ends them again. The demo, tests and benchmarks use it.
"""

import json
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterable
from pathlib import Path
from typing import Any

# Time for a process to start and print that it listens or is ready.
START_TIMEOUT_S = 30.0
# Time for a process to end after a signal to stop.
STOP_TIMEOUT_S = 20.0
HOST = "127.0.0.1"


class Process:
    """A child process that prints ``event=listening`` with its ports on start."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self._name = name
        self._log = log
        self._popen = subprocess.Popen(
            command,
            stdout=log.open("wb"),
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        self._ports: dict[str, int] = {}

    @property
    def name(self) -> str:
        return self._name

    @property
    def pid(self) -> int:
        return self._popen.pid

    @property
    def log(self) -> str:
        """Everything that the process has printed so far."""
        return self._log.read_text(errors="replace")

    def port(self, name: str = "port") -> int:
        """Return a port of the process; wait until it listens."""
        if not self._ports:
            self._ports = self._wait_for_ports()
        return self._ports[name]

    def url(self, name: str = "port") -> str:
        """Return the base URL of one of the process's ports."""
        return f"http://{HOST}:{self.port(name)}"

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(signal_number)

    def is_running(self) -> bool:
        """Return whether the process has not ended yet."""
        return self._popen.poll() is None

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit status.

        Raises:
            subprocess.TimeoutExpired: it did not end in time and was killed.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait until it has ended."""
        if self.is_running():
            self._popen.kill()
        self._popen.wait()

    def wait_for(self, text: str) -> str:
        """Return the first printed line that contains the word ``text``; wait for it.

        Raises:
            RuntimeError: the process ended, or did not print the word in time.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for line in self.log.splitlines():
                if text in line.split():
                    return line
            if not self.is_running():
                break
            time.sleep(0.02)
        raise RuntimeError(f"process {self._name} did not print {text!r}:\n{self.log}")

    def _wait_for_ports(self) -> dict[str, int]:
        line = self.wait_for("event=listening")
        pairs = (pair.partition("=") for pair in line.split())
        return {name: int(value) for name, _, value in pairs if name.endswith("port")}


class Deployment:
    """The processes of a deployment: platform stand-in, server stand-ins, routers."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._directory = tempfile.TemporaryDirectory(prefix="mulberryrelay-")
        self._processes: list[Process] = []
        self._start_count = 0
        self._platform = self._start("platform", ["-m", "standins.platform"])

    @property
    def platform(self) -> Process:
        return self._platform

    @property
    def directory(self) -> Path:
        """Directory for temporary files, which ``close`` removes."""
        return Path(self._directory.name)

    @property
    def processes(self) -> list[Process]:
        """All processes in the order in which they were started."""
        return list(self._processes)

    def start_server(
        self,
        name: str,
        service: str,
        data_centre: str | None = None,
        checks_grants: bool = True,
        listed: bool = True,
        prints_runs: bool = False,
    ) -> Process:
        """Start a backend server stand-in and, unless ``listed`` is false, list it."""
        flags = ["--checks-grants" if checks_grants else "--no-checks-grants"]
        if prints_runs:
            flags.append("--prints-runs")
        command = ["-m", "standins.backend", "--server", name, *flags]
        process = self._start(name, command)
        if listed:
            self.list_instance(
                name, "server", process.port(), data_centre, service=service
            )
        return process

    def start_router(
        self,
        name: str,
        data_centre: str | None = None,
        wait: bool = True,
        **settings: Any,
    ) -> Process:
        """Start a router and, if ``wait``, wait until it is ready.

        Further arguments override settings of the deployment for this router.
        """
        instance = {
            "name": name,
            "data_centre": data_centre or self._settings["data_centres"][0],
        }
        settings = {
            **self._settings,
            "instance": instance,
            "platform": {"plugin": "http", "url": self._platform.url()},
            **settings,
        }
        path = Path(self._directory.name) / f"{name}-{self._start_count}.jsonc"
        path.write_text(json.dumps(settings))
        program = str(Path(sys.executable).parent / "mulberryrelay")
        process = self._start(
            name, [program, "run", "--settings", str(path)], python=False
        )
        if wait:
            process.wait_for("event=ready")
        return process

    def list_instance(
        self,
        name: str,
        kind: str,
        port: int,
        data_centre: str | None = None,
        state: str = "live",
        service: str | None = None,
    ) -> None:
        """Add or replace an entry in the platform's instance list."""
        entry = {
            "name": name,
            "kind": kind,
            "data_centre": data_centre or self._settings["data_centres"][0],
            "host": HOST,
            "port": port,
            "state": state,
            "service": service,
        }
        post_json(self._platform.url() + "/control/instances", entry)

    def unlist_instance(self, name: str) -> None:
        """Remove an entry from the platform's instance list."""
        request = urllib.request.Request(
            f"{self._platform.url()}/control/instances/{name}", method="DELETE"
        )
        urllib.request.urlopen(request, timeout=5).close()

    def set_faults(self, **faults: Any) -> None:
        """Replace the platform's simulated faults; see ``standins.platform.Faults``."""
        post_json(self._platform.url() + "/control/faults", faults)

    def close(self) -> None:
        """Kill all processes and remove the temporary files."""
        for process in reversed(self._processes):
            process.kill()
        self._directory.cleanup()

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def _start(
        self, name: str, arguments: Iterable[str], python: bool = True
    ) -> Process:
        """Start a process; if ``python``, pass the arguments to the interpreter."""
        self._start_count += 1
        command = [sys.executable, *arguments] if python else list(arguments)
        log = Path(self._directory.name) / f"{name}-{self._start_count}.log"
        process = Process(name, command, log)
        self._processes.append(process)
        return process


def post_json(url: str, body: Any) -> bytes:
    """Post a JSON body and return the response body.

    Raises:
        urllib.error.HTTPError: the status was 400 or above.
    """
    request = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=5) as response:
        content: bytes = response.read()
        return content


def get_json(url: str) -> Any:
    """Return the decoded JSON body of the response to a GET request."""
    with urllib.request.urlopen(url, timeout=5) as response:
        return json.loads(response.read())
