"""Router process: callers, forwarding, peers and the administration API."""
