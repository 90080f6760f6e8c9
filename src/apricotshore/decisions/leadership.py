"""Tracking of the primary of a group from the answers of its servers."""

from dataclasses import dataclass, field

from ..identifiers import ServerId, Term
from ..routes import ListedServer
from . import loop_stalls
from .loop_stalls import Stall


@dataclass(kw_only=True, slots=True)
class PrimaryState:
    """State of the primary of one group, as this host knows it.

    Parameters
    ----------
    primary
        Server that led when last asked, None while unknown.
    term
        Highest term in which a server proved to be the primary.
    is_term_read
        Whether the primary's status names that term. The end of its log shows an
        earlier one until its first commit.
    found_at
        When the primary was first asked a question that proved its lead, in
        milliseconds since boot.
    confirmed_at
        When the primary was last asked a question that proved its lead, in
        milliseconds since boot.
    silent_since
        Since when the primary gives no answer, None while it answers.
    unproven_since
        Since when it has not proved its lead after a silence, None without one.
    refused
        Servers that denied leading since the last proof, and when they were asked.
    claimed
        Since when the store's entry of a server says that it leads, in milliseconds
        since boot.
    """

    primary: ServerId | None = None
    term: Term = Term(0)
    is_term_read: bool = False
    found_at: int = 0
    confirmed_at: int = 0
    silent_since: int | None = None
    unproven_since: int | None = None
    refused: dict[ServerId, int] = field(default_factory=dict)
    claimed: dict[ServerId, int] = field(default_factory=dict)


def needs_status(state: PrimaryState, server: ServerId) -> bool:
    """Return whether a server that says that it leads is to be asked for its term."""
    return server != state.primary or not state.is_term_read


def choose_term(
    state: PrimaryState, server: ServerId, log_term: Term, status_term: Term | None
) -> Term | None:
    """Return the term of a server that began a transaction as the primary.

    Parameters
    ----------
    state
        What is known of the primary.
    server
        The server.
    log_term
        Term of the end of its log.
    status_term
        Term that its status names, None without a status.

    Returns
    -------
    Term or None
        None when it can't be told whether the server or the known primary leads.
    """
    if status_term is not None:
        return max(status_term, log_term)
    if server == state.primary:
        return max(state.term, log_term)
    is_led = state.primary is not None and state.silent_since is None
    return None if is_led else log_term


def is_outdated(
    state: PrimaryState, server: ServerId, term: Term, asked_at: int
) -> bool:
    """Return whether a proof of a server's lead shows less than what is known.

    Answers may come in another order than their questions were sent.
    """
    if asked_at < state.refused.get(server, asked_at):
        return True
    if term != state.term:
        return term < state.term
    return state.primary not in (None, server) and asked_at < state.confirmed_at


def observe_primary(
    state: PrimaryState,
    server: ServerId,
    term: Term,
    asked_at: int,
    *,
    is_term_read: bool = False,
) -> bool:
    """Record that a server proved to be the primary; return whether it changed."""
    if is_outdated(state, server, term, asked_at):
        return False
    changed = state.primary != server or state.term != term
    if state.primary == server:
        state.confirmed_at = max(state.confirmed_at, asked_at)
    else:
        state.found_at = state.confirmed_at = asked_at
    state.primary = server
    state.term = term
    state.is_term_read = is_term_read or (state.is_term_read and not changed)
    state.silent_since = state.unproven_since = None
    state.refused = {
        other: denied_at
        for other, denied_at in state.refused.items()
        if other != server and denied_at > asked_at
    }
    return changed


def observe_answer(state: PrimaryState, server: ServerId) -> None:
    """Record that a server answered as the primary, which alone proves nothing."""
    if state.primary == server:
        state.silent_since = None


def observe_denial(state: PrimaryState, server: ServerId, asked_at: int) -> bool:
    """Record that a server denied its role; return whether it was the primary."""
    if state.primary == server and asked_at < state.confirmed_at:
        return False
    state.refused[server] = max(asked_at, state.refused.get(server, asked_at))
    if state.primary != server:
        return False
    state.primary = None
    return True


def observe_silence(
    state: PrimaryState, server: ServerId, asked_at: int, now: int
) -> None:
    """Record that a server gave no answer."""
    if asked_at < state.confirmed_at:
        return
    if state.primary == server and state.silent_since is None:
        state.silent_since = now
        if state.unproven_since is None:
            state.unproven_since = now


def leave_out(state: PrimaryState, stall: Stall) -> None:
    """Count no silence for a time in which this process stood still."""
    if state.silent_since is not None:
        state.silent_since = loop_stalls.leave_out(state.silent_since, stall)
    if state.unproven_since is not None:
        state.unproven_since = loop_stalls.leave_out(state.unproven_since, stall)


def observe_claim(
    state: PrimaryState, server: ServerId, now: int, *, is_claimed: bool
) -> None:
    """Record whether the store's entry of a server says that it leads."""
    if is_claimed:
        state.claimed.setdefault(server, now)
    else:
        state.claimed.pop(server, None)


def list_candidates(
    state: PrimaryState, servers: list[ListedServer]
) -> tuple[ListedServer, ...]:
    """List the servers to probe for the primary, the most likely first."""
    return tuple(
        sorted(
            servers,
            key=lambda s: (
                s.server != state.primary,
                s.server in state.refused,
                not s.reports_primary,
                s.server,
            ),
        )
    )


def find_primary(state: PrimaryState, servers: list[ListedServer]) -> ServerId | None:
    """Return the server to send writes to, None while there is none."""
    listed = {s.server for s in servers}
    if state.primary in listed:
        return state.primary
    claims = [s.server for s in servers if s.reports_primary]
    untried = [s for s in claims if not _is_claim_refused(state, s)]
    return untried[0] if len(untried) == 1 else None


def _is_claim_refused(state: PrimaryState, server: ServerId) -> bool:
    """Return whether a server has denied leading since its entry says that it does."""
    refused_at = state.refused.get(server)
    return refused_at is not None and refused_at >= state.claimed.get(server, 0)
