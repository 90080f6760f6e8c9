"""Rate limits of organisations over the whole fleet: decisions without I/O.

Every host may be an allocator, which keeps a token bucket for each organisation and
leases tokens to the hosts that report to it. ``docs/design/rate-limits.md`` has the
argument why all hosts together stay within the bound.
"""

from ..rate_decisions import Admitted, Limited
from .allocator import Allocator, answer, measure_share
from .budget import Budget, LimitSettings, derive_budgets
from .host_limits import HostLimits
from .messages import Demand, Grant, Stamp, TokensReply, TokensRequest

__all__ = [
    "Admitted",
    "Allocator",
    "Budget",
    "Demand",
    "Grant",
    "HostLimits",
    "LimitSettings",
    "Limited",
    "Stamp",
    "TokensReply",
    "TokensRequest",
    "answer",
    "derive_budgets",
    "measure_share",
]
