"""Promises between the holder of the coordinator lease and its successors.

While the store is unreachable, the holder cannot renew the lease there. It extends the
lease if all successors promise not to take over for a period. Each side measures the
period on its own clock: the holder from before it sent the request, the successor from
the receipt. The holder's period therefore never ends after the successor's.
"""

from collections.abc import Iterable, Sequence

from mulberryrelay_kernel.ids import BootId
from mulberryrelay_kernel.messages import RouterAddress

NEVER_MS = float("-inf")
"""Time of an event that has not happened, or expiry of a promise not given."""


class GivenPromises:
    """Promises that this process has given as a successor."""

    def __init__(self) -> None:
        self._until_ms = NEVER_MS

    def record(self, received_ms: float, period_ms: float) -> None:
        """Promise not to take over for ``period_ms`` from ``received_ms``."""
        self._until_ms = max(self._until_ms, received_ms + period_ms)

    def is_in_force(self, now_ms: float) -> bool:
        """Return whether a promise is in force."""
        return now_ms < self._until_ms


class CollectedPromises:
    """Promises that successors have given to this process as the lease holder.

    Promises are recorded by boot id, since a restarted successor does not know the
    promise of its previous process.
    """

    def __init__(self) -> None:
        self._until_ms: dict[BootId, float] = {}

    def record(
        self, successor: RouterAddress, requested_ms: float, period_ms: float
    ) -> None:
        """Record a promise that was given and had been requested at that time."""
        previous_ms = self._until_ms.get(successor.boot_id, NEVER_MS)
        self._until_ms[successor.boot_id] = max(previous_ms, requested_ms + period_ms)

    def valid_until_ms(self, possible_sets: Iterable[Sequence[RouterAddress]]) -> float:
        """Return the earliest expiry of all needed promises.

        Args:
            possible_sets: every set of successors that the lease row may name now.
                There are several while the result of a change of successors is unknown.
                Any router may take over a row without successors, so that promises
                cannot protect it.
        """
        valid_until_ms = float("inf")
        for successors in possible_sets:
            if not successors:
                return NEVER_MS
            for successor in successors:
                promised_ms = self._until_ms.get(successor.boot_id, NEVER_MS)
                valid_until_ms = min(valid_until_ms, promised_ms)
        return valid_until_ms if valid_until_ms != float("inf") else NEVER_MS

    def clear(self) -> None:
        """Discard all promises, since they belong to a term that has ended."""
        self._until_ms.clear()
