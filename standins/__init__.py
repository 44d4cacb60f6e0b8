"""Stand-ins for the platform and for backend servers, for the demo, tests and bench."""
