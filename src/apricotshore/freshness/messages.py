"""Messages by which hosts vouch for each other's configuration."""

from dataclasses import dataclass

from ..identifiers import StoreEra, StoreRevision

# Age in a response of a host that has no proof.
NO_PROOF = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class FreshnessRequest:
    """Request to a host to tell how old its proof is.

    Parameters
    ----------
    version, era
        Version of the configuration that the asking host has in force, and era of
        the store in which it read it.
    """

    version: int
    era: StoreEra


@dataclass(frozen=True, kw_only=True, slots=True)
class FreshnessResponse:
    """State of the answering host's configuration and servers, and its proofs' ages.

    Parameters
    ----------
    version, era
        Version of the configuration in force, and era in which it was read.
    age_ms
        Age of the proof that nothing newer was in the store; `NO_PROOF` without one.
    revision
        Revision of the configuration's object as it was last read.
    applied
        Revision of that object with the version in force as it was last read.
    servers_changed
        Store revision after which no entry of a server has changed.
    servers_age_ms
        Age of the proof of that; `NO_PROOF` without one.
    """

    version: int
    era: StoreEra
    age_ms: int
    revision: StoreRevision
    applied: StoreRevision
    servers_changed: StoreRevision
    servers_age_ms: int
