"""End up to which logs that members of a group have lost count."""

from .change_members import log_order
from .log_floor import UNKNOWN_END, End
from .log_members import LogMembers


def find_lost_end(state: LogMembers) -> End | None:
    """Return the end up to which lost logs count.

    Parameters
    ----------
    state
        Servers whose logs count, and what is known of logs that were lost.

    Returns
    -------
    End or None
        None where no server has lost its log, `UNKNOWN_END` where no position of the
        primary covers each one.
    """
    if state.lost:
        return UNKNOWN_END
    return None if state.covered_end is None else log_order(state.covered_end)
