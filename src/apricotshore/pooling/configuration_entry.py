"""Configuration in the platform's store, as it was last read."""

from collections.abc import Callable, Iterable
from enum import Enum

from ..freshness.proofs import ConfigurationState
from ..freshness.revocations import list_revoked
from ..identifiers import StoreEra, StoreRevision
from ..routes import EMPTY_CONFIGURATION, Configuration
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .journal import EventKind, Journal
from .stored_objects import Change

# Revoked keys that a log line names.
REVOKED_SHOWN = 200


class Continuity(Enum):
    """Whether every version until an answer of the store is known.

    The store's present object may be one that is not put in force: it is malformed, or
    of a lower version. Then the version to use is the latest one before it, which a
    host that only lists the object may never have seen.
    """

    CERTAIN = "certain"
    UNCHANGED = "unchanged"
    BROKEN = "broken"


class ConfigurationEntry:
    """Configuration in force, and what was read of it in the store.

    Parameters
    ----------
    journal
        Journal of the host.
    eras
        Tracker of the store's era.
    on_configuration
        Called when another configuration is put in force.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        eras: EraTracker,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self.journal = journal
        self.eras = eras
        self.on_configuration = on_configuration
        self.in_force = EMPTY_CONFIGURATION
        # Era and revision of the object as it was last read, and of the configuration
        # in force as it was last read.
        self.read_in: StoreEra | None = None
        self.read_revision = StoreRevision(0)
        self.applied_in: StoreEra | None = None
        self.applied_revision = StoreRevision(0)

    def apply_list(
        self, changes: Iterable[Change], era: StoreEra, proven_at: int
    ) -> Continuity:
        """Apply a whole list; see `apply_changes`."""
        read_in, revision = self.read_in, self.read_revision
        continuity = self.apply_changes(changes, proven_at)
        if continuity is Continuity.CERTAIN or read_in != era:
            return continuity
        # Nothing was written since the object was read before.
        is_same = self.read_revision == revision != 0 and bool(changes)
        return Continuity.UNCHANGED if is_same else Continuity.BROKEN

    def apply_changes(self, changes: Iterable[Change], proven_at: int) -> Continuity:
        """Apply changes after those that were applied.

        Parameters
        ----------
        changes
            The changes, in order.
        proven_at
            Time as of which they are the latest, in milliseconds since boot.
        """
        outcomes = [self._apply(change, proven_at) for change in changes]
        return Continuity.CERTAIN if any(outcomes) else Continuity.UNCHANGED

    def describe(self, era: StoreEra) -> ConfigurationState:
        """Return the state after an answer of the store.

        Revisions of another era are left out, as the store gives them out again.
        """
        none = StoreRevision(0)
        return ConfigurationState(
            era=era,
            version=self.in_force.version,
            revision=self.read_revision if self.read_in == era else none,
            applied=self.applied_revision if self.applied_in == era else none,
        )

    def _apply(self, change: Change, proven_at: int) -> bool:
        """Apply one change; return whether its content is in force now."""
        found = change.content
        self.read_in, self.read_revision = self.eras.era, change.revision
        if not isinstance(found, Configuration):
            self.journal.record(
                EventKind.CONFIGURATION_REFUSED,
                name=change.name,
                why=change.why,
                version_in_force=self.in_force.version,
            )
            return False
        self.read_revision = found.revision
        if found.replaces(self.in_force):
            self._put_in_force(found, proven_at)
        elif found.version != self.in_force.version:
            self._record_ignored(found)
            return False
        self.applied_in, self.applied_revision = self.eras.era, found.revision
        return True

    def _put_in_force(self, found: Configuration, proven_at: int) -> None:
        revoked = list_revoked(self.in_force, found)
        self.in_force = found
        is_long = len(revoked) > REVOKED_SHOWN
        self.journal.record(
            EventKind.CONFIGURATION_APPLIED,
            version=found.version,
            era=self.eras.era,
            revision=found.revision,
            routes=len(found.routes),
            organisations=_count_organisations(found),
            revoked=revoked[:REVOKED_SHOWN] or None,
            revoked_count=len(revoked) if is_long else None,
            proof_age_ms=read_boot_ms() - proven_at if revoked else None,
        )
        self.on_configuration(found)

    def _record_ignored(self, found: Configuration) -> None:
        self.journal.record(
            EventKind.CONFIGURATION_IGNORED,
            version=found.version,
            era=self.eras.era,
            revision=found.revision,
            version_in_force=self.in_force.version,
            revision_in_force=self.in_force.revision,
        )


def _count_organisations(configuration: Configuration) -> int | None:
    known = configuration.organisations
    return None if known is None else len(known)
