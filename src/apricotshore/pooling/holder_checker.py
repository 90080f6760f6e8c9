"""Questions to the host that holds a group's lease: whether its process has ended."""

import asyncio
from collections.abc import Callable

from ..decisions import lease
from ..decisions.relays import ListedHost
from ..services.clock import read_boot_ms
from .change_lease import FOLLOW_MS, ChangeLease
from .change_phases import record_phase
from .group import Group
from .supervision import end_tasks
from .write_barrier import WriteBarrier

# Hosts that ask a holder, so that one of them can take its lease.
ASKING_HOSTS = 3
TIMEOUT_S = 0.3


class HolderChecker:
    """Asks the holder of an open lease whether its process has ended.

    Parameters
    ----------
    group, lease
        The group, and the lease on its change of primary.
    barrier
        Knows the other hosts, and the client of them.
    rank
        Returns how many hosts are to finish a lost change before this one.
    """

    def __init__(
        self,
        *,
        group: Group,
        lease: ChangeLease,
        barrier: WriteBarrier,
        rank: Callable[[], int],
    ) -> None:
        self.group = group
        self.lease = lease
        self.fleet = barrier.fleet
        self.peers = barrier.peers
        self.rank = rank
        self.ask_after = 0
        self.question: asyncio.Task[None] | None = None

    def ask(self) -> None:
        """Ask the holder if that is due."""
        now = read_boot_ms()
        is_asking = self.question is not None and not self.question.done()
        if is_asking or now < self.ask_after:
            return
        current = self.lease.current
        if current is None or not lease.may_have_ended(current, self.lease.holder):
            return
        host = self.fleet.hosts.get(lease.find_host(current.holder))
        if host is None or self.rank() >= ASKING_HOSTS:
            return
        self.ask_after = now + FOLLOW_MS
        self.question = asyncio.create_task(self._ask(host, current))

    async def _ask(self, host: ListedHost, asked: lease.ObservedLease) -> None:
        has_ended = await self.peers.has_ended(host, TIMEOUT_S)
        if has_ended and self.lease.current is asked:
            asked.ended_at = read_boot_ms()
            record_phase(self.group, "holder-ended", holder=asked.holder)

    async def stop(self) -> None:
        """End the question in progress."""
        await end_tasks(self.question)
