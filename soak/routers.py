"""Edge routers as separate processes, each with a loopback address of its own."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from mulberryrelay_platform.names import SETTINGS_VARIABLE

from .options import SoakOptions

ROOT = Path(__file__).parent.parent
PROGRAM = ("-m", "soak.links")
CALLER_PORT = 8381
READY_PORT = 8388
INTERNAL_PORT = 7200
GRACE_S = 6.0
"""Time from SIGTERM until a router is killed."""
MAX_GRANT_TTL_S = 10
STARTS_WITHIN_S = 2.0
"""Time in which a router has installed its signal handlers."""
MEMORY_MB = 300
RETRY_SLACK = 58


class RouterProcess:
    """One router; it is started again after each end."""

    def __init__(
        self, number: int, zone: str, options: SoakOptions, directory: Path
    ) -> None:
        network = options.network
        self.name = f"router-{number}"
        self.zone = zone
        self.host = f"127.0.{network + number // 200}.{1 + number % 200}"
        self._program = (*PROGRAM, self.host, *filter(None, [options.defect]))
        self.starts = 0
        """How often it was started; each start begins a new lifetime."""
        self.is_paused = False
        self._is_end_expected = False
        self._started_s = 0.0
        self._settings = directory / f"{self.name}.conf"
        self._log = directory / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def handles_signals(self) -> bool:
        """Whether the process runs and has had time to install its handlers."""
        return self.is_running and time.monotonic() > self._started_s + STARTS_WITHIN_S

    def write_settings(self, store_address: str) -> None:
        """Write the settings file, which the router reads at its start and again."""
        lines = [
            f"Node={self.name}",
            f"Zone={self.zone}",
            f"Listen.Front={self.host}:{CALLER_PORT}",
            f"Listen.Ready={self.host}:{READY_PORT}",
            f"InternalPorts={INTERNAL_PORT},{INTERNAL_PORT + 15}",
            f"Provider.Address={store_address}",
            f"Limits.MemoryMb={MEMORY_MB}",
            f"Bounds.GraceS={GRACE_S}",
            f"Bounds.MaxHoldS={MAX_GRANT_TTL_S}",
            f"Bounds.BudgetSlack={RETRY_SLACK}",
        ]
        self._settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings)}
        self.starts += 1
        self._started_s = time.monotonic()
        self._is_end_expected = False
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._program],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process is None or not self.is_running:
            return
        if signal_number in (signal.SIGTERM, signal.SIGKILL):
            self._is_end_expected = True
        self._process.send_signal(signal_number)

    def pause(self) -> None:
        """Stop the process until ``resume``."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a stopped process go on."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    def unexpected_end(self) -> int | None:
        """Return the exit status if the process has ended by itself, or None."""
        if self._process is None or self._is_end_expected:
            return None
        return self._process.poll()

    def end(self) -> None:
        """Kill the process and wait until it has ended."""
        if self._process is None:
            return
        self.send(signal.SIGKILL)
        self._process.wait()
        self._is_end_expected = True

    def log_lines(self) -> str:
        """Return everything that the router has logged."""
        return self._log.read_text(errors="replace")
