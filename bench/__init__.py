"""Benchmarks of the router and of its policies; ``make bench`` runs most of them."""
