"""Types, messages, settings, plug-in registry and logging that all packages share."""
