"""Stand-ins for the scripts of the review: store, backends, clients, router processes.

Everything runs on loopback addresses; the routers are started with the command of the
deploy file. The stand-ins follow the users' pages.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

# The names of the platform's protocols stand in the adapter only; it needs the build.
sys.path.extend(
    str(Path(__file__).resolve().parent.parent / directory)
    for directory in (
        "target/deps",
        "platform",
        "packages/kernel",
        "packages/control",
        "packages/router",
        "packages/edge",
    )
)

from mulberryrelay_platform.names import (
    FOLLOW_PATH,
    GRANT_PATH,
    HANDOVER_HEADER,
    HEADERS,
    READ_PATH,
    READY_PATH,
    RELEASE_PATH,
    SETTINGS_VARIABLE,
    STORE_ERA_HEADER,
    TRANSACTION_PATH,
)

ROOT = Path(__file__).resolve().parent.parent
FRONT_PORT = 8381
READY_PORT = 8388
CONTROL_PORT = 8382
METRICS_PORT = 9464
INTERNAL_PORTS = (7200, 7215)
HEARTBEAT_S = 0.87
"""Period of a backend's report to the store, as in the users' settings."""
LAPSE_S = 3 * HEARTBEAT_S
"""Silence after which the store removes the entry of a backend."""

ID = str(HEADERS.request_id).lower()
EXPECT = str(HEADERS.expected_server).lower()
KEY = str(HEADERS.key).lower()
LOAD_HEADER = str(HEADERS.load)
LIMIT_HEADER = str(HEADERS.limit)
NOT_RUN = {str(HEADERS.not_run): "1"}
SIGNATURE = {str(HEADERS.response_signature): "s.1"}


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, directory: Path) -> None:
        self._file = (directory / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)


class Message:
    """A request or response that was read completely."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def path(self) -> str:
        return self.first.split(" ")[1]

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None at the end of the connection before one began.

    Raises:
        asyncio.IncompleteReadError, ConnectionError: it ended early.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: tables of rows, a feed of changes, and transactions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.version = 0
        self.era = 1
        self.is_away = False
        """Whether calls are refused with 503."""
        self.port = 0
        self._changed = asyncio.Event()
        self._copies: list[tuple[float, dict[Any, Any], int]] = []

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def write(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row as the operator, a backend or a router."""
        if value is None and self.rows.get((table, key), (None, 0))[0] is None:
            return self.version
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self._wake()
        return self.version

    def keep_copy(self) -> None:
        """Keep a copy of the present state, which ``restore`` may go back to."""
        self._copies.append((time.monotonic(), dict(self.rows), self.version))

    def restore(self, age_s: float) -> None:
        """Come back from the newest copy that is at least that old."""
        oldest_s = time.monotonic() - age_s
        copies = [copy for copy in self._copies if copy[0] <= oldest_s]
        if not copies:
            raise CannotRunError("no copy of the store is old enough")
        _, rows, version = copies[-1]
        self.rows, self.version = dict(rows), version
        self.era += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                headers = {
                    "Content-Type": "application/json",
                    STORE_ERA_HEADER: str(self.era),
                }
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        await asyncio.sleep(0.004)
        if self.is_away:
            return 503, b"{}"
        path, _, text = request.path.partition("?")
        query = dict(_unquote(pair) for pair in text.split("&") if pair)
        if path == READ_PATH:
            return self._get(query)
        if path == FOLLOW_PATH:
            return await self._feed(query)
        if path == TRANSACTION_PATH:
            return self._transact(json.loads(request.body))
        return 404, b"{}"

    def _get(self, query: dict[str, str]) -> tuple[int, bytes]:
        rows = [
            _row(key, value, version)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == query["Table"]
            and value is not None
            and key >= query.get("From", "")
        ]
        return 200, self._reply(rows)

    async def _feed(self, query: dict[str, str]) -> tuple[int, bytes]:
        after, era = int(query["after"]), self.era
        until_s = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if self.is_away:
                return 503, b"{}"
            if self.era != era or after > self.version:
                return 410, b"{}"
            rows = [
                _row(key, value, version)
                for (table, key), (value, version) in self.rows.items()
                if table == query["Table"] and version > after
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["RowVersion"])
                return 200, self._reply(rows)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                pass

    def _transact(self, body: dict[str, Any]) -> tuple[int, bytes]:
        current = []
        holds = True
        for row in body["Precondition"]:
            value, version = self.rows.get((row["Table"], row["Key"]), (None, 0))
            known = version if value is not None else 0
            holds = holds and known == row["RowVersion"]
            current.append(_row(row["Key"], value, version))
        if not holds:
            return 412, self._reply(current)
        self.version += 1
        for row in body["Writes"]:
            value = base64.b64decode(row["Value"])
            self.rows[row["Table"], row["Key"]] = (value, self.version)
        self._wake()
        return 200, self._reply([])

    def _reply(self, rows: list[dict[str, Any]]) -> bytes:
        return json.dumps(
            {
                "Rows": rows,
                "HasMore": False,
                "RowVersion": self.version,
                "NowS": time.monotonic(),
            }
        ).encode()


def _row(key: str, value: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {"Key": key, "RowVersion": version}
    if value is None:
        row["Deleted"] = True
    else:
        row["Value"] = base64.b64encode(value).decode()
    return row


def _unquote(pair: str) -> tuple[str, str]:
    name, _, value = pair.partition("=")
    return name, value.replace("%00", "\0")


def configuration(
    version: int, routes: list[list[Any]], services: list[str], is_keyed: bool = False
) -> bytes:
    """Return a manifest; a route has name, host, prefix, kind, time-out and service."""
    return json.dumps(
        {
            "Version": f"r{version}",
            "Routes": {
                "Columns": [
                    "Name", "Host", "Prefix", "Kind", "TimeoutS", "Service",
                    "TargetLatencyS", "Priority", "Attempts",
                ],
                "Rows": [[*route, 0.6, 1, 2] for route in routes],
            },
            "Services": {
                "Columns": ["Name", "HealthPath", "MaxConns", "Sharded"],
                "Rows": [[name, "/health", 110, is_keyed] for name in services],
            },
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeoutS": 3,
                "IdleTimeoutS": 15,
            },
        }
    ).encode()  # fmt: skip


class Reply:
    """What a backend does with a request that it has read."""

    def __init__(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body


Decide = Callable[["Backend", Message], Awaitable[Reply | None]]
"""Returns the reply to a request; None if the backend has ended meanwhile."""


class Backend:
    """One backend at one address, without keys; it may end and start again."""

    def __init__(
        self, store: Store, record: Record, service: str, zone: str, decide: Decide
    ) -> None:
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.decide = decide
        self.id = ""
        self.host = "127.0.0.1"
        self.port = 0
        self.state = "ready"
        self.is_registering = True
        """Whether it reports to the store (False also while cut off from it)."""
        self.is_leaving = False
        self.running = 0
        self._born_ms = 0
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a new lifetime, with a new id."""
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self._born_ms = int(time.time() * 1000)
        self._seq = 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat = asyncio.create_task(self._report_periodically())

    def crash(self) -> None:
        """End at once: all connections are reset and nothing is said."""
        assert self._server is not None and self._heartbeat is not None
        self._server.close()
        self._heartbeat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        lapsing, store = self.id, self.store
        asyncio.get_running_loop().call_later(
            LAPSE_S, lambda: store.write("servers", lapsing, None)
        )

    def register(self) -> None:
        """Write the entry now."""
        self._seq += 1
        entry = {
            "Address": f"{self.host}:{self.port}",
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self.zone,
                "Slots": 4,
            },
            "Status": {"State": self.state, "Seq": self._seq, "ColdLeftS": 0},
            "born": self._born_ms,
        }
        encoded = json.dumps(entry).encode()
        if not self.store.is_away:
            self.store.write("servers", self.id, encoded)

    def lapse(self) -> None:
        """Let the store remove the entry, as after three silent intervals."""
        self.store.write("servers", self.id, None)

    async def _report_periodically(self) -> None:
        while True:
            present = self.store.rows.get(("servers", self.id), (None, 0))[0]
            if self.is_registering and (
                present is None or json.loads(present)["Status"]["State"] != self.state
            ):
                # An entry changes when more than its Seq does.
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        life = self.id
        try:
            while (request := await read_message(reader)) is not None:
                reply = await self._reply(request)
                if reply is None or life != self.id:
                    return
                headers = {
                    str(HEADERS.server): self.id,
                    LOAD_HEADER: f"{self.running},0,4",
                    **reply.headers,
                }
                if ID in request.headers:
                    headers[str(HEADERS.request_id)] = request.headers[ID]
                if self.is_leaving:
                    headers[str(HEADERS.leaving)] = "1"
                writer.write(encode_response(reply.status, headers, reply.body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _reply(self, request: Message) -> Reply | None:
        if request.headers.get(EXPECT, self.id) != self.id:
            return Reply(421, dict(NOT_RUN))
        if request.path == "/health":
            return Reply(503 if self.is_leaving else 200)
        return await self.decide(self, request)


class Held(NamedTuple):
    """Keys that a backend was granted, or on which it has seen an epoch number."""

    first: int
    last: int
    fence: int
    until_s: float = 0.0

    def overlaps(self, first: int, last: int) -> bool:
        return self.first <= last and first <= self.last


class KeyedBackend(Backend):
    """A backend that runs a request only while it holds the request's key."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.held: list[Held] = []
        self._seen: list[Held] = []
        self._keys_at_work: list[int] = []

    def holds(self, key: int) -> bool:
        """Return whether the backend holds a key now."""
        now_s = time.monotonic()
        return any(h.overlaps(key, key) and now_s < h.until_s for h in self.held)

    async def _reply(self, request: Message) -> Reply | None:
        if request.path == GRANT_PATH:
            return self._grant(json.loads(request.body))
        if request.path == RELEASE_PATH:
            return await self._release(json.loads(request.body))
        if KEY not in request.headers:
            return await super()._reply(request)
        key = int(request.headers[KEY])
        if not self.holds(key):
            return Reply(421, dict(NOT_RUN))
        self._keys_at_work.append(key)
        try:
            return await super()._reply(request)
        finally:
            self._keys_at_work.remove(key)

    def _grant(self, body: dict[str, Any]) -> Reply:
        first, last, fence = body["From"], body["To"], body["fence"]
        if any(h.overlaps(first, last) and h.fence > fence for h in self._seen):
            return Reply(409)
        self._take_away(first, last)
        until_s = time.monotonic() + body["HoldS"]
        self.held.append(Held(first, last, fence, until_s))
        self._see(first, last, fence)
        return Reply(200)

    async def _release(self, body: dict[str, Any]) -> Reply:
        first, last, fence = body["From"], body["To"], body["fence"]
        self._take_away(first, last)
        self._see(first, last, fence)
        while any(first <= key <= last for key in self._keys_at_work):
            await asyncio.sleep(0.01)
        return Reply(200, {HANDOVER_HEADER: f"h{fence}"})

    def _see(self, first: int, last: int, fence: int) -> None:
        self._seen = [h for h in self._seen if not first <= h.first <= h.last <= last]
        self._seen.append(Held(first, last, fence))

    def _take_away(self, first: int, last: int) -> None:
        kept = []
        for held in self.held:
            if not held.overlaps(first, last):
                kept.append(held)
                continue
            if held.first < first:
                kept.append(held._replace(last=first - 1))
            if last < held.last:
                kept.append(held._replace(first=last + 1))
        self.held = kept


async def run_for(backend: Backend, request: Message, work_s: float) -> Reply:
    """Run a request for some time and return a success."""
    backend.running += 1
    try:
        await asyncio.sleep(work_s)
    finally:
        backend.running -= 1
    body = f"done {request.headers[ID]}".encode()
    return Reply(200, dict(SIGNATURE), body)


class Router:
    """One router process of the deploy file."""

    def __init__(
        self, number: int, network: int, zone: str, store: Store, directory: Path
    ) -> None:
        self.name = f"edge-{zone}-{number}"
        self.host = f"127.{network}.0.{number}"
        self._settings = directory / f"{self.name}.conf"
        self._log = directory / f"{self.name}.log"
        self._settings.write_text(_settings(self.name, self.host, zone, store.port))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment[SETTINGS_VARIABLE] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment,
            )  # fmt: skip

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def failures(self) -> list[str]:
        """Return the lines of its log about unexpected errors."""
        text = self._log.read_text(errors="replace").replace(f"{ROOT}/", "")
        lines = text.splitlines()
        return [line for line in lines if "event=task_failed" in line]

    async def is_ready(self) -> bool:
        """Ask the process whether it is ready, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, READY_PORT)
        except OSError:
            return False
        writer.write(f"GET {READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            answer = await asyncio.wait_for(read_message(reader), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()
        return answer is not None and answer.status == 200


def _settings(name: str, host: str, zone: str, store_port: int) -> str:
    """Return the settings of a process, as for the site kwahu-fitbook."""
    fields = {
        "Node": name, "Role": "router", "MachineClass": "edge", "Serves": "edge",
        "Ip": host, "Zone": zone, "Region": "accra", f"Zones.{zone}": "accra",
        "Listen.Front": f"{host}:{FRONT_PORT}", "Listen.Ready": f"{host}:{READY_PORT}",
        "Listen.Control": f"{host}:{CONTROL_PORT}",
        "InternalPorts": f"{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}",
        "Bootstrap": "true", "InTolerance": "false",
        "Limits.CpuShare": "0.86", "Limits.Cores": "1", "Limits.MemoryMb": "300",
        "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0", "Limits.DiskMb": "0",
        "Discovery": "platform", "Entry": "vip", "HeartbeatS": str(HEARTBEAT_S),
        "Bounds.SeedLagS": "3", "Bounds.ReuseAfterS": "2", "Bounds.ContactS": "3",
        "Bounds.AckS": "4", "Bounds.CatchUpS": "4", "Bounds.DrainS": "2",
        "Bounds.GraceS": "6", "Bounds.LossSlackS": "0.2", "Bounds.ConfigApplyS": "2",
        "Bounds.RevertSlackS": "0.25", "Bounds.OuterS": "5",
        "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetWindowS": "10",
        "Bounds.BudgetSlack": "58", "Bounds.RecoveryS": "15", "Bounds.MaxHoldS": "10",
        "Bounds.ThawSlackS": "0.3", "Grants": "call",
        "Provider.Address": f"127.0.0.1:{store_port}", "Provider.form": "table",
        "Provider.WritesPerS": "400", "Provider.ReadsPerS": "2000",
        "Provider.TxnS": "0.006", "Provider.AppendsPerS": "200",
        "Provider.MaxRowBytes": "65536", "Provider.CrossPartition": "false",
        "Provider.HistoryS": "20",
    }  # fmt: skip
    return "".join(f"{name}={value}\n" for name, value in fields.items())


def free_network(routers: int) -> int:
    """Return the second octet of loopback addresses on which all ports are free."""
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, INTERNAL_PORTS[0])
    for network in range(60, 120):
        try:
            for number in range(1, routers + 1):
                for port in ports:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.{network}.0.{number}", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no free loopback addresses")


class Deployment:
    """A store and some routers; ``close`` ends all processes."""

    def __init__(self, routers: int, directory: Path) -> None:
        self.store = Store()
        self.routers: list[Router] = []
        self._count = routers
        self._directory = directory

    async def start(self, manifest: bytes) -> None:
        """Start the store and the routers, and write the manifest."""
        await self.store.start()
        self.store.write("op", "config", manifest)
        network = free_network(self._count)
        for number in range(1, self._count + 1):
            router = Router(number, network, "accra-osu", self.store, self._directory)
            self.routers.append(router)
            router.start()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all routers are ready."""
        until_s = time.monotonic() + timeout_s
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{router.name} is not ready")
                await asyncio.sleep(0.1)

    def close(self) -> None:
        """End all processes."""
        for router in self.routers:
            router.end()


def encode_request(
    method: str,
    host: str,
    path: str,
    deadline_ms: int,
    body: bytes = b"",
    key: int | None = None,
) -> tuple[str, bytes]:
    """Return the id and the bytes of a client's request."""
    request_id = uuid.uuid4().hex[:16]
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"{HEADERS.request_id}: {request_id}",
        f"{HEADERS.deadline_ms}: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"{HEADERS.key}: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def is_trouble_on() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


Case = Callable[[Record, Path], Awaitable[bool]]
"""Plays a case; returns whether the rule was broken."""


def main(case: Case, directory: Path) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 without result."""
    record = Record(directory)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            is_broken = asyncio.run(_limited(case, record, Path(temporary)))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)


async def _limited(case: Case, record: Record, temporary: Path) -> bool:
    async with asyncio.timeout(110):
        return await case(record, temporary)
