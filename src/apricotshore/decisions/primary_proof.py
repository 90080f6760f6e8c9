"""Proof that a server still was the primary of its group at a given moment.

A platform may let a replaced primary answer until it hears of its successor. That
it begins a transaction then shows nothing. A promotion takes effect only after the
replicas that stay replicas were paused, so the others are asked as well:

- every other server denies being the primary, or
- one of them is a replica of the same term whose replication is not paused.

Either one, asked for at time t or later, shows that nobody else was the primary at
t.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..identifiers import ServerId, Term
from .change_members import MemberStatus
from .log_floor import COPIES_PER_COMMIT


class ProbeResult(Enum):
    """Result of asking a server whether it is the primary."""

    PRIMARY = "leads"
    NOT_PRIMARY = "denies"
    NO_ANSWER = "silent"
    # No connection was free or the server was too busy to answer the question.
    UNKNOWN = "unheard"


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryProof:
    """The latest proof of a group's primary.

    Parameters
    ----------
    server
        The primary.
    asked_at
        Moment for which it is proven, in milliseconds since boot.
    """

    server: ServerId
    asked_at: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """What the answers of one round show.

    Parameters
    ----------
    primary
        Server to take for the primary, None when the answers name none.
    term
        Its term if its status was read, otherwise 0.
    proven
        Whether nobody else was the primary when the round began.
    replaced
        Servers that still accept transactions under a lower term.
    """

    primary: ServerId | None = None
    term: Term = Term(0)
    proven: bool = False
    replaced: tuple[ServerId, ...] = ()


@dataclass(kw_only=True, slots=True)
class Round:
    """Answers of a group's servers to questions that were sent after one moment.

    Parameters
    ----------
    results
        Whether each listed server accepted a transaction as the primary.
    statuses
        Status of the servers that were asked for it and answered.
    known_term
        Highest term that a primary was known to have before the round.
    """

    results: dict[ServerId, ProbeResult]
    statuses: dict[ServerId, MemberStatus] = field(default_factory=dict)
    known_term: Term = Term(0)


def list_accepting(results: Mapping[ServerId, ProbeResult]) -> list[ServerId]:
    """List the servers that began a transaction as the primary."""
    return [s for s, result in results.items() if result is ProbeResult.PRIMARY]


def list_unsettled(round_: Round) -> tuple[ServerId, ...]:
    """List the servers whose status is needed to judge a round; empty when none is."""
    if judge(round_).proven or not list_accepting(round_.results):
        return ()
    answered = (ProbeResult.PRIMARY, ProbeResult.NOT_PRIMARY)
    return tuple(s for s, result in round_.results.items() if result in answered)


def judge(round_: Round) -> Finding:
    """Return what the answers of a round show."""
    accepting = list_accepting(round_.results)
    if not accepting:
        return Finding()
    primary = _choose_primary(accepting, round_)
    if primary is None:
        return Finding()
    status = round_.statuses.get(primary)
    term = Term(0) if status is None else status.term
    replaced = tuple(s for s in accepting if s != primary and s in round_.statuses)
    others = [s for s in round_.results if s != primary]
    is_proven = not _has_newer_term(term, round_.statuses) and (
        _all_deny(others, replaced, round_.results)
        or (
            status is not None
            and status.is_primary
            and _has_witness(others, term, round_.statuses)
        )
    )
    return Finding(primary=primary, term=term, proven=is_proven, replaced=replaced)


def _choose_primary(accepting: list[ServerId], round_: Round) -> ServerId | None:
    """Return the accepting server of the highest term, None while that is unknown.

    A primary that was known before may be too busy to give its status: a server of a
    newer term has replaced it.
    """
    if len(accepting) == 1:
        return accepting[0]
    statuses = round_.statuses
    leaders = [s for s in accepting if s in statuses and statuses[s].is_primary]
    if not leaders:
        return None
    best = max(leaders, key=lambda s: statuses[s].term)
    if len(leaders) < len(accepting) and statuses[best].term <= round_.known_term:
        return None
    rivals = [s for s in leaders if statuses[s].term == statuses[best].term]
    return best if len(rivals) == 1 else None


def _has_newer_term(term: Term, statuses: Mapping[ServerId, MemberStatus]) -> bool:
    return bool(term) and any(s.term > term for s in statuses.values())


def _all_deny(
    others: Collection[ServerId],
    replaced: Collection[ServerId],
    results: Mapping[ServerId, ProbeResult],
) -> bool:
    # A single other server may be paused by a change of primary that promotes one
    # not listed here yet, so its denial is not enough.
    if 0 < len(others) < COPIES_PER_COMMIT:
        return False
    return all(s in replaced or results[s] is ProbeResult.NOT_PRIMARY for s in others)


def _has_witness(
    others: Collection[ServerId], term: Term, statuses: Mapping[ServerId, MemberStatus]
) -> bool:
    return any(
        s in statuses
        and not statuses[s].is_primary
        and not statuses[s].paused_term
        and statuses[s].term == term
        for s in others
    )
