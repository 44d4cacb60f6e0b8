"""Simulated platform and backend servers for the demo, tests and benchmarks."""
