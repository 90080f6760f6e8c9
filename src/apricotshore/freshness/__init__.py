"""Freshness of a host's configuration: proofs, their ages, and who vouches for them.

Nothing in this package does I/O or reads a clock.
"""

from .bounds import Bounds, derive_bounds
from .messages import NO_PROOF, FreshnessRequest, FreshnessResponse
from .proofs import (
    ConfigurationState,
    Proof,
    Relation,
    ServersState,
    compare_configuration,
    compare_servers,
)
from .vouchers import VoucherOrder, choose_helpers, choose_vouchers, rank_vouchers

__all__ = [
    "NO_PROOF",
    "Bounds",
    "ConfigurationState",
    "FreshnessRequest",
    "FreshnessResponse",
    "Proof",
    "Relation",
    "ServersState",
    "VoucherOrder",
    "choose_helpers",
    "choose_vouchers",
    "compare_configuration",
    "compare_servers",
    "derive_bounds",
    "rank_vouchers",
]
