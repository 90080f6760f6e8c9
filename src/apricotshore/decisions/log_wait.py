"""Wait of a change of primary for logs: while it lasts, nobody may be ordered.

Callers of a group that waits are rejected at once, for nobody leads soon. A change has
found that a group waits only once each server whose log isn't known has given no answer
for a while. Until then, and between changes, what was found before stands.
"""

from collections.abc import Collection, Iterable

from ..identifiers import ServerId
from .change_attempt import Attempt
from .change_members import Member
from .change_targets import NO_ANSWER_LIMIT_MS, list_followers
from .log_floor import COPIES_PER_COMMIT, UNKNOWN_END
from .needed_end import list_unknown, may_lead

# What a change finds if a server may be ordered, or leads.
NO_WAIT = ""


def find_wait(attempt: Attempt, members: Collection[Member], now: int) -> str | None:
    """Return why nobody may be ordered.

    Parameters
    ----------
    attempt
        The change; its needed end is that of the members' latest answers.
    members
        Servers that may hold acknowledged commits.
    now
        Milliseconds since boot.

    Returns
    -------
    str or None
        `NO_WAIT` if a server may be ordered or leads, None while neither is known.
    """
    if attempt.is_ordered or any(s.is_primary for s in attempt.statuses.values()):
        return NO_WAIT
    followers = list_followers(attempt, members)
    full = [m for m in followers if may_lead(attempt, m.server)]
    if any(m.listed and m.server not in attempt.rejected for m in full):
        return NO_WAIT
    unknown = list_unknown(attempt, members)
    if any(_may_answer(attempt, server, now) for server in unknown):
        return None
    return _describe(attempt, unknown, has_full=bool(full))


def lacks_logs(counted: Iterable[ServerId], listed: Collection[ServerId]) -> bool:
    """Return whether too few logs can be known, from the store's entries alone.

    Parameters
    ----------
    counted
        Servers whose logs count.
    listed
        Servers that the store lists.
    """
    missing = [server for server in counted if server not in listed]
    return len(missing) >= COPIES_PER_COMMIT


def _may_answer(attempt: Attempt, server: ServerId, now: int) -> bool:
    """Return whether a server whose log isn't known may still name its end."""
    if server in attempt.shrunk:
        return False
    heard_at = attempt.answered_at.get(server, attempt.started_at)
    return server in attempt.busy or now - heard_at < NO_ANSWER_LIMIT_MS


def _describe(
    attempt: Attempt, unknown: tuple[ServerId, ...], *, has_full: bool
) -> str:
    needed = attempt.needed_end
    if needed is not None:
        end = f"{int(needed[0])}.{int(needed[1])}"
        if has_full:
            return f"no server that reaches {end} can be ordered"
        return f"no known log reaches {end}"
    names = ", ".join(sorted(unknown))
    lost = " and one was lost" if attempt.lost_end == UNKNOWN_END else ""
    noun = "log" if len(unknown) == 1 else "logs"
    verb = "is" if len(unknown) == 1 else "are"
    return f"the {noun} of {names} {verb} unknown{lost}"
