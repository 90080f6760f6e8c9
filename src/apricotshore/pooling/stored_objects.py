"""Objects in the platform's store, as the pooling proxy reads and writes them."""

from dataclasses import dataclass
from enum import Enum

from ..decisions.lease import NO_FORMER, FormerPrimaries
from ..decisions.log_floor import NO_FLOOR, LogFloor
from ..decisions.relays import ListedHost
from ..identifiers import GroupId, ServerId, StoreEra, StoreRevision
from ..routes import Configuration, ListedServer


class StoredKind(Enum):
    """Kind of an object in the store."""

    CONFIGURATION = "configuration"
    SERVER = "server"
    PRIMARY_CHANGE = "handover"
    HOST = "host"


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """Lease on a group's change of primary, as stored.

    Parameters
    ----------
    group
        The group.
    era
        Era of the store to which it belongs; leases of different eras are different
        objects, so that no write of one era replaces a lease of another.
    revision
        Revision of its last change; 0 when it is not in the store.
    holder
        Name of the changer that wrote it: its host, address and process.
    open
        Whether the change is still in progress.
    target
        Server whose promotion may have been requested, None without one.
    former
        The primaries that the change replaces; none of a change that has ended.
    floor
        Floor of the group's logs, with the servers whose logs count.
    number
        Number of the write among those of its holder. The store takes a write that
        changes nothing for none, and others would see the lease expire.
    """

    group: GroupId
    era: StoreEra
    revision: StoreRevision
    holder: str
    open: bool
    target: ServerId | None = None
    former: FormerPrimaries = NO_FORMER
    floor: LogFloor = NO_FLOOR
    number: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRead:
    """Answer to the read of a lease.

    Parameters
    ----------
    era
        Era of the store in which it answered.
    record
        The lease, None without one.
    """

    era: StoreEra
    record: LeaseRecord | None


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseWrite:
    """Answer to the write of a lease.

    Parameters
    ----------
    era
        Era of the store in which it answered.
    record
        The lease as written.
    """

    era: StoreEra
    record: LeaseRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One changed object of a watched kind.

    Parameters
    ----------
    name
        The object's name.
    content
        Its content; None when it was removed or cannot be decoded.
    removed
        Whether it was removed.
    why
        What is wrong with an object that can't be decoded, as far as it is known.
    revision
        Revision of the object, also where its content cannot be decoded; 0 if it
        names none.
    """

    name: str
    content: Configuration | ListedServer | LeaseRecord | ListedHost | None
    removed: bool
    why: str | None = None
    revision: StoreRevision = StoreRevision(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Objects or changes of a kind.

    Parameters
    ----------
    changes
        The objects or changes.
    revision
        Revision to continue from.
    era
        Era of the store in which it answered. Each return of the store from an
        older copy begins another era, and gives out revisions again.
    """

    changes: tuple[Change, ...]
    revision: StoreRevision
    era: StoreEra
