"""Bounded model check of the ownership protocol with z3; ``make model`` runs it."""
