"""Which backend server a host believes to lead a group."""

from dataclasses import dataclass, field

from ..identifiers import ServerId, Term
from ..routes import ListedServer


@dataclass(kw_only=True, slots=True)
class PrimaryState:
    """Belief about the primary of one group.

    Parameters
    ----------
    primary
        Server that led when last asked, None while unknown.
    term
        Highest term in which a server proved its lead.
    confirmed_at
        When the primary last proved its lead, in milliseconds since boot.
    silent_since
        Since when the primary gives no answer, None while it answers.
    refused
        Servers that denied leading since the last proof.
    """

    primary: ServerId | None = None
    term: Term = Term(0)
    confirmed_at: int = 0
    silent_since: int | None = None
    refused: set[ServerId] = field(default_factory=set)


def observe_lead(lead: PrimaryState, server: ServerId, term: Term, now: int) -> bool:
    """Take in that a server proved its lead; return whether that is news."""
    if term < lead.term:
        return False
    changed = lead.primary != server or lead.term != term
    lead.primary = server
    lead.term = term
    lead.confirmed_at = max(lead.confirmed_at, now)
    lead.silent_since = None
    lead.refused.clear()
    return changed


def observe_denial(lead: PrimaryState, server: ServerId) -> bool:
    """Take in that a server denied leading; return whether that is news."""
    lead.refused.add(server)
    if lead.primary != server:
        return False
    lead.primary = None
    return True


def observe_silence(lead: PrimaryState, server: ServerId, now: int) -> None:
    """Take in that a server gave no answer."""
    if lead.primary == server and lead.silent_since is None:
        lead.silent_since = now


def list_candidates(
    lead: PrimaryState, servers: list[ListedServer]
) -> tuple[ListedServer, ...]:
    """List the servers to ask for the lead, the likeliest first."""
    return tuple(
        sorted(
            servers,
            key=lambda s: (
                s.server != lead.primary,
                s.server in lead.refused,
                not s.reports_primary,
                s.server,
            ),
        )
    )


def find_primary(lead: PrimaryState, servers: list[ListedServer]) -> ServerId | None:
    """Return the server to send writes to, None while there is none."""
    listed = {s.server for s in servers}
    if lead.primary in listed:
        return lead.primary
    claims = [s.server for s in servers if s.reports_primary]
    untried = [s for s in claims if s not in lead.refused]
    return untried[0] if len(untried) == 1 else None
