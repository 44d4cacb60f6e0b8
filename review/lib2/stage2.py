"""A small deployment for the cases: store, servers and router processes on loopback.

The store is the project's stand-in (``standins``). The servers are raw-socket stand-ins
that keep to the users' pages. The routers are started with the command of the deploy
file, each with an address of its own, and are killed at the end.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from aiohttp import web

from mulberryrelay_platform.names import HEADERS, READY_PATH, SETTINGS_VARIABLE
from standins.tables import Tables
from standins.tableserver import TableServer

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "app.example"
FRONT_PORT = 8381
READY_PORT = 8388
INTERNAL_PORT = 7200
READY_S = 25.0
HELD = 0
BROKEN = 1
CANNOT_RUN = 2
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case is to be disrupted."""


class CannotRunError(Exception):
    """The case could not be staged, which says nothing about the router."""


class Record:
    """What was sent, answered and run, written to a file as it happens."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


class Request:
    """A request as a server received it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """Id that the client gave the attempt; empty if there is none."""
        return self.headers.get(HEADERS.request_id.lower(), "")


def answer(request: Request, body: bytes = b"ok", more: str = "") -> bytes:
    """Return a complete success of a server."""
    return (
        f"HTTP/1.1 200 OK\r\n{HEADERS.request_id}: {request.request_id}\r\n"
        f"{HEADERS.response_signature}: s.{request.request_id}\r\n{more}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Server:
    """A server that reads requests and lets ``respond`` write the answers."""

    def __init__(
        self,
        name: str,
        service: str,
        respond: "Callable[[Server, Request, asyncio.StreamWriter], Awaitable[None]]",
        slots: int = 4,
        zone: str = "a",
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = zone
        self.respond = respond
        self.port = 0
        self.host = "127.0.0.1"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running = 0
        self.received: list[Request] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, on the same port as before after ``crash``."""
        self._listener = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=1024, limit=1 << 22
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Refuse connections and reset the open ones, as the end of a process does."""
        if self._listener is not None:
            self._listener.close()
        for writer in self.writers:
            writer.transport.abort()

    def entry(self) -> bytes:
        """Return the entry in the store."""
        return json.dumps(
            {
                "Address": f"{self.host}:{self.port}",
                "Info": {
                    "Service": self.service,
                    "Zone": self.zone,
                    "Slots": self.slots,
                    "Version": "1",
                },
                "Status": {"State": self.state, "ColdLeftS": 0, "Seq": 1},
                "born": self.born,
            }
        ).encode()

    def load(self) -> str:
        """Return the header with the load."""
        return f"{HEADERS.load}: {self.running},0,{self.slots}\r\n"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_line, *lines = head[:-4].split("\r\n")
                pairs = (line.partition(":") for line in lines)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = request_line.split(" ")
                request = Request(method, target, headers, body)
                if target == "/health":
                    writer.write(
                        f"HTTP/1.1 200 OK\r\n{HEADERS.server}: {self.name}\r\n"
                        f"{self.load()}Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                expected = headers.get(HEADERS.expected_server.lower(), self.name)
                if expected != self.name:
                    writer.write(self.refusal(request, 421))
                    continue
                self.received.append(request)
                await self.respond(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def refusal(self, request: Request, status: int) -> bytes:
        """Return a refusal of a request that was not run."""
        return (
            f"HTTP/1.1 {status} Refused\r\n{HEADERS.not_run}: 1\r\n"
            f"{HEADERS.server}: {self.name}\r\n"
            f"{HEADERS.request_id}: {request.request_id}\r\n"
            f"{self.load()}Content-Length: 0\r\n\r\n"
        ).encode()


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, address: str, directory: Path) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self._settings = directory / f"{name}.conf"
        self._log = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, store: str, extra: dict[str, object]) -> None:
        """Write the settings file, with the fields of the users' pages."""
        fields: dict[str, object] = {
            "Node": self.name,
            "Role": "router",
            "MachineClass": "edge",
            "Serves": "edge",
            "Ip": self.address,
            "Zone": self.zone,
            "Region": "r",
            "Listen.Front": f"{self.address}:{FRONT_PORT}",
            "Listen.Ready": f"{self.address}:{READY_PORT}",
            "InternalPorts": f"{INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "Bootstrap": "true",
            "Limits.CpuShare": 0.86,
            "Limits.Cores": 1,
            "Limits.MemoryMb": 300,
            "Limits.MaxFds": 4100,
            "Limits.LinkMbps": 1000.0,
            "HeartbeatS": 0.87,
            "Bounds.ReuseAfterS": 2,
            "Bounds.ContactS": 3,
            "Bounds.DrainS": 2,
            "Bounds.GraceS": 6,
            "Bounds.ConfigApplyS": 2,
            "Bounds.RetryBudgetRatio": 0.2,
            "Bounds.BudgetWindowS": 10,
            "Bounds.BudgetSlack": 58,
            "Bounds.MaxHoldS": 10,
            "Provider.Address": store,
            **extra,
        }
        lines = [f"{name}={value}" for name, value in fields.items()]
        self._settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment[SETTINGS_VARIABLE] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process, or None while it runs."""
        return self._process.poll() if self._process is not None else None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()

    def log(self) -> str:
        """Return what the process has printed."""
        return self._log.read_text(errors="replace")

    def has_socket(self, port: int, peer_port: int) -> bool:
        """Return whether a connection between two local ports is one of its own."""
        inode = ""
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            ports = [int(fields[n].partition(":")[2], 16) for n in (1, 2)]
            if ports == [port, peer_port]:
                inode = f"socket:[{fields[9]}]"
        for descriptor in Path(f"/proc/{self.pid}/fd").glob("*"):
            with suppress(OSError):
                if inode and os.readlink(descriptor) == inode:
                    return True
        return False

    def peak_memory_mb(self) -> float:
        """Return the largest resident size so far, in megabytes of 10^6 bytes."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        line = next(row for row in status.splitlines() if row.startswith("VmHWM"))
        return int(line.split()[1]) * 1024 / 1e6

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            head = await fetch(
                self.address,
                READY_PORT,
                f"GET {READY_PATH} HTTP/1.1\r\n"
                "Host: r\r\nConnection: close\r\n\r\n".encode(),
                1.0,
            )
        except (OSError, TimeoutError):
            return False
        return head.startswith(b"HTTP/1.1 200")


async def fetch(address: str, port: int, request: bytes, timeout_s: float) -> bytes:
    """Send bytes on a new connection; return all that comes until its end."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(address, port), timeout_s
    )
    try:
        writer.write(request)
        return await asyncio.wait_for(reader.read(), timeout_s)
    finally:
        writer.close()


class Stage:
    """Everything that one case runs; used as an asynchronous context manager."""

    def __init__(self, folder: Path, routers: int = 1, zones: str = "abc") -> None:
        self.record = Record(folder / "record.txt")
        self.tables = Tables()
        self.store = TableServer(self.tables, random.Random(1))
        self.servers: list[Server] = []
        self.routes: list[dict[str, Any]] = []
        self.services: list[dict[str, Any]] = []
        self.limits: dict[str, Any] = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1 << 20,
            "HeaderTimeoutS": 5.0,
            "IdleTimeoutS": 30.0,
        }
        self.version = 0
        self.settings: dict[str, object] = {}
        self.store_address = ""
        self._directory = Path(tempfile.mkdtemp(prefix="case-"))
        network = random.randrange(20, 250)
        self.routers = [
            Router(
                f"r{n}",
                zones[n % len(zones)],
                f"127.{network}.{n + 1}.1",
                self._directory,
            )
            for n in range(routers)
        ]
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> "Stage":
        for router in self.routers:
            for port in (FRONT_PORT, READY_PORT, INTERNAL_PORT, 9464):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((router.address, port))
        return self

    async def __aexit__(self, *error: object) -> None:
        for router in self.routers:
            router.end()
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.crash()
        if self._runner is not None:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._runner.cleanup(), 1.0)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self._directory}", file=sys.stderr)
        else:
            shutil.rmtree(self._directory, ignore_errors=True)

    def add_service(self, name: str, is_keyed: bool = False) -> None:
        """Add a service to the configuration."""
        self.services.append(
            {"Name": name, "HealthPath": "/health", "Sharded": is_keyed}
        )

    def add_route(self, name: str, service: str, kind: str, **fields: Any) -> None:
        """Add a route under ``/name/`` to the configuration."""
        self.routes.append(
            {
                "Name": name,
                "Host": HOST,
                "Prefix": f"/{name}/",
                "Kind": kind,
                "TimeoutS": 4.0,
                "TargetLatencyS": 0.6,
                "Priority": 1,
                "Attempts": 3,
                "Service": service,
                **fields,
            }
        )

    def write_configuration(self) -> None:
        """Write the configuration, as the operator does."""
        self.version += 1
        body = {
            "Version": f"r{self.version}",
            "Routes": _table(self.routes),
            "Services": _table(self.services),
            "Limits": self.limits,
        }
        self.tables.write("op", "config", json.dumps(body).encode())

    def register(self, server: Server) -> None:
        """Write the entry of a server, as the server does."""
        self.tables.write("servers", server.name, server.entry())

    async def start(self) -> None:
        """Start the store, the servers and the routers; wait until all are ready."""
        self._runner = web.AppRunner(
            self.store.application(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.store_address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        self.write_configuration()
        for server in self.servers:
            await server.start()
            self.register(server)
        for router in self.routers:
            router.write_settings(self.store_address, self.settings)
            router.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all routers say that they are ready."""
        deadline_s = time.monotonic() + READY_S
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > deadline_s or not router.is_running:
                    raise CannotRunError(f"{router.name} is not ready")
                await asyncio.sleep(0.05)

    def spawn(self, coroutine: Any) -> "asyncio.Task[Any]":
        """Run a task until the end of the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task


def _table(records: list[dict[str, Any]]) -> dict[str, Any]:
    columns = list(dict.fromkeys(name for record in records for name in record))
    rows = [[record.get(name) for name in columns] for record in records]
    return {"Columns": columns, "Rows": rows}


def head(
    target: str,
    request_id: str,
    method: str = "GET",
    more: str = "",
    deadline_ms: int = 4000,
) -> bytes:
    """Return the head of a client's request."""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{HEADERS.request_id}: {request_id}\r\n"
        f"{HEADERS.deadline_ms}: {deadline_ms}\r\n{more}\r\n"
    ).encode()


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of the next response."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = raw[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    status = int(status_line.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return status, headers, body
            body += piece[:-2]
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


async def call(
    router: Router, request: bytes, timeout_s: float = 6.0
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; status 0 if there is no whole answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(router.address, FRONT_PORT)
            try:
                writer.write(request)
                return await read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""


def play(case: Callable[[], Awaitable[int]], limit_s: float = 115.0) -> None:
    """Run a case and exit with its verdict."""
    try:
        verdict = asyncio.run(asyncio.wait_for(case(), limit_s))  # type: ignore[arg-type]
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    sys.exit(verdict)
