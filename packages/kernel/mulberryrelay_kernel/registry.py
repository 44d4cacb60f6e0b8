"""Registry of plug-ins.

A plug-in module registers its factories when it is imported. ``load_plugins`` imports
the modules that installed packages list in the entry point group
``mulberryrelay.plugins``.
"""

from collections.abc import Callable
from importlib.metadata import entry_points
from typing import Any, TypeVar

ENTRY_POINT_GROUP = "mulberryrelay.plugins"

Factory = TypeVar("Factory", bound=Callable[..., Any])

_factories: dict[tuple[str, str], Callable[..., Any]] = {}


def register(kind: str, name: str) -> Callable[[Factory], Factory]:
    """Register the decorated factory as the plug-in ``name`` of ``kind``.

    Raises:
        ValueError: another factory already has this kind and name.
    """

    def decorate(factory: Factory) -> Factory:
        registered = _factories.setdefault((kind, name), factory)
        if registered is not factory:
            raise ValueError(
                f"plug-in {kind}/{name} is already registered by {registered!r}"
            )
        return factory

    return decorate


def plugin_factory(kind: str, name: str) -> Callable[..., Any]:
    """Return the factory registered for ``kind`` and ``name``.

    Raises:
        KeyError: no such plug-in is registered.
    """
    return _factories[kind, name]


def plugin_names(kind: str) -> list[str]:
    """Return the sorted names of the registered plug-ins of one kind."""
    return sorted(name for known_kind, name in _factories if known_kind == kind)


def load_plugins() -> None:
    """Import every plug-in module of the installed packages."""
    for entry_point in entry_points(group=ENTRY_POINT_GROUP):
        entry_point.load()
