"""Lease on the change of one group's primary, kept in the platform's store."""

import uuid
from collections.abc import Callable
from dataclasses import replace

from ..decisions import lease
from ..decisions.lease import NO_FORMER, FormerPrimaries, LeaseClaim, ObservedLease
from ..decisions.log_floor import NO_FLOOR, LogFloor
from ..identifiers import (
    FencingToken,
    GroupId,
    HostId,
    ServerId,
    StoreEra,
    StoreRevision,
)
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .ports import ObjectStore, StoreConflictError, StoreError
from .stored_objects import LeaseRecord

POLL_MS = 300
UNSETTLED_PAUSE_MS = 2_000
# Time between two looks at a lease that another host holds.
FOLLOW_MS = 500
# An own write that took effect unnoticed, a call that was sent twice, and one more.
WRITE_TRIES = 3


def _omit(phase: str, **details: object) -> None:
    """Record nothing."""


def _ignore(record: LeaseRecord) -> None:
    """Do nothing with a lease."""


def _keep_floor(floor: LogFloor) -> LogFloor:
    """Return a floor as it is."""
    return floor


class ChangeLease:
    """Lease that allows one host at a time to change a group's primary.

    Parameters
    ----------
    group
        The group.
    host, address
        This host, and the address at which only one process of it can listen.
    store
        The platform's store.
    eras
        Tracker of the store's era.
    record
        Records a phase with its details.
    on_lease
        Called with the lease each time that it was read or written.
    make_floor
        Returns a floor of logs with the servers that count now.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        host: HostId,
        address: str,
        store: ObjectStore,
        eras: EraTracker,
        record: Callable[..., None] = _omit,
        on_lease: Callable[[LeaseRecord], None] = _ignore,
        make_floor: Callable[[LogFloor], LogFloor] = _keep_floor,
    ) -> None:
        self.group = group
        self.store = store
        self.record = record
        self.on_lease = on_lease
        self.make_floor = make_floor
        self.eras = eras
        self.holder = lease.name_holder(host, address, uuid.uuid4().hex[:8])
        self.seen: ObservedLease | None = None
        # Primaries that this changer's change replaces.
        self.former = NO_FORMER
        # Floor of the group's logs, as it was last read or named. It outlives eras.
        self.floor = NO_FLOOR
        # What this changer wrote last; nothing else is ever written over by `write`.
        self.own: LeaseRecord | None = None
        self.writes = 0
        self.held_until = 0
        self.check_after = 0
        self.follow_after = 0
        # Era that had no lease when it was last read.
        self.absent_in: StoreEra | None = None
        # Whether the store has come back without a lease that may have been open.
        self.follows_lost = False
        # Earlier eras of which the store still holds a lease.
        self.outdated: set[StoreEra] = set()

    @property
    def current(self) -> ObservedLease | None:
        """Lease of the store's latest era, None without one."""
        seen = self.seen
        return seen if seen is not None and seen.era == self.eras.era else None

    def _claim(self) -> LeaseClaim:
        return LeaseClaim(
            holder=self.holder,
            held_until=self.held_until,
            era_seen_at=self.eras.state.seen_at,
        )

    def observe(self, record: LeaseRecord) -> None:
        """Record a lease from a list that may be older than the one known."""
        era = self.eras.era
        if record.era != era:
            if era is not None and record.era < era:
                self.outdated.add(record.era)
            if self.floor == NO_FLOOR:
                self._take_floor(record)
            return
        if self.current is None or record.revision > self.current.revision:
            self._remember(record)
            self.on_lease(record)

    def is_held(self, now: int) -> bool:
        """Return whether this changer still holds the lease.

        A process may be stopped right after it has looked; it looks right before it
        sends, as nothing more is possible.
        """
        return lease.is_held(self.current, self._claim(), now)

    @property
    def is_own_open(self) -> bool:
        """Whether the latest known lease is an open one of this changer."""
        current = self.current
        return current is not None and current.open and current.holder == self.holder

    async def read(self) -> LeaseRecord | None:
        """Read the stored lease of the store's latest era; return None without one.

        Raises
        ------
        StoreError
            When the store gave no answer of that era.
        """
        while True:
            era = self._get_era()
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
            self._remember(record)
        if record is not None:
            self.on_lease(record)
        return record

    def _get_era(self) -> StoreEra:
        if self.eras.era is None:
            raise StoreError("the store has not answered yet")
        return self.eras.era

    def _remember(self, record: LeaseRecord) -> None:
        self.seen = ObservedLease(
            era=record.era,
            revision=record.revision,
            holder=record.holder,
            open=record.open,
            seen_at=read_boot_ms(),
            target=record.target,
            former=record.former,
        )
        self._take_floor(record)

    def _take_floor(self, record: LeaseRecord) -> None:
        """Take the floor of another's lease, as far as its host knew one.

        A change that has ended drops the floor of its order.
        """
        read = record.floor
        if record.holder == self.holder:
            return
        if read.end is None and (record.open or not read.members):
            read = replace(self.floor, members=read.members or self.floor.members)
        self.floor = read

    async def is_abandoned(self, rank: int) -> bool:
        """Return whether a change has ended, or was lost, that is to be finished.

        Parameters
        ----------
        rank
            Number of hosts that are to finish a lost one before this host.
        """
        now = read_boot_ms()
        if self.eras.era is None or now < self.check_after:
            return False
        if not lease.may_be_abandoned(self.current, self._claim(), rank, now):
            await self._follow(now)
            return False
        self.check_after = now + POLL_MS
        era, seen = self.eras.era, self.current
        await self.read()
        return self.eras.era == era and self.current is seen

    async def _follow(self, now: int) -> None:
        """Read an open lease again from time to time: it may be left to others."""
        is_open = self.current is not None and self.current.open
        if is_open and now >= self.follow_after:
            self.follow_after = now + FOLLOW_MS
            await self.read()

    def delay_check(self) -> None:
        """Delay the next attempt to finish a change that could not be finished."""
        self.check_after = read_boot_ms() + UNSETTLED_PAUSE_MS

    async def acquire(self, former: FormerPrimaries = NO_FORMER) -> FencingToken | None:
        """Take the lease; return its fencing token, None while another may hold it.

        Parameters
        ----------
        former
            The primaries that the change replaces, as far as they are known. Those of
            an unfinished change are added.
        """
        is_absent = self.current is None and self.absent_in == self.eras.era
        if is_absent and not self._may_acquire():
            return None
        await self.read()
        if not self._may_acquire():
            return None
        current = self.current
        if current is None:
            self.follows_lost = self.eras.earlier is not None
        elif not current.open:
            self.follows_lost = False
        base = current.revision if current is not None else StoreRevision(0)
        is_unfinished = current is not None and current.open
        self.former = (
            lease.add_former(current.former, former) if is_unfinished else former
        )
        return await self._write(base, still_open=True, target=self.target)

    def name_former(self, former: FormerPrimaries) -> None:
        """Add primaries that the change replaces, for the next write."""
        if former.servers:
            self.former = lease.add_former(self.former, former)

    async def extend(self) -> FencingToken | None:
        """Write the lease again, for another `LEASE_MS`; see `write`."""
        target = self.own.target if self.own is not None else None
        return await self.write(still_open=True, target=target)

    async def is_released(self) -> bool:
        """Return whether the stored lease is one that this changer released.

        Raises
        ------
        StoreError
            When the store gave no answer.
        """
        stored = await self.read()
        return stored is not None and not stored.open and stored.holder == self.holder

    @property
    def target(self) -> ServerId | None:
        """Server whose promotion may have been requested in an unfinished change."""
        current = self.current
        return current.target if current is not None and current.open else None

    def _may_acquire(self) -> bool:
        return lease.may_acquire(self.current, self._claim(), read_boot_ms())

    async def write(
        self, *, still_open: bool, target: ServerId | None = None
    ) -> FencingToken | None:
        """Write the lease; return its fencing token, None if it is lost.

        Only what this changer wrote last is written over: another host may have
        taken the lease since. A lease that a restored store has lost is written
        again in the new era while no other host can hold it.
        """
        own = self.own
        base = StoreRevision(0)
        if own is not None and target is None:
            # The server that was promoted may have led before.
            self.former = lease.remove_former(self.former, own.target)
        if own is not None and own.era == self.eras.era:
            base = own.revision
        elif own is not None and read_boot_ms() >= self.held_until:
            return None
        return await self._write(base, still_open=still_open, target=target)

    async def _write(
        self, base: StoreRevision, *, still_open: bool, target: ServerId | None
    ) -> FencingToken | None:
        era = self._get_era()
        token = await self._write_in_era(base, still_open, target)
        if token is not None or self.eras.era == era:
            return token
        if self.current is not None or read_boot_ms() >= self.held_until:
            return None
        return await self._write_in_era(StoreRevision(0), still_open, target)

    async def _write_in_era(
        self, base: StoreRevision, still_open: bool, target: ServerId | None
    ) -> FencingToken | None:
        era = self._get_era()
        if still_open:
            self.floor = self.make_floor(self.floor)
        for _ in range(WRITE_TRIES):
            self.writes += 1
            record = LeaseRecord(
                group=self.group,
                era=era,
                revision=base,
                holder=self.holder,
                open=still_open,
                target=target,
                former=self.former if still_open else NO_FORMER,
                floor=self.floor,
                number=self.writes,
            )
            former = self.current
            sent_at = read_boot_ms()
            try:
                answer = await self.store.write_lease(record)
            except StoreConflictError:
                stored = await self.read()
                self._record_write("lease-conflict", record, former, found=self.seen)
                if stored is None or (stored.era, stored.holder) != (era, self.holder):
                    return None
                # This changer's own write, whose answer was lost.
                if stored.number == record.number:
                    return self._keep(stored, sent_at)
                base = stored.revision
                continue
            except StoreError as error:
                self._record_write("lease-unknown", record, former, why=str(error))
                raise
            self._record_write("leased", answer.record, former)
            # Written to a restored store, where nobody asks for a lease of this era.
            if not self.eras.accept(answer.era) or answer.era != era:
                return None
            self._remember(answer.record)
            return self._keep(answer.record, sent_at)
        return None

    async def store_members(self) -> None:
        """Write which servers count to a released lease, unless it is taken."""
        current = self.current
        if current is not None and not current.open:
            self.floor = self.make_floor(self.floor)
            await self._write(current.revision, still_open=False, target=None)

    def _keep(self, record: LeaseRecord, sent_at: int) -> FencingToken:
        self.own = record
        self.on_lease(record)
        self.held_until = sent_at + lease.LEASE_MS if record.open else 0
        return lease.make_token(record.era, record.revision)

    def _record_write(
        self,
        phase: str,
        record: LeaseRecord,
        former: ObservedLease | None,
        found: ObservedLease | None = None,
        why: str | None = None,
    ) -> None:
        """Record a write and the lease of another that it replaces, or was to."""
        other = former if former and former.holder != self.holder else None
        self.record(
            phase,
            revision=record.revision,
            era=record.era,
            open=record.open,
            target=record.target,
            holder=self.holder,
            former_revision=former and former.revision,
            former=other and other.holder,
            former_open=other and other.open,
            found=found and found.holder,
            found_revision=found and found.revision,
            found_open=found and found.open,
            why=why,
        )

    async def hand_on(self) -> None:
        """Leave the lease of an unfinished change to whoever takes it first.

        From the start of this call on, this changer doesn't hold it.
        """
        own = self.own
        if own is None or not own.open or not self.is_held(read_boot_ms()):
            return
        self.held_until = 0
        former = self.current
        record = replace(own, holder=f"{lease.LEFT_BY}{own.holder}")
        try:
            answer = await self.store.write_lease(record)
        except StoreError as error:
            self._record_write("lease-unknown", record, former, why=str(error))
            return
        self._record_write("handed-on", answer.record, former)
        if self.eras.accept(answer.era):
            self.observe(answer.record)

    async def release(self) -> None:
        """Write the lease as released, and remove those of earlier eras."""
        await self.write(still_open=False)
        self.follows_lost = False
        while self.outdated:
            await self.store.remove_lease(self.group, self.outdated.pop())
