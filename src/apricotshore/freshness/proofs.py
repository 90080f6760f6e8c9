"""Proofs of how recent a host's configuration and list of servers are.

A proof says "everything that the store acknowledged until t is known here". It begins
with a linearizable response of the store, and t is a time at or before its request was
sent. A host that vouches tells the age of its proof; the asking host counts that age
from the sending of its request. So the age includes every delay, and a proof that
passes through several hosts is still that of one response of the store.
"""

from dataclasses import dataclass
from enum import Enum

from ..identifiers import StoreEra, StoreRevision
from .messages import NO_PROOF, FreshnessResponse

# Clocks are read in whole milliseconds, which may make an age too small by this much.
ROUNDING_MS = 1


class Relation(Enum):
    """Relation of another host's state to that of this host."""

    SAME = "same"
    NEWER = "newer"
    OTHER = "other"


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationState:
    """What a host knows of the configuration.

    Parameters
    ----------
    era
        Era of the store in which it was last read.
    version
        Version in force.
    revision
        Revision of the object as it was last read; 0 where that is unknown.
    applied
        Revision of the object with the version in force as it was last read; 0 where
        that was in another era. Operators may write other content under one version.
    """

    era: StoreEra
    version: int
    revision: StoreRevision
    applied: StoreRevision


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersState:
    """What a host knows of the servers' entries.

    Parameters
    ----------
    era
        Era of the store in which they were last read.
    revision
        Store revision up to which changes have been read.
    changed
        Revision after which, up to `revision`, nothing that is used has changed.
    """

    era: StoreEra
    revision: StoreRevision
    changed: StoreRevision


@dataclass(kw_only=True, slots=True)
class Proof:
    """Times until which everything that the store acknowledged is known.

    Parameters
    ----------
    proven_at
        The latest such time, in milliseconds since boot; None without a proof.
    read_at
        The latest one that this host's own calls to the store prove.
    vouched_at
        The latest one that another host vouched for.
    """

    proven_at: int | None = None
    read_at: int | None = None
    vouched_at: int | None = None

    def observe_read(self, at: int) -> None:
        """Record a response of the store, which proves the state as of a time."""
        self.read_at = _later(self.read_at, at)
        self.proven_at = _later(self.proven_at, at)

    def observe_vouched(self, asked_at: int, age_ms: int) -> None:
        """Record a response of a host with the same state.

        Parameters
        ----------
        asked_at
            When the request was sent, in milliseconds since boot.
        age_ms
            Age in the response; `NO_PROOF` proves nothing.
        """
        if age_ms == NO_PROOF:
            return
        at = asked_at - age_ms
        self.vouched_at = _later(self.vouched_at, at)
        self.proven_at = _later(self.proven_at, at)

    def tell_age(self, now: int) -> int:
        """Return the age for a response, never below the true one."""
        if self.proven_at is None:
            return NO_PROOF
        return now - self.proven_at + ROUNDING_MS


def is_within(at: int | None, now: int, bound_ms: int) -> bool:
    """Return whether something proven as of a time is at most so old."""
    return at is not None and now - at <= bound_ms


def compare_configuration(
    own: ConfigurationState | None, era: StoreEra | None, response: FreshnessResponse
) -> Relation:
    """Compare the configuration in a response with this host's.

    Parameters
    ----------
    own
        State of this host, None before it has read the configuration.
    era
        Latest era of the store that this host knows.
    response
        State of the other host.
    """
    if own is None:
        return Relation.OTHER
    if response.era > own.era:
        return Relation.NEWER
    if response.era < own.era or own.era != era:
        return Relation.OTHER
    theirs = response.version, response.revision, response.applied
    if theirs == (own.version, own.revision, own.applied):
        return Relation.SAME if own.revision and own.applied else Relation.OTHER
    is_newer = response.version > own.version or response.revision > own.revision
    return Relation.NEWER if is_newer else Relation.OTHER


def compare_servers(
    own: ServersState | None, era: StoreEra | None, response: FreshnessResponse
) -> Relation:
    """Compare the servers in a response with this host's; see `compare_configuration`.

    Nothing changed after the revision in the response, so whoever has read as far
    knows the same entries.
    """
    if own is None:
        return Relation.OTHER
    if response.era > own.era:
        return Relation.NEWER
    if response.era < own.era or own.era != era:
        return Relation.OTHER
    is_known = own.revision >= response.servers_changed
    return Relation.SAME if is_known else Relation.NEWER


def _later(one: int | None, other: int) -> int:
    return other if one is None else max(one, other)
