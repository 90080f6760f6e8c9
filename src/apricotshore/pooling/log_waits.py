"""Wait of a group for logs, as its host knows it: found by its change, or by entries.

A host that runs no change knows of the wait only from the store's entries. Where that
doesn't show it, callers wait for a primary as ever.
"""

from collections.abc import Collection

from ..decisions import log_wait
from ..decisions.change_attempt import Attempt
from ..decisions.change_members import Member
from ..services.clock import read_boot_ms
from .change_phases import record_phase
from .group import Group
from .stored_objects import LeaseRecord


def observe_step(group: Group, attempt: Attempt, members: Collection[Member]) -> None:
    """Record whether a change waits for logs, once while it does for one reason."""
    why = log_wait.find_wait(attempt, members, read_boot_ms())
    if why is None or why == group.log_wait:
        return
    group.log_wait = why
    if why != log_wait.NO_WAIT:
        record_phase(group, "waiting", why=why)
        # Statements that wait for a primary are rejected as well.
        group.primary_confirmed.set()


def observe_lease(group: Group, record: LeaseRecord, holder: str) -> None:
    """Forget what this host's change has found, once another host runs one.

    Parameters
    ----------
    group
        The group.
    record
        The lease on its change of primary, as it was read or written.
    holder
        Name of this host's changer.
    """
    if record.holder != holder:
        group.log_wait = None


def waits_for_logs(group: Group) -> bool:
    """Return whether nobody leads and nobody may be ordered, as far as is known."""
    is_silent = group.primary_state.silent_since is not None
    if group.primary is not None and not is_silent:
        return False
    if group.log_wait is not None:
        return group.log_wait != log_wait.NO_WAIT
    return log_wait.lacks_logs(group.members.counted, group.servers)
