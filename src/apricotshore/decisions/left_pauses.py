"""Servers that nobody resumes: when a host looks for them, and which they are.

A host may end before it could resume a server, or its PAUSE may come after a change
that promoted nobody. All hosts take turns to look, so that one that ends, or doesn't
reach a server, keeps no group waiting for long.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..identifiers import GroupId, HostId, ServerId, Term
from .ownership import weigh

# Time between two looks at a group, whichever host looks.
LOOK_MS = 4_000
# Time after which a server that was found paused is looked at again.
CONFIRM_MS = 2_000
# A host that starts has read the list of hosts by then.
FIRST_MS = 3_000
# Longest time for which a PAUSE without an answer waits at its server.
LATE_MS = 1_000
# Parts of the time between two turns of a host.
PARTS = 1_000


@dataclass(kw_only=True, slots=True)
class LeftPauses:
    """What one host knows of the paused servers of one group.

    Parameters
    ----------
    waits_from
        Since when it waits for its turn, in milliseconds since boot, None before.
    parts
        How long it waits, in parts of the time between two turns.
    found
        Servers that its last look found paused, and the terms of their pauses.
    """

    waits_from: int | None = None
    parts: int = PARTS
    found: Mapping[ServerId, Term] = field(default_factory=dict)


def is_due(
    state: LeftPauses, host: HostId, group: GroupId, hosts: int, now: int
) -> bool:
    """Return whether it is a host's turn to look at a group.

    Parameters
    ----------
    state
        What the host knows.
    host, group
        The host and the group.
    hosts
        Number of hosts that take turns.
    now
        Milliseconds since boot.
    """
    if state.waits_from is None:
        state.waits_from = now + FIRST_MS
        state.parts = weigh(host, group) % PARTS
    return now >= state.waits_from + LOOK_MS * max(hosts, 1) * state.parts // PARTS


def observe(
    state: LeftPauses, paused: Mapping[ServerId, Term], now: int
) -> tuple[ServerId, ...]:
    """Record what a look found; return the servers that nobody has resumed since.

    Parameters
    ----------
    state, now
        See `is_due`.
    paused
        Servers that answered that they are paused, and the terms of their pauses.
    """
    left = tuple(s for s, term in paused.items() if state.found.get(s) == term)
    state.found = dict(paused)
    state.waits_from = now + CONFIRM_MS if paused else now
    state.parts = 0 if paused else PARTS
    return left


@dataclass(frozen=True, kw_only=True, slots=True)
class LatePause:
    """PAUSE without an answer, which its server may carry out late.

    Parameters
    ----------
    term
        Its term.
    until
        Until when it may be carried out, in milliseconds since boot.
    """

    term: Term
    until: int


def may_come(late: LatePause | None, led_term: Term, now: int) -> bool:
    """Return whether a server may be paused yet by a PAUSE without an answer.

    Parameters
    ----------
    late
        The last one, None without one.
    led_term
        Term of the primary: a PAUSE that isn't above it is refused.
    now
        Milliseconds since boot.
    """
    return late is not None and late.term > led_term and now < late.until


def skip(state: LeftPauses, now: int) -> None:
    """Leave out a turn, as a change may be under way."""
    observe(state, {}, now)
