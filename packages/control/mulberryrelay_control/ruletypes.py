"""Types of the rules in a rule file, and of the rules that are active at one time."""

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
    """Kind of a rule; the value is the first word of its line."""

    PIN = "pin"
    DRAIN = "drain"
    LIMIT = "limit"
    ORDER = "order"


class PinTarget(msgspec.Struct, frozen=True):
    """Target of a pin: either one server or any server of one data centre."""

    server: ServerId | None = None
    data_centre: DataCentre | None = None


class PinRule(msgspec.Struct, frozen=True):
    """Assigns a key to a server or a data centre."""

    service: ServiceName
    key: Key
    target: PinTarget


class DrainRule(msgspec.Struct, frozen=True):
    """Moves all keys away from a server and sends it no further requests."""

    server: ServerId


class LimitRule(msgspec.Struct, frozen=True):
    """Limits the rate of a request class, summed over all routers."""

    service: ServiceName
    request_class: RequestClass
    per_second: int


class OrderRule(msgspec.Struct, frozen=True):
    """Sets the priority of a service's classes, the most important first."""

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
    """Person who requested the rule, as named in the comment."""
    comment: str
    """Text after ``#``, without leading and trailing whitespace."""
    starts: datetime | None = None
    """UTC; None means that the rule is active immediately."""
    ends: datetime | None = None
    """UTC, exclusive; None means that the rule does not end."""
    line: int = 0
    column: int = 1
    """Column of the first word."""

    @property
    def place(self) -> str:
        """Position of the rule as ``line:column``, for findings."""
        return f"{self.line}:{self.column}"

    @property
    def kind(self) -> RuleKind:
        return _KINDS[type(self.action)]

    def is_active(self, now: datetime) -> bool:
        """Return whether the rule is active at ``now``."""
        if self.starts is not None and now < self.starts:
            return False
        return self.ends is None or now < self.ends


class ActiveRules(msgspec.Struct, frozen=True):
    """The rules that are active at one time, by their kind."""

    pins: dict[ServiceName, dict[Key, PinTarget]] = {}
    drained: frozenset[ServerId] = frozenset()
    limits: dict[ServiceName, dict[RequestClass, int]] = {}
    """Requests per second, summed over all routers."""
    orders: dict[ServiceName, tuple[RequestClass, ...]] = {}
    """Request classes by priority, the most important first."""


def named_server(action: RuleAction) -> ServerId | None:
    """Return the server that a rule names, or None."""
    if isinstance(action, DrainRule):
        return action.server
    if isinstance(action, PinRule):
        return action.target.server
    return None
