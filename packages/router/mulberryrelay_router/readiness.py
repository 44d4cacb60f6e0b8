"""Readiness of this router.

The load balancer polls it to choose routers; the listener for callers reads it to close
connections during the shutdown.
"""

from .routingview import RoutingView


class Readiness:
    """Ready while the routing lease is valid and no shutdown has begun."""

    def __init__(self, view: RoutingView) -> None:
        self._view = view
        self._is_stopping = False

    def is_stopping(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._is_stopping

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return not self._is_stopping and self._view.has_lease()

    def stop(self) -> None:
        """Mark the router as stopping, and no longer ready."""
        self._is_stopping = True
