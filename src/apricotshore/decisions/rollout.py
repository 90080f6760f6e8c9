"""Rollout of bundles and the proof of a withdrawal.

Versions never decrease. A withdrawal is in force at a database once a majority has
stored the bundle version in its claim and every backend server has closed the
connections of other hosts. A host that connects later reads the claim first and
detects that its bundle is outdated.
"""

from dataclasses import dataclass
from enum import Enum

from ..groups import LogPosition
from ..identifiers import BundleVersion, CallerId, DatabaseId, HostId, ServerId


class Offer(Enum):
    """Decision on an offered bundle."""

    TAKE = "take"
    IGNORE = "ignore"


class StoredBundle(Enum):
    """What the platform's bundle is to a host, compared with the one in force."""

    NEWER = "newer"
    SAME = "same"
    LOST = "lost"
    CONFLICT = "conflict"


class Evidence(Enum):
    """Why a host can no longer serve a withdrawn caller."""

    CONFIRMED = "confirmed"
    FENCED = "fenced-at-every-server"
    REPLACED = "replaced"


def consider_offer(current: BundleVersion, offered: BundleVersion) -> Offer:
    """Decide whether a verified bundle replaces the one in force."""
    return Offer.TAKE if offered > current else Offer.IGNORE


def compare_stored(
    current: BundleVersion, stored: BundleVersion, *, same_content: bool
) -> StoredBundle:
    """Compare the platform's bundle with the one in force at a host.

    The platform's version never decreases unless it came back from an older copy: then
    it has lost the bundle in force, and may since have accepted another one under the
    same version.

    Parameters
    ----------
    current, stored
        Versions of the bundle in force and of the platform's; 0 without one.
    same_content
        Whether both are the same bundle.
    """
    if stored > current:
        return StoredBundle.NEWER
    if stored < current:
        return StoredBundle.LOST
    return StoredBundle.SAME if same_content else StoredBundle.CONFLICT


def may_serve(own: BundleVersion, claimed: BundleVersion) -> bool:
    """Return whether a host with bundle ``own`` may serve a database.

    Parameters
    ----------
    own
        Version in force at the host.
    claimed
        Version that the database's claim requires.
    """
    return own >= claimed


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEvidence:
    """Evidence from one backend server.

    Parameters
    ----------
    server
        The backend server.
    confirmed_at_ms
        Wall-clock milliseconds when it had the claim and connections of the
        owner only; None before.
    killed
        Hosts whose connections were closed there.
    """

    server: ServerId
    confirmed_at_ms: int | None
    killed: tuple[HostId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DatabaseEvidence:
    """Evidence that the owner of a database recorded for a bundle version.

    Parameters
    ----------
    database, version, owner
        The fenced database, the bundle version and the owner that fenced it.
    fence
        Log position of the claim.
    servers
        Evidence for each backend server of the group.
    hosts
        Hosts that had confirmed the version when this was recorded.
    last_admitted_ms
        Per caller, wall-clock milliseconds of the last admitted statement.
    refused
        Per caller, number of attempts refused since.
    """

    database: DatabaseId
    version: BundleVersion
    owner: HostId
    fence: LogPosition
    servers: tuple[ServerEvidence, ...]
    hosts: tuple[HostId, ...] = ()
    last_admitted_ms: tuple[tuple[CallerId, int], ...] = ()
    refused: tuple[tuple[CallerId, int], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class HostEvidence:
    """Evidence for one host in a proof."""

    host: HostId
    evidence: Evidence | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Proof:
    """Result of evaluating the evidence for a withdrawal.

    Parameters
    ----------
    caller
        The withdrawn caller.
    proved
        Whether no host can serve the caller.
    in_force_at_ms
        Wall-clock milliseconds since when this holds; None if not proved.
    hosts
        Evidence for every host that could have served the caller.
    missing
        Databases and servers without evidence.
    """

    caller: CallerId
    proved: bool
    in_force_at_ms: int | None
    hosts: tuple[HostEvidence, ...]
    missing: tuple[str, ...]


def _list_missing(
    databases: tuple[DatabaseId, ...],
    evidence: dict[DatabaseId, DatabaseEvidence],
    version: BundleVersion,
) -> tuple[str, ...]:
    missing: list[str] = []
    for database in databases:
        record = evidence.get(database)
        if record is None or record.version < version:
            missing.append(f"{database}: no record at version {version} or later")
            continue
        for server in record.servers:
            if server.confirmed_at_ms is None:
                missing.append(f"{database}: server {server.server} not confirmed")
    return tuple(missing)


def evaluate_withdrawal(
    caller: CallerId,
    version: BundleVersion,
    databases: tuple[DatabaseId, ...],
    evidence: dict[DatabaseId, DatabaseEvidence],
    hosts: tuple[HostId, ...],
) -> Proof:
    """Evaluate whether a withdrawal is proved.

    Parameters
    ----------
    caller
        The withdrawn caller.
    version
        Bundle version that withdrew it.
    databases
        Every database that the caller could use.
    evidence
        Record of each database.
    hosts
        Every host that could have served the caller.

    Returns
    -------
    Proof
        Proved only if every backend server of every database has confirmed.
    """
    missing = _list_missing(databases, evidence, version)
    confirmed = {h for d in databases if d in evidence for h in evidence[d].hosts}
    lines = tuple(
        HostEvidence(host=host, evidence=_find_evidence(host, confirmed, not missing))
        for host in hosts
    )
    times = [
        s.confirmed_at_ms
        for d in databases
        if d in evidence
        for s in evidence[d].servers
        if s.confirmed_at_ms is not None
    ]
    proved = not missing and bool(databases)
    return Proof(
        caller=caller,
        proved=proved,
        in_force_at_ms=max(times) if proved and times else None,
        hosts=lines,
        missing=missing,
    )


def _find_evidence(
    host: HostId, confirmed: set[HostId], fenced: bool
) -> Evidence | None:
    if host in confirmed:
        return Evidence.CONFIRMED
    return Evidence.FENCED if fenced else None
