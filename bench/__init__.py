"""Benchmarks and experiments; ``make bench`` runs them."""
