"""apricotshore: a database proxy with session consistency."""

__version__ = "0.1.0"

import importlib
from typing import Any

_LAZY_EXPORTS = {
    "ApricotshoreError": "exceptions",
    "Bundle": "bundles",
    "Failure": "verdicts",
    "Outcome": "requests",
    "Reason": "verdicts",
    "Reply": "requests",
    "Request": "requests",
    "Settings": "settings",
    "Verdict": "verdicts",
    "load_settings": "settings",
    "parse_bundle": "bundles",
    "parse_settings": "settings",
}

__all__ = ["__version__", *_LAZY_EXPORTS]  # noqa: PLE0604


def __getattr__(name: str) -> Any:
    """Import a public name on first use.

    A pooling host uses neither keys nor bundles; lazy imports save their memory.
    """
    if name not in _LAZY_EXPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_LAZY_EXPORTS[name]}", __name__), name)
