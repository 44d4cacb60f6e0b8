"""A deployment of real processes with load on it, for the sections of the bench."""

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

from .openload import LoadLog, LoadSpec, Sent, Stream

Action = tuple[float, Callable[[], None]]
"""Seconds after the begin of the load, and what to do then."""

READY_TIMEOUT_S = 20.0
FINISHED = re.compile(r"time=([\d.]+) event=moves_finished .*?units=(\d+)")
PAUSE = re.compile(r"pause_ms=([\d.]+)")


class Moved(msgspec.Struct, frozen=True):
    """A batch of units whose moves ended together."""

    at_s: float
    """Seconds since the Unix epoch."""
    units: int
    pause_ms: float


class Phase(msgspec.Struct, frozen=True):
    """What was seen during one run of the load."""

    streams: list[Stream]
    log: LoadLog
    counts: dict[str, int]
    """Executions by server, of the servers present before and after."""
    moved: list[Moved]

    @property
    def seconds(self) -> float:
        return max(sent.due_s for sent in self.log.sent) - self.log.started_s

    def sent(self, service: str, request_class: str | None = None) -> list[Sent]:
        """Return the requests of a service, in the order of their times."""
        chosen = [
            sent
            for sent in self.log.sent
            if self.streams[sent.stream].service == service
            and request_class in (None, self.streams[sent.stream].request_class)
        ]
        return sorted(chosen, key=lambda sent: sent.due_s)

    def imbalance(self, prefix: str) -> float:
        """Return busiest to mean server among those whose names begin so."""
        own = [n for name, n in self.counts.items() if name.startswith(prefix)]
        return max(own) * len(own) / sum(own) if sum(own) else 0.0

    def unavailable_ms(self, service: str) -> list[float]:
        """Return for each key how long its requests were not run.

        A stretch lasts from the time of the first request that was not run to the
        answer of the next one that was; without a next one, to its own answer.
        """
        lost_ms: dict[str, float] = defaultdict(float)
        since_s: dict[str, float] = {}
        until_s: dict[str, float] = {}
        for sent in self.sent(service):
            lost_ms[sent.key] += 0.0
            answered_s = sent.due_s + sent.latency_ms / 1000
            if sent.outcome != "ran":
                # Requests overlap, and no moment counts twice.
                since_s.setdefault(
                    sent.key, max(sent.due_s, until_s.get(sent.key, 0.0))
                )
            if sent.key not in since_s:
                continue
            until_s[sent.key] = max(answered_s, until_s.get(sent.key, 0.0))
            if sent.outcome == "ran":
                first_s = since_s.pop(sent.key)
                lost_ms[sent.key] += max(0.0, until_s[sent.key] - first_s) * 1000
        for key, first_s in since_s.items():
            lost_ms[key] += max(0.0, until_s[key] - first_s) * 1000
        return list(lost_ms.values())

    def owner_changes(self, service: str) -> int:
        """Return how often callers saw a key change its owner."""
        owners: dict[str, str] = {}
        changes = 0
        for sent in self.sent(service):
            if sent.outcome != "ran":
                continue
            changes += owners.get(sent.key, sent.owner) != sent.owner
            owners[sent.key] = sent.owner
        return changes


class Cluster:
    """Routers, servers and load; servers are named ``<service>-<number>``."""

    def __init__(self, deployment: Deployment, settings: dict[str, Any]) -> None:
        self.deployment = deployment
        self.routers: dict[str, Process] = {}
        self.servers: dict[str, Process] = {}
        self._data_centres = settings["data_centres"]
        self._services = settings["services"]
        self._started = 0
        self._directory = tempfile.TemporaryDirectory(prefix="mulberryrelay-bench-")
        self._runs = itertools.count()

    def close(self) -> None:
        self._directory.cleanup()

    def start_routers(self, names: Sequence[str]) -> None:
        """Start routers, list them and wait until two successors are named."""
        for name in names:
            self.routers[name] = self.deployment.start_router(
                name, self._place(), wait=False
            )
        for name in names:
            port = self.routers[name].port("peer_port")
            self.deployment.list_instance(name, "router", port)
        for name in names:
            self.routers[name].wait_for("event=ready")
        self.wait_for_successors()

    def start_server(self, name: str, state: str = "serving") -> None:
        """Start a server, in the state that it reports itself, then list it."""
        service = name.rpartition("-")[0]
        place = self._place()
        checks = self._services[service].get("checks_grants", True)
        server = self.deployment.start_server(name, service, place, checks, False)
        self.servers[name] = server
        if state != "serving":
            self.behave(name, state=state)
        self.deployment.list_instance(
            name, "server", server.port(), place, service=service
        )

    def _place(self) -> str:
        self._started += 1
        return str(self._data_centres[self._started % len(self._data_centres)])

    def behave(self, name: str, **behaviour: Any) -> None:
        """Replace the behaviour of a server."""
        post_json(self.servers[name].url() + "/control/behaviour", behaviour)

    def remove_server(self, name: str) -> None:
        """End a server and take it off the platform's list."""
        self.servers.pop(name).kill()
        self.deployment.unlist_instance(name)

    def lease(self) -> Any:
        """Return the coordinator's lease row, or None."""
        url = self.deployment.platform.url() + "/table/read"
        rows = msgspec.json.decode(post_json(url, {"names": ["coordinator/lease"]}))
        return rows[0]["value"] if rows else None

    def coordinator(self) -> str:
        """Return the name of the router that holds the lease row."""
        return str(self.lease()["holder"]["instance"])

    def wait_for_successors(self) -> None:
        """Wait until the row names two successors, or all routers there are."""
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_s:
            row = self.lease()
            if row and len(row["successors"]) >= min(2, len(self.routers) - 1):
                return
            time.sleep(0.05)
        raise RuntimeError("no successors were named")

    def counts(self) -> dict[str, int]:
        """Return the executions of each server so far."""
        return {
            name: get_json(server.url() + "/control/count")
            for name, server in self.servers.items()
        }

    def moved(self, since_s: float = 0.0) -> list[Moved]:
        """Return the moves that the routers logged, from a time on."""
        found = []
        for process in self.deployment.processes:
            for line in process.log.splitlines():
                match = FINISHED.search(line)
                pause = PAUSE.search(line)
                if match is None or pause is None or float(match[1]) < since_s:
                    continue
                found.append(Moved(float(match[1]), int(match[2]), float(pause[1])))
        return found

    def run(
        self,
        streams: Sequence[Stream],
        seconds: float,
        seed: int,
        actions: Sequence[Action] = (),
    ) -> Phase:
        """Run load from a process of its own, with actions at their times."""
        urls = [router.url("caller_port") for router in self.routers.values()]
        base = Path(self._directory.name) / str(next(self._runs))
        spec, log = base.with_suffix(".spec"), base.with_suffix(".sent")
        spec.write_bytes(
            msgspec.json.encode(LoadSpec(urls, list(streams), seconds, seed))
        )
        before = self.counts()
        begun_s = time.time()
        command = [sys.executable, "-m", "bench.openload", str(spec), str(log)]
        load = Process("load", command, base.with_suffix(".log"))
        try:
            load.wait_for("event=started")
            started_s = time.monotonic()
            for at_s, act in actions:
                time.sleep(max(0.0, started_s + at_s - time.monotonic()))
                act()
            if load.wait(seconds + 60):
                raise RuntimeError(f"the load generator failed:\n{load.log}")
        finally:
            load.kill()
        after = self.counts()
        counts = {name: after[name] - before[name] for name in after if name in before}
        sent = msgspec.json.decode(log.read_bytes(), type=LoadLog)
        return Phase(list(streams), sent, counts, self.moved(begun_s))


@contextmanager
def cluster(
    settings: dict[str, Any], routers: int, servers: dict[str, int]
) -> Iterator[Cluster]:
    """Run a deployment with so many servers of each service until it is ready."""
    with Deployment(settings) as deployment:
        running = Cluster(deployment, settings)
        try:
            for service, count in servers.items():
                for number in range(1, count + 1):
                    running.start_server(f"{service}-{number}")
            running.start_routers([f"entry-{n}" for n in range(1, routers + 1)])
            yield running
        finally:
            running.close()


def in_threads(calls: Sequence[Callable[[], None]]) -> None:
    """Run calls at the same time; raise the first error of them."""
    errors: list[BaseException] = []

    def guarded(call: Callable[[], None]) -> None:
        try:
            call()
        except BaseException as error:
            errors.append(error)

    threads = [threading.Thread(target=guarded, args=(call,)) for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]


def outcomes(sent: Sequence[Sent]) -> Counter[str]:
    """Return the number of requests by outcome."""
    return Counter(item.outcome for item in sent)
