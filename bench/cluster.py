"""A deployment of real processes under load, shared by the benchmark sections.

Starts routers, stand-in servers and the platform stand-in on the loopback interface,
runs the open-loop load generator against the routers and collects the results.
"""

import itertools
import re
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from standins.deployment import Deployment, Process, get_json, post_json

from .openload import LoadLog, LoadSpec, RequestRecord, Stream

Action = tuple[float, Callable[[], None]]
"""Delay in seconds after the start of the load, and the function to call then."""

READY_TIMEOUT_S = 20.0
"""How long to wait for the successors in the lease row."""
MOVES_FINISHED_PATTERN = re.compile(
    r"time=([\d.]+) event=moves_finished .*?units=(\d+)"
)
PAUSE_PATTERN = re.compile(r"pause_ms=([\d.]+)")


class MoveBatch(msgspec.Struct, frozen=True):
    """Units whose moves the coordinator finished and logged together."""

    finished_at_s: float
    """Seconds since the Unix epoch."""
    units: int
    pause_ms: float
    """Time from committing the units as ``moving`` to publishing their new owner."""


class LoadRun(msgspec.Struct, frozen=True):
    """Results of one run of the load generator."""

    streams: list[Stream]
    load_log: LoadLog
    counts: dict[str, int]
    """Executions by server, for servers present both before and after the run."""
    moves: list[MoveBatch]

    @property
    def seconds(self) -> float:
        """Seconds from the start of the load until the last request was due."""
        return max(r.due_s for r in self.load_log.requests) - self.load_log.started_s

    def requests(
        self, service: str, request_class: str | None = None
    ) -> list[RequestRecord]:
        """Return the requests to a service, sorted by their due times."""
        selected = [
            record
            for record in self.load_log.requests
            if self.streams[record.stream].service == service
            and request_class in (None, self.streams[record.stream].request_class)
        ]
        return sorted(selected, key=lambda record: record.due_s)

    def imbalance(self, prefix: str) -> float:
        """Return the ratio of the busiest to the mean server among those with a prefix.

        Return 0 if they executed nothing.
        """
        counts = [n for name, n in self.counts.items() if name.startswith(prefix)]
        return max(counts) * len(counts) / sum(counts) if sum(counts) else 0.0

    def unavailable_ms(self, service: str) -> list[float]:
        """Return the total time for which requests were not run, one item per key.

        A period of unavailability starts when the first request that was not run was
        due and ends with the response to the next request that ran, or, if no later
        request ran, with the last response to a request that was not run.
        """
        total_ms: dict[str, float] = defaultdict(float)
        unavailable_since_s: dict[str, float] = {}
        unavailable_until_s: dict[str, float] = {}
        for record in self.requests(service):
            total_ms[record.key] += 0.0
            responded_s = record.due_s + record.latency_ms / 1000
            if record.outcome != "ran":
                # Requests overlap; do not count any time twice.
                unavailable_since_s.setdefault(
                    record.key,
                    max(record.due_s, unavailable_until_s.get(record.key, 0.0)),
                )
            if record.key not in unavailable_since_s:
                continue
            unavailable_until_s[record.key] = max(
                responded_s, unavailable_until_s.get(record.key, 0.0)
            )
            if record.outcome == "ran":
                start_s = unavailable_since_s.pop(record.key)
                total_ms[record.key] += (
                    max(0.0, unavailable_until_s[record.key] - start_s) * 1000
                )
        for key, start_s in unavailable_since_s.items():
            total_ms[key] += max(0.0, unavailable_until_s[key] - start_s) * 1000
        return list(total_ms.values())

    def owner_changes(self, service: str) -> int:
        """Return how often the owner of a key differed from its previous response."""
        owners: dict[str, str] = {}
        changes = 0
        for record in self.requests(service):
            if record.outcome != "ran":
                continue
            changes += owners.get(record.key, record.owner) != record.owner
            owners[record.key] = record.owner
        return changes


class Cluster:
    """Routers, servers and load generator of a deployment.

    Servers are named ``<service>-<number>``.
    """

    def __init__(self, deployment: Deployment, settings: dict[str, Any]) -> None:
        self.deployment = deployment
        self.routers: dict[str, Process] = {}
        self.servers: dict[str, Process] = {}
        self._data_centres = settings["data_centres"]
        self._services = settings["services"]
        self._instance_count = 0
        self._directory = tempfile.TemporaryDirectory(prefix="mulberryrelay-bench-")
        self._run_numbers = itertools.count()

    def close(self) -> None:
        """Delete the files of the load generator; the deployment stays running."""
        self._directory.cleanup()

    def start_routers(self, names: Sequence[str]) -> None:
        """Start routers and register them; wait until successors are named."""
        for name in names:
            self.routers[name] = self.deployment.start_router(
                name, self._next_data_centre(), wait=False
            )
        for name in names:
            port = self.routers[name].port("peer_port")
            self.deployment.list_instance(name, "router", port)
        for name in names:
            self.routers[name].wait_for("event=ready")
        self.wait_for_successors()

    def start_server(self, name: str, state: str = "serving") -> None:
        """Start a server that reports ``state``, then register it with the platform."""
        service = name.rpartition("-")[0]
        data_centre = self._next_data_centre()
        checks_grants = self._services[service].get("checks_grants", True)
        server = self.deployment.start_server(
            name, service, data_centre, checks_grants, False
        )
        self.servers[name] = server
        if state != "serving":
            self.set_behaviour(name, state=state)
        self.deployment.list_instance(
            name, "server", server.port(), data_centre, service=service
        )

    def _next_data_centre(self) -> str:
        """Return the data centre for a new instance, in round-robin order."""
        self._instance_count += 1
        return str(self._data_centres[self._instance_count % len(self._data_centres)])

    def set_behaviour(self, name: str, **behaviour: Any) -> None:
        """Replace the configured behaviour of a stand-in server."""
        post_json(self.servers[name].url() + "/control/behaviour", behaviour)

    def remove_server(self, name: str) -> None:
        """Kill a server and remove it from the platform's list of instances."""
        self.servers.pop(name).kill()
        self.deployment.unlist_instance(name)

    def lease_row(self) -> Any:
        """Return the coordinator's lease row from the store, or None."""
        url = self.deployment.platform.url() + "/table/read"
        rows = msgspec.json.decode(post_json(url, {"names": ["coordinator/lease"]}))
        return rows[0]["value"] if rows else None

    def coordinator(self) -> str:
        """Return the name of the router that the lease row names as holder."""
        return str(self.lease_row()["holder"]["instance"])

    def wait_for_successors(self) -> None:
        """Wait until two successors, or all other routers if fewer, are named."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            row = self.lease_row()
            if row and len(row["successors"]) >= min(2, len(self.routers) - 1):
                return
            time.sleep(0.05)
        raise RuntimeError(
            "the lease row did not name enough successors before the timeout"
        )

    def counts(self) -> dict[str, int]:
        """Return the number of executions since the start of each server."""
        return {
            name: get_json(server.url() + "/control/count")
            for name, server in self.servers.items()
        }

    def finished_moves(self, since_unix_s: float = 0.0) -> list[MoveBatch]:
        """Return the moves logged as finished at or after a Unix time."""
        batches = []
        for process in self.deployment.processes:
            for line in process.log.splitlines():
                match = MOVES_FINISHED_PATTERN.search(line)
                pause = PAUSE_PATTERN.search(line)
                if match is None or pause is None or float(match[1]) < since_unix_s:
                    continue
                batches.append(
                    MoveBatch(float(match[1]), int(match[2]), float(pause[1]))
                )
        return batches

    def run(
        self,
        streams: Sequence[Stream],
        seconds: float,
        seed: int,
        actions: Sequence[Action] = (),
    ) -> LoadRun:
        """Run the load generator in a separate process and call actions during the run.

        Raises:
            RuntimeError: the load generator failed.
        """
        urls = [router.url("caller_port") for router in self.routers.values()]
        base = Path(self._directory.name) / str(next(self._run_numbers))
        spec_path, log_path = base.with_suffix(".spec"), base.with_suffix(".sent")
        spec_path.write_bytes(
            msgspec.json.encode(LoadSpec(urls, list(streams), seconds, seed))
        )
        before = self.counts()
        run_started_s = time.time()
        command = [
            sys.executable,
            "-m",
            "bench.openload",
            str(spec_path),
            str(log_path),
        ]
        load = Process("load", command, base.with_suffix(".log"))
        try:
            load.wait_for("event=started")
            started_s = time.monotonic()
            for at_s, perform in actions:
                time.sleep(max(0.0, started_s + at_s - time.monotonic()))
                perform()
            if load.wait(seconds + 60):
                raise RuntimeError(f"the load generator failed:\n{load.log}")
        finally:
            load.kill()
        after = self.counts()
        counts = {name: after[name] - before[name] for name in after if name in before}
        load_log = msgspec.json.decode(log_path.read_bytes(), type=LoadLog)
        return LoadRun(
            list(streams), load_log, counts, self.finished_moves(run_started_s)
        )


@contextmanager
def run_cluster(
    settings: dict[str, Any], routers: int, servers: dict[str, int]
) -> Iterator[Cluster]:
    """Start a deployment and yield it when ready; ``servers`` has counts by service."""
    with Deployment(settings) as deployment:
        cluster = Cluster(deployment, settings)
        try:
            for service, count in servers.items():
                for number in range(1, count + 1):
                    cluster.start_server(f"{service}-{number}")
            cluster.start_routers([f"entry-{n}" for n in range(1, routers + 1)])
            yield cluster
        finally:
            cluster.close()


def run_in_threads(calls: Sequence[Callable[[], None]]) -> None:
    """Run calls concurrently and wait for all; re-raise the first error."""
    errors: list[BaseException] = []

    def capture_error(call: Callable[[], None]) -> None:
        try:
            call()
        except BaseException as error:
            errors.append(error)

    threads = [threading.Thread(target=capture_error, args=(call,)) for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]


def count_outcomes(requests: Sequence[RequestRecord]) -> Counter[str]:
    """Return the number of requests by outcome."""
    return Counter(record.outcome for record in requests)
