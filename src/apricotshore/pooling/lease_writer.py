"""Writes of the lease on the change of one group's primary."""

from collections.abc import Callable
from dataclasses import dataclass

from ..decisions.lease import ObservedLease
from ..identifiers import StoreRevision
from ..services.clock import read_boot_ms
from .lease_reader import LeaseReader
from .ports import StoreConflictError, StoreError
from .stored_objects import LeaseRecord

# An own write that took effect unnoticed, a call that was sent twice, and one more.
WRITE_TRIES = 3

# Returns the lease to write over a revision, as this changer's write of a number.
MakeRecord = Callable[[StoreRevision, int], LeaseRecord]


@dataclass(frozen=True, kw_only=True, slots=True)
class WrittenLease:
    """A lease that the store holds, written by this changer.

    Parameters
    ----------
    record
        The lease.
    sent_at
        When its write was sent, in milliseconds since boot.
    """

    record: LeaseRecord
    sent_at: int


class LeaseWriter:
    """Writes the lease on the change of one group's primary, and records each write.

    Parameters
    ----------
    reader
        Reads the same lease.
    record
        Records a phase with its details.
    """

    def __init__(self, *, reader: LeaseReader, record: Callable[..., None]) -> None:
        self.reader = reader
        self.store = reader.store
        self.record = record
        # Numbers the writes, so that this changer knows its own when it reads one.
        self.writes = 0

    async def write(self, make: MakeRecord, base: StoreRevision) -> WrittenLease | None:
        """Write a lease over a revision of this changer; return None if it is lost.

        Parameters
        ----------
        make
            Returns the lease; it belongs to the store's latest era.
        base
            Revision to write over.
        """
        era = self.reader.get_era()
        eras = self.reader.eras
        for _ in range(WRITE_TRIES):
            self.writes += 1
            record = make(base, self.writes)
            former = self.reader.current
            sent_at = read_boot_ms()
            try:
                answer = await self.store.write_lease(record)
            except StoreConflictError:
                stored = await self.reader.read()
                self._record("lease-conflict", record, former, found=self.reader.seen)
                is_own = stored is not None and stored.holder == self.reader.holder
                if stored is None or not is_own or stored.era != era:
                    return None
                # This changer's own write, whose answer was lost.
                if stored.number == record.number:
                    return WrittenLease(record=stored, sent_at=sent_at)
                base = stored.revision
                continue
            except StoreError as error:
                self._record("lease-unknown", record, former, why=str(error))
                raise
            self._record("leased", answer.record, former)
            # Written to a restored store, where nobody asks for a lease of this era.
            if not eras.accept(answer.era) or answer.era != era:
                return None
            self.reader.remember(answer.record)
            return WrittenLease(record=answer.record, sent_at=sent_at)
        return None

    async def hand_on(self, record: LeaseRecord) -> None:
        """Write a lease that is left to others, if the store answers."""
        former = self.reader.current
        try:
            answer = await self.store.write_lease(record)
        except StoreError as error:
            self._record("lease-unknown", record, former, why=str(error))
            return
        self._record("handed-on", answer.record, former)
        if self.reader.eras.accept(answer.era):
            self.reader.observe(answer.record)

    def _record(
        self,
        phase: str,
        record: LeaseRecord,
        former: ObservedLease | None,
        found: ObservedLease | None = None,
        why: str | None = None,
    ) -> None:
        """Record a write and the lease of another that it replaces, or was to."""
        holder = self.reader.holder
        other = former if former and former.holder != holder else None
        self.record(
            phase,
            revision=record.revision,
            era=record.era,
            open=record.open,
            target=record.target,
            holder=holder,
            former_revision=former and former.revision,
            former=other and other.holder,
            former_open=other and other.open,
            found=found and found.holder,
            found_revision=found and found.revision,
            found_open=found and found.open,
            why=why,
        )
