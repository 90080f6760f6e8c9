"""Order of a group's servers for one read, by the shares that leave each distance."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..decisions import placement
from ..decisions.placement import Distance, ServerLoad
from ..identifiers import ServerId
from .shares import Shares, Tier
from .times import ServerTimes, find_age

# Multiples of this share, without their whole parts, are spread evenly.
GOLDEN_SHARE = 0.618_033_988_749_895


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may serve a read.

    Parameters
    ----------
    load
        Its load, as this host observes it.
    times
        Response times of its reads.
    """

    load: ServerLoad
    times: ServerTimes


def is_fit(load: ServerLoad, primary: ServerId | None, now: int) -> bool:
    """Return whether a server answers and is not behind.

    One that doesn't tells nothing about the room at its distance: its reads go on to
    the other servers, and the shares stay.
    """
    is_behind = load.behind_until > now and load.server != primary
    return load.silent_until <= now and not is_behind


def list_tiers(
    candidates: Sequence[Candidate], primary: ServerId | None, now: int
) -> list[Tier]:
    """Return the distances at which a server is fit to serve a read, nearest first.

    Parameters
    ----------
    candidates
        Servers of the group that stay in it.
    primary
        The primary, None while it is unknown.
    now
        Milliseconds since boot.
    """
    fit = [c for c in candidates if is_fit(c.load, primary, now)] or candidates
    tiers = []
    for distance in sorted({c.load.distance for c in fit}):
        known = [
            c.times
            for c in fit
            if c.load.distance is distance and c.times.answered_ms is not None
        ]
        # One that has not answered for long is not the measure of the others.
        known.sort(key=lambda t: (now - t.answered_at > 1_000, t.answered_ms))
        best = known[0] if known else ServerTimes()
        tiers.append(
            Tier(
                distance=distance,
                expected_ms=best.answered_ms,
                age_ms=find_age(best, now),
                shed=best.shed,
                size=best.size,
            )
        )
    return tiers


def rank_readers(
    shares: Shares,
    candidates: Sequence[Candidate],
    tiers: Sequence[Tier],
    primary: ServerId | None,
    now: int,
) -> list[Candidate]:
    """Return the servers for the next read, the best first; the read is counted.

    Servers that are not fit come last. A read that is shed goes on to the next server,
    the nearest first.

    Parameters
    ----------
    shares
        Shares of the group.
    candidates, primary, now
        See `list_tiers`.
    tiers
        Its result.
    """
    if not candidates:
        return []
    first = choose_distance(shares, [tier.distance for tier in tiers])

    def cost(candidate: Candidate) -> tuple[bool, bool, Distance, float, ServerId]:
        load = candidate.load
        expected = placement.estimate_ms(load, now)
        expected += placement.PRIMARY_COST_MS * (load.server == primary)
        unfit = not is_fit(load, primary, now)
        return (unfit, load.distance != first, load.distance, expected, load.server)

    return sorted(candidates, key=cost)


def choose_distance(shares: Shares, present: Sequence[Distance]) -> Distance:
    """Return the distance to which the next read is sent first.

    Parameters
    ----------
    shares
        Shares of the group; the read is counted.
    present
        Distances at which a server is fit to serve it, the nearest first.
    """
    shares.number += 1
    point = shares.number * GOLDEN_SHARE % 1.0
    smallest = 1.0
    for distance in present[:-1]:
        # What leaves the region has left the data centre as well.
        smallest = min(smallest, shares.beyond[distance])
        if point >= smallest:
            return distance
    return present[-1]
