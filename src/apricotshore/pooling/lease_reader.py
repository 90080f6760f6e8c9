"""What is known of the stored lease on the change of one group's primary."""

from collections.abc import Callable
from dataclasses import replace

from ..decisions.lease import ObservedLease
from ..decisions.log_floor import NO_FLOOR, is_below
from ..identifiers import GroupId, StoreEra
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .ports import ObjectStore, StoreError
from .stored_objects import LeaseRecord


class LeaseReader:
    """Reads the lease on the change of one group's primary.

    Parameters
    ----------
    group
        The group.
    holder
        Name of this changer; see `lease.name_holder`.
    store
        The platform's store.
    eras
        Tracker of the store's era.
    on_lease
        Called with the lease each time that it was read or written.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        holder: str,
        store: ObjectStore,
        eras: EraTracker,
        on_lease: Callable[[LeaseRecord], None],
    ) -> None:
        self.group = group
        self.holder = holder
        self.store = store
        self.eras = eras
        self.on_lease = on_lease
        self.seen: ObservedLease | None = None
        # Floor of the group's logs, as it was last read or named. It outlives eras.
        self.floor = NO_FLOOR
        # Era in which it was read or named.
        self.floor_era: StoreEra | None = None
        # Era that had no lease when it was last read.
        self.absent_in: StoreEra | None = None
        # Earlier eras of which the store still holds a lease.
        self.outdated: set[StoreEra] = set()

    @property
    def current(self) -> ObservedLease | None:
        """Lease of the store's latest era, None without one."""
        seen = self.seen
        return seen if seen is not None and seen.era == self.eras.era else None

    @property
    def is_absent(self) -> bool:
        """Whether the store's latest era had no lease when it was last read."""
        return self.current is None and self.absent_in == self.eras.era

    def observe(self, record: LeaseRecord) -> None:
        """Record a lease from a list that may be older than the one known."""
        era = self.eras.era
        if record.era != era:
            if era is not None and record.era < era:
                self.outdated.add(record.era)
            if self.floor.end is None:
                members = self.floor.members or record.floor.members
                self.floor = replace(record.floor, members=members)
            return
        if self.current is None or record.revision > self.current.revision:
            self.remember(record)
            self.on_lease(record)

    async def read(self) -> LeaseRecord | None:
        """Read the stored lease of the store's latest era; return None without one.

        Raises
        ------
        StoreError
            When the store gave no answer of that era.
        """
        while True:
            era = self.get_era()
            answer = await self.store.read_lease(self.group, era)
            if not self.eras.accept(answer.era):
                raise StoreError(f"a lease of era {answer.era}, not {self.eras.era}")
            if answer.era == era:
                break
        record = answer.record
        self.absent_in = era if record is None else None
        if record is None:
            self.seen = None
        elif self.current is None or self.current.revision != record.revision:
            self.remember(record)
        if record is not None:
            self.on_lease(record)
        return record

    def get_era(self) -> StoreEra:
        """Return the store's latest era.

        Raises
        ------
        StoreError
            When the store has given no answer yet.
        """
        if self.eras.era is None:
            raise StoreError("the store has not answered yet")
        return self.eras.era

    def remember(self, record: LeaseRecord) -> None:
        """Take a lease of the latest era for the stored one."""
        self.seen = ObservedLease(
            era=record.era,
            revision=record.revision,
            holder=record.holder,
            open=record.open,
            seen_at=read_boot_ms(),
            target=record.target,
            former=record.former,
            members=record.floor.members,
        )
        self._take_floor(record)

    def _take_floor(self, record: LeaseRecord) -> None:
        """Take the floor of another's lease, as far as its host knew one.

        In the era of the own one its host has read that before it wrote, and a change
        that has ended drops the floor of its order. In a later era it may have missed
        the own one.
        """
        read = record.floor
        if record.holder == self.holder:
            return
        is_dropped = not record.open and bool(read.members)
        is_unknown = read.end is None and not is_dropped
        has_missed = record.era != self.floor_era and is_below(read, self.floor)
        if is_unknown or has_missed:
            read = replace(self.floor, members=read.members or self.floor.members)
        self.floor, self.floor_era = read, record.era
