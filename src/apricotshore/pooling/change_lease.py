"""Lease on the change of one group's primary, kept in the platform's store."""

import uuid
from collections.abc import Callable
from dataclasses import replace

from ..decisions import lease
from ..decisions.lease import NO_FORMER, FormerPrimaries, LeaseClaim, ObservedLease
from ..decisions.log_floor import LogFloor
from ..identifiers import FencingToken, GroupId, HostId, ServerId, StoreRevision
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .lease_reader import LeaseReader
from .lease_writer import LeaseWriter
from .ports import ObjectStore
from .stored_objects import LeaseRecord

POLL_MS = 300
UNSETTLED_PAUSE_MS = 2_000
# Time between two looks at a lease that another host holds.
FOLLOW_MS = 500


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
        self.on_lease = on_lease
        self.make_floor = make_floor
        self.eras = eras
        self.holder = lease.name_holder(host, address, uuid.uuid4().hex[:8])
        self.reader = LeaseReader(
            group=group,
            holder=self.holder,
            store=store,
            eras=eras,
            on_lease=lambda record: self.on_lease(record),
        )
        self.writer = LeaseWriter(reader=self.reader, record=record)
        # Primaries that this changer's change replaces.
        self.former = NO_FORMER
        # What this changer wrote last; nothing else is ever written over by `write`.
        self.own: LeaseRecord | None = None
        self.held_until = 0
        self.check_after = 0
        self.follow_after = 0
        # Whether the store has come back without a lease that may have been open.
        self.follows_lost = False

    @property
    def seen(self) -> ObservedLease | None:
        """Lease as it was last read or written, None without one."""
        return self.reader.seen

    @property
    def current(self) -> ObservedLease | None:
        """Lease of the store's latest era, None without one."""
        return self.reader.current

    @property
    def floor(self) -> LogFloor:
        """Floor of the group's logs, as it was last read or named."""
        return self.reader.floor

    @floor.setter
    def floor(self, floor: LogFloor) -> None:
        self.reader.floor, self.reader.floor_era = floor, self.eras.era

    def _claim(self) -> LeaseClaim:
        return LeaseClaim(
            holder=self.holder,
            held_until=self.held_until,
            era_seen_at=self.eras.state.seen_at,
        )

    def observe(self, record: LeaseRecord) -> None:
        """Record a lease from a list that may be older than the one known."""
        self.reader.observe(record)

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
        """Read the stored lease; see `LeaseReader.read`."""
        return await self.reader.read()

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
        if self.reader.is_absent and not self._may_acquire():
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
        era = self.reader.get_era()
        token = await self._write_in_era(base, still_open, target)
        if token is not None or self.eras.era == era:
            return token
        if self.current is not None or read_boot_ms() >= self.held_until:
            return None
        return await self._write_in_era(StoreRevision(0), still_open, target)

    async def _write_in_era(
        self, base: StoreRevision, still_open: bool, target: ServerId | None
    ) -> FencingToken | None:
        if still_open:
            self.floor = self.make_floor(self.floor)
        era = self.reader.get_era()

        def make_record(revision: StoreRevision, number: int) -> LeaseRecord:
            return LeaseRecord(
                group=self.group,
                era=era,
                revision=revision,
                holder=self.holder,
                open=still_open,
                target=target,
                former=self.former if still_open else NO_FORMER,
                floor=self.floor,
                number=number,
            )

        written = await self.writer.write(make_record, base)
        if written is None:
            return None
        record = self.own = written.record
        self.on_lease(record)
        self.held_until = written.sent_at + lease.LEASE_MS if record.open else 0
        return lease.make_token(record.era, record.revision)

    async def store_members(self) -> None:
        """Write which servers count to a released lease, unless it is taken."""
        current = self.current
        if current is not None and not current.open:
            self.floor = self.make_floor(self.floor)
            await self._write(current.revision, still_open=False, target=None)

    async def hand_on(self) -> None:
        """Leave the lease of an unfinished change to whoever takes it first.

        From the start of this call on, this changer doesn't hold it.
        """
        own = self.own
        if own is None or not own.open or not self.is_held(read_boot_ms()):
            return
        self.held_until = 0
        record = replace(own, holder=f"{lease.LEFT_BY}{own.holder}")
        await self.writer.hand_on(record)

    async def release(self) -> None:
        """Write the lease as released, and remove those of earlier eras."""
        await self.write(still_open=False)
        self.follows_lost = False
        outdated = self.reader.outdated
        while outdated:
            await self.store.remove_lease(self.group, outdated.pop())
