"""Barrier of all hosts: none has a statement in progress at a former primary.

Whatever a former primary stores later, it can only acknowledge it on a connection of a
host. Once every host has ended or closed those, it can acknowledge nothing more.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ..decisions.change_attempt import BarrierReport
from ..decisions.relays import Fleet, ListedHost
from ..identifiers import FencingToken, HostId, ServerId, Term
from ..services.clock import read_boot_ms
from .group import Group
from .group_commands import record_phase
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
# A host that gave no confirmation is asked, and not waited for, for this long.
ABSENT_MS = 30_000
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
    """

    def __init__(
        self,
        *,
        group: Group,
        fleet: Fleet,
        peers: HostPeers,
        refresh_hosts: Callable[[], Awaitable[object]],
    ) -> None:
        self.group = group
        self.fleet = fleet
        self.peers = peers
        self.refresh_hosts = refresh_hosts
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
        reports = await asyncio.gather(
            *(self.quiesce(server, term, token, hold_ms) for server in servers)
        )
        return BarrierReport(
            at=read_boot_ms(),
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
        known = self._list_others()
        is_listed, own, *others = await asyncio.gather(
            self._refresh(),
            self.group.quiesce(request),
            *(self._ask(host, request) for host in known),
        )
        listed = {host.host for host in self._list_others()}
        new = listed - {host.host for host in known}
        others += await asyncio.gather(
            *(self._ask(self.fleet.hosts[host], request) for host in sorted(new))
        )
        replies = {host: reply for host, reply in others if reply is not None}
        replies[self.fleet.local_host] = own
        silent = {host for host, reply in others if reply is None}
        report = BarrierReport(
            at=read_boot_ms(),
            is_listed=is_listed,
            hosts=frozenset(replies),
            # A host removes its entry once it holds no connection any more.
            missing=tuple(sorted(silent & listed if is_listed else silent)),
            ended=sum(reply.ended for reply in replies.values()),
            closed=sum(reply.closed for reply in replies.values()),
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
        await asyncio.gather(
            self.group.quiesce(request),
            *(
                self._ask(host, request, REOPEN_TIMEOUT_S)
                for host in self._list_others()
            ),
        )

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
        timeout_s: float = PEER_TIMEOUT_S,
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
            self.absent_until[host.host] = read_boot_ms() + ABSENT_MS
            record_phase(self.group, "unconfirmed-host", host=host.host, why=str(error))
            return host.host, None
        self.absent_until.pop(host.host, None)
        return host.host, reply
