"""Barrier of all hosts: none has a statement in progress at a former primary.

Whatever a former primary stores later, it can only acknowledge it on a connection of a
host. Once every host has ended or closed those, it can acknowledge nothing more.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ..decisions.barrier_report import BarrierReport
from ..decisions.commit_barrier import LONGEST_ROUND_MS
from ..decisions.relays import Fleet, ListedHost, list_backed_off
from ..decisions.rounds import DIRECT_HOSTS
from ..identifiers import FencingToken, HostId, ServerId, Term
from ..services.clock import read_boot_ms
from .change_phases import record_phase
from .fleet_asker import ABSENT_MS, FleetAsker, Replies
from .group import Group
from .ports import (
    ConnectionLostError,
    HostPeers,
    HostStoppedError,
    QuiesceReply,
    QuiesceRequest,
    StoreError,
)
from .server_gate import CLOSE_WAIT_S, END_WAIT_S

# A connection to another region and an answer, besides the wait for statements.
PEER_TIMEOUT_S = 0.3 + END_WAIT_S + CLOSE_WAIT_S
# Lines about hosts without a confirmation, in one round of a large fleet.
MAX_RECORDED = 20
# Time to have hosts send again to a primary that wasn't replaced.
REOPEN_TIMEOUT_S = 0.3


class WriteBarrier:
    """Has every host of the fleet send nothing more to a primary.

    Parameters
    ----------
    group
        The group, as this host knows it.
    fleet
        The known hosts.
    peers
        Client of the other hosts.
    refresh_hosts
        Reads the list of hosts in the store anew.
    asker
        Asks the hosts of a large fleet; None for one of this group's own.
    """

    def __init__(
        self,
        *,
        group: Group,
        fleet: Fleet,
        peers: HostPeers,
        refresh_hosts: Callable[[], Awaitable[object]],
        asker: FleetAsker | None = None,
    ) -> None:
        self.group = group
        self.fleet = fleet
        self.peers = peers
        self.refresh_hosts = refresh_hosts
        self.asker = asker or FleetAsker(peers=peers)
        # Hosts that gave no confirmation, and until when they aren't waited for.
        self.absent_until: dict[HostId, int] = {}

    async def seal(
        self,
        servers: tuple[ServerId, ...],
        term: Term,
        token: FencingToken,
        hold_ms: int,
    ) -> BarrierReport:
        """Have all hosts send nothing more to several servers; see `quiesce`."""
        began_at = read_boot_ms()
        reports = await asyncio.gather(
            *(self.quiesce(server, term, token, hold_ms) for server in servers)
        )
        return BarrierReport(
            at=read_boot_ms(),
            began_at=began_at,
            is_listed=all(report.is_listed for report in reports),
            hosts=frozenset().union(*(report.hosts for report in reports)),
            missing=tuple(sorted({h for report in reports for h in report.missing})),
            ended=sum(report.ended for report in reports),
            closed=sum(report.closed for report in reports),
        )

    async def quiesce(
        self, server: ServerId, term: Term, token: FencingToken, hold_ms: int
    ) -> BarrierReport:
        """Ask all hosts, this one included, and wait for their confirmations.

        The known ones are asked beside the list, which may show others.

        Parameters
        ----------
        server
            The primary that is being replaced, or was.
        term
            Term of its lead.
        token
            Fencing token of the change.
        hold_ms
            Time after which a host sends again in any case, in milliseconds.
        """
        request = QuiesceRequest(
            group=self.group.group,
            server=server,
            term=term,
            token=token,
            hold_ms=hold_ms,
        )
        began_at = read_boot_ms()
        until = began_at + LONGEST_ROUND_MS
        is_large = self._is_large()
        known = self._list_others()
        is_listed, (own, own_at), (replies, at) = await asyncio.gather(
            self._refresh(),
            self._quiesce_here(request),
            self._ask_hosts(known, request, until),
        )
        listed = set(self.fleet.hosts)
        asked = {self.fleet.local_host, *(host.host for host in known)}
        new = [self.fleet.hosts[host] for host in sorted(listed - asked)]
        is_late = own_at > until or (bool(new) and read_boot_ms() > until)
        if new:
            more, at = await self._ask_hosts(new, request, until)
            replies |= more
        # All replies came within the round, even if the list was read later.
        last = min(max(at, own_at), until)
        at = last if is_large and not is_late else read_boot_ms()
        # Without this host's confirmation, nothing counts on the round's time.
        replies[self.fleet.local_host] = None if is_large and is_late else own
        confirmed = {h: reply for h, reply in replies.items() if reply is not None}
        silent = replies.keys() - confirmed.keys()
        # A host removes its entry once it holds no connection any more.
        missing = silent & {*listed, self.fleet.local_host} if is_listed else silent
        report = BarrierReport(
            at=at,
            began_at=began_at,
            is_listed=is_listed,
            hosts=frozenset(confirmed),
            missing=tuple(sorted(missing)),
            ended=sum(reply.ended for reply in confirmed.values()),
            closed=sum(reply.closed for reply in confirmed.values()),
        )
        record_phase(
            self.group,
            "quiesced",
            server=server,
            term=term,
            confirmed=len(report.hosts),
            missing=report.missing,
            ended=report.ended,
            closed=report.closed,
            listed=is_listed,
        )
        return report

    async def reopen(self, server: ServerId, term: Term, token: FencingToken) -> None:
        """Have all hosts send to a primary again that was not replaced."""
        request = QuiesceRequest(
            group=self.group.group, server=server, term=term, token=token, hold_ms=0
        )
        until = read_boot_ms() + int(REOPEN_TIMEOUT_S * 1000)
        await asyncio.gather(
            self.group.quiesce(request),
            self._ask_hosts(self._list_others(), request, until, REOPEN_TIMEOUT_S),
        )

    async def _quiesce_here(self, request: QuiesceRequest) -> tuple[QuiesceReply, int]:
        """Return this host's confirmation, and when it gave it."""
        reply = await self.group.quiesce(request)
        return reply, read_boot_ms()

    def _is_large(self) -> bool:
        """Return whether there are more other hosts than this one asks itself."""
        return len(self._list_others()) > DIRECT_HOSTS

    async def _ask_hosts(
        self,
        hosts: list[ListedHost],
        request: QuiesceRequest,
        until: int,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> tuple[Replies, int]:
        """Return the confirmations of hosts, and when the last one came.

        Parameters
        ----------
        hosts
            The hosts; those of a small fleet are asked directly and at once.
        request
            What they are asked.
        until
            End of a large fleet's round, in milliseconds since boot.
        timeout_s
            Time for each host of a small fleet, in seconds.
        """
        if not self._is_large():
            asked = (self._ask(host, request, timeout_s) for host in hosts)
            replies = dict(await asyncio.gather(*asked))
        elif len(hosts) <= DIRECT_HOSTS:
            replies = await self.asker.ask_all(hosts, request, until)
        else:
            backed_off = list_backed_off(self.fleet, read_boot_ms())
            replies = await self.asker.ask_fleet(hosts, request, backed_off, until)
        if self._is_large():
            self._record_missing(replies)
        return replies, read_boot_ms()

    def _record_missing(self, replies: Replies) -> None:
        """Record why hosts of a large fleet gave no confirmation, of some of them."""
        missing = sorted(host for host, reply in replies.items() if reply is None)
        for host in missing[:MAX_RECORDED]:
            why = self.asker.failures.get(host, "")
            record_phase(self.group, "unconfirmed-host", host=host, why=why)

    async def _refresh(self) -> bool:
        """Read the list of hosts; return False if the store doesn't answer."""
        try:
            await self.refresh_hosts()
        except StoreError as error:
            record_phase(self.group, "waiting", why=f"store: {error}")
            return False
        return True

    def _list_others(self) -> list[ListedHost]:
        own = self.fleet.local_host
        return [host for host in self.fleet.hosts.values() if host.host != own]

    async def _ask(
        self,
        host: ListedHost,
        request: QuiesceRequest,
        timeout_s: float,
    ) -> tuple[HostId, QuiesceReply | None]:
        """Return a host's confirmation, None without one."""
        is_absent = read_boot_ms() < self.absent_until.get(host.host, 0)
        limit_s = CLOSE_WAIT_S if is_absent else timeout_s
        try:
            reply = await self.peers.quiesce(host, request, limit_s)
        except HostStoppedError:
            # Its process has ended, and the system has closed its connections.
            reply = QuiesceReply()
        except ConnectionLostError as error:
            if request.hold_ms:
                self.absent_until[host.host] = read_boot_ms() + ABSENT_MS
            record_phase(self.group, "unconfirmed-host", host=host.host, why=str(error))
            return host.host, None
        self.absent_until.pop(host.host, None)
        return host.host, reply
