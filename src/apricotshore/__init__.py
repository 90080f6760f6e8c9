"""apricotshore: a database proxy with session consistency."""

__version__ = "0.1.0"

from .bundles import Bundle, parse_bundle
from .exceptions import ApricotshoreError
from .requests import Outcome, Reply, Request
from .settings import Settings, load_settings, parse_settings
from .verdicts import Failure, Reason, Verdict

__all__ = [
    "ApricotshoreError",
    "Bundle",
    "Failure",
    "Outcome",
    "Reason",
    "Reply",
    "Request",
    "Settings",
    "Verdict",
    "__version__",
    "load_settings",
    "parse_bundle",
    "parse_settings",
]
