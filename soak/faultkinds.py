"""The kinds of faults that a soak injects; ``injector.py`` says what each does."""

from enum import Enum


class FaultKind(Enum):
    """What a fault does."""

    ROUTER_KILL = "router-kill"
    ROUTER_TERM = "router-term"
    ROUTER_PAUSE = "router-pause"
    ROUTER_HANGUP = "router-hangup"
    ALL_ROUTERS_KILL = "all-routers-kill"
    CALLER_LINK_RESET = "caller-link-reset"
    STORE_LINK_CUT = "store-link-cut"
    STORE_LINK_REFUSED = "store-link-refused"
    SERVER_CRASH = "server-crash"
    SERVER_REBORN = "server-reborn"
    SERVER_SILENT = "server-silent"
    SERVER_DEAF = "server-deaf"
    SERVER_RESET = "server-reset"
    SERVER_SLOW = "server-slow"
    SERVER_DRAIN = "server-drain"
    SERVER_LIMIT = "server-limit"
    SERVER_LOSES_RESPONSES = "server-loses-responses"
    STORE_SILENT = "store-silent"
    STORE_BUSY = "store-busy"
    STORE_LOSES_REPLIES = "store-loses-replies"
    STORE_LATE = "store-late"
    STORE_COMPACT = "store-compact"
    STORE_RESTORED = "store-restored"
    ROUTE_ADDED = "route-added"
    ROUTE_REMOVED = "route-removed"
