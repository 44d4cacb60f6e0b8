"""Control side: platform adapters, coordinator lease, ownership, membership, rules."""
