"""Rules of a rule file, and the rules that are active at one time."""

from datetime import datetime
from enum import Enum

import msgspec

from mulberryrelay_kernel.ids import (
    DataCentre,
    Key,
    RequestClass,
    ServerId,
    ServiceName,
)


class RuleKind(Enum):
    """First word of a rule."""

    PIN = "pin"
    DRAIN = "drain"
    LIMIT = "limit"
    ORDER = "order"


class PinTarget(msgspec.Struct, frozen=True):
    """Where a pinned key is served: one server, or any server of a data centre."""

    server: ServerId | None = None
    data_centre: DataCentre | None = None


class PinRule(msgspec.Struct, frozen=True):
    """Keeps a key on a server or in a data centre."""

    service: ServiceName
    key: Key
    target: PinTarget


class DrainRule(msgspec.Struct, frozen=True):
    """Takes all work from a server."""

    server: ServerId


class LimitRule(msgspec.Struct, frozen=True):
    """Limits the requests of a class, over all routers together."""

    service: ServiceName
    request_class: RequestClass
    per_second: int


class OrderRule(msgspec.Struct, frozen=True):
    """Orders the classes of a service, the most important first."""

    service: ServiceName
    classes: tuple[RequestClass, ...]


RuleAction = PinRule | DrainRule | LimitRule | OrderRule

_KINDS: dict[type[RuleAction], RuleKind] = {
    PinRule: RuleKind.PIN,
    DrainRule: RuleKind.DRAIN,
    LimitRule: RuleKind.LIMIT,
    OrderRule: RuleKind.ORDER,
}


class Rule(msgspec.Struct, frozen=True):
    """One line of a rule file."""

    action: RuleAction
    requested_by: str
    comment: str
    """Text after ``#``, without surrounding blanks."""
    starts: datetime | None = None
    """UTC; None means at once."""
    ends: datetime | None = None
    """UTC, exclusive; None means never."""
    line: int = 0
    column: int = 1
    """Column of the first word."""

    @property
    def place(self) -> str:
        """Place of the rule in findings."""
        return f"{self.line}:{self.column}"

    @property
    def kind(self) -> RuleKind:
        return _KINDS[type(self.action)]

    def is_active(self, now: datetime) -> bool:
        """Return whether the rule applies at ``now``."""
        if self.starts is not None and now < self.starts:
            return False
        return self.ends is None or now < self.ends


class ActiveRules(msgspec.Struct, frozen=True):
    """The rules that apply at one time."""

    pins: dict[ServiceName, dict[Key, PinTarget]] = {}
    drained: frozenset[ServerId] = frozenset()
    limits: dict[ServiceName, dict[RequestClass, int]] = {}
    """Requests per second over all routers together."""
    orders: dict[ServiceName, tuple[RequestClass, ...]] = {}


def named_server(action: RuleAction) -> ServerId | None:
    """Return the server that a rule names, or None."""
    if isinstance(action, DrainRule):
        return action.server
    if isinstance(action, PinRule):
        return action.target.server
    return None
