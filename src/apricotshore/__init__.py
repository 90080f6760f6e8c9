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
    """Load a public name when it is first used.

    A pooling host needs neither keys nor bundles, and its memory counts.
    """
    if name not in _LAZY_EXPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_LAZY_EXPORTS[name]}", __name__), name)
