"""Log positions that sessions have seen, as tracked by the owner of a database."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..groups import LOG_START, LogPosition
from ..identifiers import CallerId, SessionId
from .routing import later_position

MAX_SESSIONS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionKey:
    """A session of a caller."""

    caller: CallerId
    session: SessionId


@dataclass(kw_only=True, slots=True)
class SessionPositions:
    """Log positions of the sessions of one database, least recently used first.

    Parameters
    ----------
    min_position
        Position that an unknown session must see.
    log_positions
        Highest position that each session has seen.
    callers
        Highest position that any session of each caller has seen.
    """

    min_position: LogPosition = LOG_START
    log_positions: OrderedDict[SessionKey, LogPosition] = field(
        default_factory=OrderedDict
    )
    callers: dict[CallerId, LogPosition] = field(default_factory=dict)


def reset_positions(state: SessionPositions, min_position: LogPosition) -> None:
    """Remove all sessions; every session must see ``min_position`` from now on."""
    state.min_position = min_position
    state.log_positions.clear()
    state.callers.clear()


def find_position(
    state: SessionPositions,
    key: SessionKey,
    token: LogPosition,
    complete: bool,
    session_named: bool,
) -> LogPosition:
    """Return the position that a session's next read must see.

    Parameters
    ----------
    state
        Known positions.
    key
        The session.
    token
        Position sent with the request.
    complete
        Whether the token covers everything that the session has seen.
    session_named
        Whether the caller named the session. The first request of an unnamed
        session may belong to any earlier session of its caller, and must see
        what all of them have seen.
    """
    known = state.log_positions.get(key)
    log_position = later_position(token, known or LOG_START)
    if known is not None or complete:
        return log_position
    log_position = later_position(log_position, state.min_position)
    if session_named:
        return log_position
    return later_position(log_position, state.callers.get(key.caller, LOG_START))


def record_position(
    state: SessionPositions, key: SessionKey, log_position: LogPosition
) -> None:
    """Record what a session has seen; evict the least recently used session."""
    old = state.log_positions.pop(key, LOG_START)
    state.log_positions[key] = later_position(old, log_position)
    earlier = state.callers.get(key.caller, LOG_START)
    state.callers[key.caller] = later_position(earlier, log_position)
    while len(state.log_positions) > MAX_SESSIONS:
        _, forgotten = state.log_positions.popitem(last=False)
        state.min_position = later_position(state.min_position, forgotten)


def remove_caller(state: SessionPositions, caller: CallerId) -> None:
    """Remove all positions of a caller."""
    for key in [k for k in state.log_positions if k.caller == caller]:
        del state.log_positions[key]
    state.callers.pop(caller, None)
