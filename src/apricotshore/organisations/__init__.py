"""Organisations that share a fleet: who a caller is, and for how long that holds."""

from .identity import Admission, admit, digest_key, is_admitted, shorten_digest
from .withdrawal import WithdrawnKey, list_withdrawn

__all__ = [
    "Admission",
    "WithdrawnKey",
    "admit",
    "digest_key",
    "is_admitted",
    "list_withdrawn",
    "shorten_digest",
]
