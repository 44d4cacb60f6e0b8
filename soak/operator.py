"""The operator: writes the configuration, and knows since when a route is in force."""

import random
import time

import msgspec

from mulberryrelay_platform.names import (
    CONFIGURATION_KEY,
    KIND_SAFE,
    KIND_UNSAFE,
    OPERATOR_TABLE,
    VERSION_PREFIX,
)
from standins.tables import Tables

HOST = "app.example"
KEYED_SERVICE = "listing"
PLAIN_SERVICE = "till"
KEYED_READ = "/listing/"
KEYED_WRITE = "/booking/"
PLAIN_READ = "/receipt/"
PLAIN_WRITE = "/payment/"
TIMEOUT_S = 2.0
TARGET_S = 0.5
MAX_REMOVED = 20
"""Removed routes that callers still try."""


class AddedRoute(msgspec.Struct, frozen=True):
    """A route that was added or removed, and when that was acknowledged."""

    prefix: str
    is_present: bool
    acknowledged_s: float


class Operator:
    """Adds and removes routes; writes them again after the store was restored."""

    def __init__(self, tables: Tables, rng: random.Random) -> None:
        self._tables = tables
        self._rng = rng
        self._version = 0
        self._added = 0
        self._routes: dict[str, AddedRoute] = {}

    @property
    def routes(self) -> list[AddedRoute]:
        """Routes that were added during the run, removed ones included."""
        return list(self._routes.values())

    def write(self) -> None:
        """Write the configuration; the store acknowledges it at once."""
        self._version += self._rng.randint(1, 3)
        self._tables.write(OPERATOR_TABLE, CONFIGURATION_KEY, self._encode())

    def write_again(self) -> None:
        """Write the configuration again, since the store may have lost it."""
        self._tables.write(OPERATOR_TABLE, CONFIGURATION_KEY, self._encode())
        now_s = time.monotonic()
        for prefix, route in self._routes.items():
            self._routes[prefix] = msgspec.structs.replace(route, acknowledged_s=now_s)

    def add_route(self) -> None:
        """Add a route and write the configuration."""
        self._added += 1
        prefix = f"/added-{self._added}/"
        self._set(prefix, is_present=True)

    def remove_route(self) -> None:
        """Remove one of the added routes, if there is one."""
        present = [route.prefix for route in self.routes if route.is_present]
        if not present:
            return
        self._set(self._rng.choice(present), is_present=False)
        removed = [route.prefix for route in self.routes if not route.is_present]
        for prefix in removed[:-MAX_REMOVED]:
            del self._routes[prefix]

    def _set(self, prefix: str, is_present: bool) -> None:
        self._routes[prefix] = AddedRoute(prefix, is_present, 0.0)
        self.write()
        self._routes[prefix] = AddedRoute(prefix, is_present, time.monotonic())

    def _encode(self) -> bytes:
        columns = ["Name", "Host", "Prefix", "Kind", "TimeoutS", "TargetLatencyS"]
        columns += ["Priority", "Attempts", "Service"]
        rows = [
            _route(KEYED_READ, KIND_SAFE, KEYED_SERVICE),
            _route(KEYED_WRITE, KIND_UNSAFE, KEYED_SERVICE),
            _route(PLAIN_READ, KIND_SAFE, PLAIN_SERVICE),
            _route(PLAIN_WRITE, KIND_UNSAFE, PLAIN_SERVICE),
        ]
        for route in self.routes:
            if route.is_present:
                rows.append(_route(route.prefix, KIND_SAFE, PLAIN_SERVICE))
        services = [[KEYED_SERVICE, True], [PLAIN_SERVICE, False]]
        body = {
            "Version": f"{VERSION_PREFIX}{self._version}",
            "Routes": {"Columns": columns, "Rows": rows},
            "Services": {"Columns": ["Name", "Sharded"], "Rows": services},
        }
        return msgspec.json.encode(body)


def _route(prefix: str, kind: str, service: str) -> list[object]:
    return [prefix, HOST, prefix, kind, TIMEOUT_S, TARGET_S, 1, 2, service]
