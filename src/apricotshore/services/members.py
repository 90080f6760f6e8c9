"""Membership service: probes peers and reads the platform's list of hosts."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import replace

from mode import Service

from ..decisions import membership
from ..decisions.membership import Member, Membership, MemberState
from ..decisions.ownership import Ring, find_weight
from ..exceptions import PlatformError
from ..identifiers import BundleVersion, DataCentreId, HostId
from .clock import read_monotonic_ms
from .peers import PeerLinks, PeerLostError, PeerUnreachableError
from .platform import ObjectKind, PlatformClient, Purpose

LIST_PERIOD_S = 20.0
LIST_JITTER_S = 5.0
FIRST_LIST_S = 0.5
WATCHERS = 2


class MembershipService(Service):
    """Maintains this host's view of the fleet by probing and gossip.

    Parameters
    ----------
    local_member
        Record of this host.
    links
        Links to peers.
    platform
        Client of the platform, which lists the hosts, with a delay.
    seeds
        Peer addresses to probe while no other host is known.
    on_change
        Called after records were updated: the set of live hosts or a peer's
        bundle version may have changed.
    on_death
        Called with each host that is declared dead.
    """

    def __init__(
        self,
        *,
        local_member: Member,
        links: PeerLinks,
        platform: PlatformClient,
        seeds: tuple[str, ...],
        on_change: Callable[[], None],
        on_death: Callable[[HostId], None],
    ) -> None:
        super().__init__()
        self.fleet: Membership = membership.start_membership(local_member)
        self.links = links
        self.platform = platform
        self.seeds = seeds
        self.on_change = on_change
        self.on_death = on_death
        self.ring = Ring(hosts=[local_member.host])
        self.ring_version = -1

    def get_ring(self) -> Ring:
        """Return the ring of the live hosts, rebuilt after they changed."""
        if self.ring_version != self.fleet.version:
            self.ring = Ring(hosts=membership.list_live(self.fleet))
            self.ring_version = self.fleet.version
        return self.ring

    def find(self, host: HostId) -> Member | None:
        """Return the record of a host, None if it is unknown."""
        return self.fleet.members.get(host)

    def list_live(self) -> list[Member]:
        """Return the records of the live hosts, this one included."""
        return [self.fleet.members[h] for h in membership.list_live(self.fleet)]

    def set_state(self, state: MemberState) -> None:
        """Change the state of this host and announce it to the peers."""
        record = replace(
            self.fleet.local_member,
            life=state,
            incarnation=self.fleet.local_member.incarnation + 1,
        )
        membership.set_own(self.fleet, record, read_monotonic_ms())

    def set_bundle(self, version: BundleVersion) -> None:
        """Announce the version of the bundle in force at this host."""
        membership.set_bundle(self.fleet, version)

    def handle_ping(self, updates: list[Member]) -> list[Member]:
        """Apply a peer's updates and return those of this host."""
        self._apply_updates(updates)
        return membership.take_updates(self.fleet)

    def _apply_updates(self, updates: list[Member]) -> None:
        now = read_monotonic_ms()
        # The first record of a message is the sender's own.
        for sender in updates[:1]:
            membership.apply_sender(self.fleet, sender, now)
        for update in updates[1:]:
            membership.apply_update(self.fleet, update, now)
        self.on_change()

    @Service.task
    async def _probe_loop(self) -> None:
        while not self.should_stop:
            targets = membership.choose_targets(self.fleet, random.shuffle)
            await asyncio.gather(*(self._probe(target) for target in targets))
            if len(self.fleet.members) == 1:
                await asyncio.gather(*(self._probe_seed(a) for a in self.seeds))
            for host in membership.expire(self.fleet, read_monotonic_ms()):
                self.on_death(host)
                self.on_change()
            jitter = random.uniform(0.8, 1.2)
            await self.sleep(membership.PROBE_PERIOD_MS / 1000 * jitter)

    async def _probe(self, target: Member) -> None:
        updates = membership.take_updates(self.fleet)
        try:
            answer = await self.links.ping(target.address, updates)
        except (PeerUnreachableError, PeerLostError):
            now = read_monotonic_ms()
            membership.record_timeout(self.fleet, target.host, now)
            self.on_change()
            return
        membership.record_answer(self.fleet, target.host, read_monotonic_ms())
        self._apply_updates(answer)

    async def _probe_seed(self, address: str) -> None:
        if address == self.fleet.local_member.address:
            return
        try:
            answer = await self.links.ping(address, [self.fleet.local_member])
        except (PeerUnreachableError, PeerLostError):
            return
        self._apply_updates(answer)

    def is_watcher(self) -> bool:
        """Return whether this host polls the platform for its data centre."""
        watchers = membership.choose_watchers(self.fleet, find_weight, WATCHERS)
        return self.fleet.local_member.host in watchers

    @Service.task
    async def _list_loop(self) -> None:
        listed = False
        while not self.should_stop:
            wait_s = LIST_PERIOD_S + random.uniform(0, LIST_JITTER_S)
            if not listed or self.is_watcher():
                try:
                    await self._apply_platform_list()
                    listed = True
                except PlatformError:
                    wait_s = random.uniform(FIRST_LIST_S, LIST_JITTER_S)
            await self.sleep(wait_s)

    async def _apply_platform_list(self) -> None:
        now = read_monotonic_ms()
        for item in await self.platform.list(ObjectKind.HOST, Purpose.MEMBERSHIP):
            host = HostId(item.name)
            if host in self.fleet.members:
                continue
            value = json.loads(item.value)
            record = Member(
                host=host,
                address=str(value["address"]),
                data_centre=DataCentreId(str(value["data_centre"])),
                incarnation=0,
                life=MemberState.ALIVE,
            )
            membership.apply_update(self.fleet, record, now)
        self.on_change()
