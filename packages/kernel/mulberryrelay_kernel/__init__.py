"""Kernel shared by all packages: types, messages, settings, plug-ins and logs."""
