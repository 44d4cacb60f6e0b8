"""Choice of the successors: the routers that may take the coordinator lease over."""

from collections.abc import Sequence

from mulberryrelay_kernel.ids import BootId, DataCentre
from mulberryrelay_kernel.messages import RouterAddress

SUCCESSOR_COUNT = 2
"""Maximum number of successors in the lease row."""


def choose_successors(
    own_address: RouterAddress,
    current: Sequence[RouterAddress],
    candidates: Sequence[RouterAddress],
) -> list[RouterAddress]:
    """Return up to two successors, preferably in other data centres.

    Routers outside the holder's data centre are preferred, then those in a data centre
    without another successor, then current successors.

    A current successor that is no longer a candidate stays until a candidate replaces
    it: while the lease row names no live successor, no router may take the lease over
    before the outage cap has passed.
    """
    remaining = {
        address.boot_id: address
        for address in candidates
        if not _is_same_instance(address, own_address)
    }
    current_boot_ids = {address.boot_id for address in current}
    chosen: list[RouterAddress] = []
    while remaining and len(chosen) < SUCCESSOR_COUNT:
        used_data_centres = {address.data_centre for address in chosen}
        best = min(
            remaining.values(),
            key=lambda address: _preference(
                address, own_address, used_data_centres, current_boot_ids
            ),
        )
        chosen.append(remaining.pop(best.boot_id))
    chosen_instances = {address.instance for address in chosen}
    for address in current:
        if len(chosen) == SUCCESSOR_COUNT:
            break
        if address.instance in chosen_instances or _is_same_instance(
            address, own_address
        ):
            continue
        chosen_instances.add(address.instance)
        chosen.append(address)
    # Keeps the order, which has no meaning, to avoid needless writes of the lease row.
    if {address.boot_id for address in chosen} == current_boot_ids:
        return list(current)
    return chosen


def _preference(
    address: RouterAddress,
    own_address: RouterAddress,
    used_data_centres: set[DataCentre],
    current_boot_ids: set[BootId],
) -> tuple[bool, bool, bool, str]:
    """Return a sort key; the candidate with the lowest one is chosen next."""
    return (
        address.data_centre == own_address.data_centre,
        address.data_centre in used_data_centres,
        address.boot_id not in current_boot_ids,
        address.instance,
    )


def _is_same_instance(address: RouterAddress, other: RouterAddress) -> bool:
    return address.instance == other.instance
