"""Simulated backend server.

Checks grants if so configured, sheds load beyond its slots and queue, drains, and
records every request that it runs, so that tests can detect requests that ran twice and
servers that owned a key at the same time. Query parameters of a request control how it
is run: ``work_ms`` is its service time, and ``die`` makes the process exit after that
many milliseconds.
"""

import asyncio
import hashlib
import os
import sys
import uuid

import click
import msgspec
from aiohttp import web

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.hashing import grants_digest
from mulberryrelay_kernel.ids import BootId, Epoch, ServerId, Term, UnitId
from mulberryrelay_kernel.messages import GrantReply, GrantRequest
from mulberryrelay_kernel.states import NotRunReason, ServerState

# Requests that run at the same time.
SLOTS = 4
# Requests that may wait for a slot; further ones are shed.
QUEUE_LENGTH = 16


class Execution(msgspec.Struct, frozen=True):
    """One request that was run; times are from the machine's monotonic clock."""

    method: str
    path: str
    key: str
    body_digest: str
    idempotency_key: str
    unit: str
    epoch: int
    start_ms: float
    end_ms: float


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/behaviour``; replaces the current behaviour."""

    state: ServerState = ServerState.SERVING
    work_ms: float = 0.0
    """Service time of requests that do not set it themselves."""
    load: float | None = None
    """Load to report instead of the actual one."""
    truncate: bool = False
    """Close the connection in the middle of each response body."""
    foreign: bool = False
    """Respond with the id of another request."""
    shed_every: int = 0
    """Shed each request whose number is a multiple of this; 0 sheds none."""


class BackendStandin:
    """State and request handlers of the simulated server."""

    def __init__(
        self, server: ServerId, checks_grants: bool, prints_runs: bool = False
    ) -> None:
        self._server = server
        self._prints_runs = prints_runs
        self._request_count = 0
        self._checks_grants = checks_grants
        self._boot_id = BootId(uuid.uuid4().hex)
        self._behaviour = Behaviour()
        self._term = Term(0)
        self._granted: dict[UnitId, Epoch] = {}
        self._highest_epochs: dict[UnitId, Epoch] = {}
        self._sequence = 0
        self._grants_expire_ms = 0.0
        self._running: dict[UnitId, int] = {}
        self._in_flight = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._executions: list[Execution] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        add = application.router.add_route
        add("POST", "/mulberry/grants", self._handle_grants)
        add("POST", "/control/behaviour", self._set_behaviour)
        add("GET", "/control/executions", self._list_executions)
        add("GET", "/control/count", self._count_executions)
        add("*", "/{path:.*}", self._handle)
        return application

    def may_run(self, unit: UnitId) -> bool:
        """Return whether the unit is granted and the grants have not expired."""
        return unit in self._granted and monotonic_ms() < self._grants_expire_ms

    async def _handle_grants(self, request: web.Request) -> web.Response:
        command = msgspec.json.decode(await request.read(), type=GrantRequest)
        now_ms = monotonic_ms()
        accepted = not self._checks_grants or self._is_acceptable(command, now_ms)
        if accepted and command.server_clock_ms is not None:
            self._apply_command(command)
        reply = GrantReply(
            server=self._server,
            boot_id=self._boot_id,
            state=self._behaviour.state,
            term=self._term,
            server_clock_ms=int(monotonic_ms()),
            accepted=accepted,
            digest=grants_digest(self._granted),
            idle=[
                revoked.unit
                for revoked in command.revoked
                if not self._running.get(revoked.unit)
            ],
            load=self._reported_load(),
        )
        return web.Response(body=msgspec.json.encode(reply))

    def _is_acceptable(self, command: GrantRequest, now_ms: float) -> bool:
        """Return whether a command is new, unexpired and for this incarnation."""
        if (command.term, command.sequence) <= (self._term, self._sequence):
            return False
        self._term = command.term
        self._sequence = command.sequence
        if command.server_clock_ms is None:
            return True
        if command.boot_id != self._boot_id:
            return False
        # A command may have waited in the socket beyond its expiry. Its list may then
        # have units that other servers own by now.
        return now_ms < command.server_clock_ms + command.ttl_ms

    def _apply_command(self, command: GrantRequest) -> None:
        if command.full:
            self._granted.clear()
        for revoked in command.revoked:
            if revoked.epoch >= self._granted.get(revoked.unit, Epoch(0)):
                self._granted.pop(revoked.unit, None)
        for granted in command.changed:
            if granted.epoch < self._highest_epochs.get(granted.unit, Epoch(0)):
                continue
            self._highest_epochs[granted.unit] = granted.epoch
            self._granted[granted.unit] = granted.epoch
        if command.server_clock_ms is not None:
            self._grants_expire_ms = max(
                self._grants_expire_ms, command.server_clock_ms + command.ttl_ms
            )

    def _reported_load(self) -> float:
        if self._behaviour.load is not None:
            return self._behaviour.load
        return self._in_flight / SLOTS

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if "die" in request.query:
            self._print_event("died", body, request)
            await asyncio.sleep(float(request.query["die"] or 0) / 1000)
            os._exit(1)
        self._request_count += 1
        shed_every = self._behaviour.shed_every
        reason = self._refusal_reason(request)
        if reason is None and self._in_flight >= SLOTS + QUEUE_LENGTH:
            reason = NotRunReason.SHED
        if reason is None and shed_every and self._request_count % shed_every == 0:
            reason = NotRunReason.SHED
        if reason is not None:
            return self._refuse(request, reason)
        self._print_event("accepted", body, request)
        unit = UnitId(request.headers.get("Mulberry-Unit", ""))
        self._in_flight += 1
        self._running[unit] = self._running.get(unit, 0) + 1
        try:
            async with self._slots:
                return await self._run(request, body, unit)
        finally:
            self._in_flight -= 1
            self._running[unit] -= 1

    async def _run(
        self, request: web.Request, body: bytes, unit: UnitId
    ) -> web.StreamResponse:
        reason = self._refusal_reason(request)
        if reason is not None:
            return self._refuse(request, reason)
        start_ms = monotonic_ms()
        service_time_ms = float(request.query.get("work_ms", self._behaviour.work_ms))
        if service_time_ms:
            await asyncio.sleep(service_time_ms / 1000)
        reason = self._refusal_reason(request)
        if reason is not None:
            return self._refuse(request, reason)
        self._executions.append(
            Execution(
                method=request.method,
                path=request.path,
                key=request.headers.get("Mulberry-Key", ""),
                body_digest=hashlib.sha256(body).hexdigest(),
                idempotency_key=request.headers.get("Idempotency-Key", ""),
                unit=unit,
                epoch=int(request.headers.get("Mulberry-Epoch", "0")),
                start_ms=start_ms,
                end_ms=monotonic_ms(),
            )
        )
        self._print_event("ran", body, request)
        return await self._respond(request, body)

    def _print_event(self, event: str, body: bytes, request: web.Request) -> None:
        """Print an event with the digest of the request body, if runs are printed.

        The line is flushed, so that it is not lost if the process is killed.
        """
        if self._prints_runs:
            digest = hashlib.sha256(body).hexdigest()
            request_id = request.headers.get("Mulberry-Request-Id", "")
            print(f"event={event} request_id={request_id} body={digest}", flush=True)

    async def _respond(self, request: web.Request, body: bytes) -> web.StreamResponse:
        headers = self._response_headers(request)
        if self._behaviour.foreign:
            headers["Mulberry-Request-Id"] = "another-request"
        if not self._behaviour.truncate:
            return web.Response(
                body=body or request.path.encode(),
                headers=headers,
                content_type="application/octet-stream",
            )
        response = web.StreamResponse(headers=headers)
        response.content_length = len(body) + 100
        await response.prepare(request)
        await response.write(body + b"x")
        if request.transport is not None:
            request.transport.close()
        return response

    def _response_headers(self, request: web.Request) -> dict[str, str]:
        return {
            "Mulberry-Request-Id": request.headers.get("Mulberry-Request-Id", ""),
            "Mulberry-Server": self._server,
            "Mulberry-Server-State": self._behaviour.state.value,
        }

    def _refusal_reason(self, request: web.Request) -> NotRunReason | None:
        """Return why the request must not run now, or None if it may run."""
        unit = UnitId(request.headers.get("Mulberry-Unit", ""))
        if not unit or not self._checks_grants:
            if self._behaviour.state is ServerState.DRAINING and not unit:
                return NotRunReason.DRAINING
            return None
        if monotonic_ms() >= self._grants_expire_ms:
            return NotRunReason.NOT_OWNER
        if int(request.headers.get("Mulberry-Epoch", "0")) != self._granted.get(unit):
            return NotRunReason.NOT_OWNER
        return None

    def _refuse(self, request: web.Request, reason: NotRunReason) -> web.Response:
        headers = self._response_headers(request)
        headers["Mulberry-Not-Run"] = reason.value
        return web.Response(status=503, headers=headers)

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        self._behaviour = msgspec.json.decode(await request.read(), type=Behaviour)
        return web.Response()

    async def _list_executions(self, request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(self._executions))

    async def _count_executions(self, request: web.Request) -> web.Response:
        return web.json_response(len(self._executions))


async def serve(server: ServerId, checks_grants: bool, prints_runs: bool) -> None:
    """Serve on a free port and print ``event=listening`` with the port."""
    standin = BackendStandin(server, checks_grants, prints_runs)
    runner = web.AppRunner(standin.application(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(f"event=listening port={runner.addresses[0][1]}", flush=True)
    await asyncio.Event().wait()


@click.command()
@click.option("--server", required=True)
@click.option("--checks-grants/--no-checks-grants", default=True)
@click.option("--prints-runs", is_flag=True)
def main(server: str, checks_grants: bool, prints_runs: bool) -> None:
    """Run one simulated backend server."""
    asyncio.run(serve(ServerId(server), checks_grants, prints_runs))


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        sys.exit(0)
