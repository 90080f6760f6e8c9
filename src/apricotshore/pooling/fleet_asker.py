"""Questions of this host to many others, a limited number at once."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import replace

from ..decisions.relays import ListedHost
from ..decisions.rounds import DIRECT_HOSTS, HostAddress, Share, plan_shares
from ..identifiers import HostId
from ..services.clock import read_boot_ms
from .ports import (
    ConnectionLostError,
    HostPeers,
    HostStoppedError,
    QuiesceReply,
    QuiesceRequest,
)
from .server_gate import CLOSE_WAIT_S, END_WAIT_S

# Hosts that this process asks directly at the same time, in rounds of a large fleet.
ASKED_AT_ONCE = 384
# A forwarder's time for the hosts of its share: their statements end, and they connect
# within a data centre.
FORWARD_MS = int((END_WAIT_S + CLOSE_WAIT_S) * 1000) + 80
# The holder's time for a forwarder: that, and a connection to another region.
FORWARDER_MS = FORWARD_MS + 120
# Both times when hosts are to send again, which ends no statements.
FORWARD_REOPEN_MS = 150
REOPENER_MS = 220
# A host that gave no confirmation is asked, and not waited for, for this long.
ABSENT_MS = 30_000
# Time that an absent host still gets.
ABSENT_WAIT_MS = int(CLOSE_WAIT_S * 1000)

Replies = dict[HostId, QuiesceReply | None]


class FleetAsker:
    """Asks hosts of a large fleet, directly or through forwarders.

    One object serves all groups of the process.

    Parameters
    ----------
    peers
        Client of the other hosts.
    """

    def __init__(self, *, peers: HostPeers) -> None:
        self.peers = peers
        self.places = asyncio.Semaphore(ASKED_AT_ONCE)
        # Hosts that gave no confirmation, and until when they aren't waited for.
        self.absent_until: dict[HostId, int] = {}
        # Why they gave none when they were last asked directly.
        self.failures: dict[HostId, str] = {}

    async def ask_fleet(
        self,
        hosts: Iterable[ListedHost],
        request: QuiesceRequest,
        backed_off: Collection[HostId],
        until: int,
    ) -> Replies:
        """Ask all hosts through forwarders, and directly where that fails.

        Parameters
        ----------
        hosts
            The hosts.
        request
            What they are asked.
        backed_off
            Hosts that failed otherwise.
        until
            End of the round, in milliseconds since boot; no later reply counts.

        Returns
        -------
        dict
            The reply of each host, None without one. The counts of a share are in that
            of its forwarder.
        """
        now = read_boot_ms()
        asked = list(hosts)
        absent = {host for host, end in self.absent_until.items() if now < end}
        direct = [h for h in asked if h.host in absent]
        if len(direct) > DIRECT_HOSTS:
            direct = []
        named = {h.host for h in direct}
        shares = plan_shares(
            (h for h in asked if h.host not in named),
            absent.union(backed_off),
            request.group,
        )
        replies = await asyncio.gather(
            self.ask_all(direct, request, until),
            *(self._ask_share(share, request, until) for share in shares),
        )
        return _join(replies)

    async def ask_all(
        self,
        hosts: Iterable[ListedHost | HostAddress],
        request: QuiesceRequest,
        until: int,
    ) -> Replies:
        """Ask hosts directly; return the reply of each, None without one in time."""
        asked = list(hosts)
        replies = await asyncio.gather(*(self._ask(h, request, until) for h in asked))
        return dict(zip((h.host for h in asked), replies, strict=True))

    async def forward(
        self,
        request: QuiesceRequest,
        quiesce: Callable[[QuiesceRequest], Awaitable[QuiesceReply]],
    ) -> QuiesceReply:
        """Carry out a request at this host and at the hosts of its share.

        Parameters
        ----------
        request
            The request, with a share.
        quiesce
            Carries a request out at this host.
        """
        limit_ms = FORWARD_MS if request.hold_ms else FORWARD_REOPEN_MS
        until = read_boot_ms() + limit_ms
        plain = replace(request, share=())
        own, replies = await asyncio.gather(
            quiesce(plain), self.ask_all(request.share, plain, until)
        )
        confirmed = [reply for reply in replies.values() if reply is not None]
        return QuiesceReply(
            ended=own.ended + sum(reply.ended for reply in confirmed),
            closed=own.closed + sum(reply.closed for reply in confirmed),
            forwarded=len(confirmed),
            missing=tuple(host for host, reply in replies.items() if reply is None),
        )

    async def _ask_share(
        self, share: Share, request: QuiesceRequest, until: int
    ) -> Replies:
        """Ask a share through its forwarder, and directly whom that doesn't confirm."""
        limit_ms = FORWARDER_MS if request.hold_ms else REOPENER_MS
        forwarder, others = share.forwarder, share.hosts
        addresses = tuple(HostAddress(host=h.host, address=h.address) for h in others)
        forwarded = replace(request, share=addresses)
        replies: Replies = {}
        left: list[ListedHost] = [forwarder, *others]
        repeated = True
        try:
            limit = min(until, read_boot_ms() + limit_ms)
            reply = await self._call(forwarder, forwarded, limit)
        except HostStoppedError:
            replies[forwarder.host] = QuiesceReply()
            left, repeated = list(others), False
        except ConnectionLostError as error:
            repeated = error.sent
        else:
            if _covers(reply, forwarded):
                missing = set(reply.missing)
                left = [h for h in others if h.host in missing]
                replies = {
                    h.host: QuiesceReply() for h in others if h.host not in missing
                }
                replies[forwarder.host] = QuiesceReply(
                    ended=reply.ended, closed=reply.closed
                )
        again = replace(request, repeated=repeated and request.hold_ms > 0)
        return _join((replies, await self.ask_all(left, again, until)))

    async def _ask(
        self, host: ListedHost | HostAddress, request: QuiesceRequest, until: int
    ) -> QuiesceReply | None:
        """Return a host's confirmation, None without one in time."""
        try:
            async with self.places:
                reply = await self._call(host, request, until)
        except HostStoppedError:
            # Its process has ended, and the system has closed its connections.
            reply = QuiesceReply()
        except ConnectionLostError as error:
            self.failures[host.host] = str(error)
            return None
        self.failures.pop(host.host, None)
        return reply

    async def _call(
        self, host: ListedHost | HostAddress, request: QuiesceRequest, until: int
    ) -> QuiesceReply:
        """Return a host's confirmation.

        Raises
        ------
        HostStoppedError
            When no process listens at the host's address.
        ConnectionLostError
            When there is no confirmation until the limit.
        """
        began = read_boot_ms()
        limit_ms = until - began
        if began < self.absent_until.get(host.host, 0):
            limit_ms = min(limit_ms, ABSENT_WAIT_MS)
        if limit_ms <= 0:
            raise ConnectionLostError("no time to ask", sent=False)
        try:
            reply = await self.peers.quiesce(host, request, limit_ms / 1000)
        except HostStoppedError:
            self.absent_until.pop(host.host, None)
            _check_time(until)
            raise
        except ConnectionLostError:
            # A shorter time shows nothing about the host, nor does one without a hold.
            if limit_ms >= ABSENT_WAIT_MS and request.hold_ms:
                self.absent_until[host.host] = read_boot_ms() + ABSENT_MS
            raise
        self.absent_until.pop(host.host, None)
        _check_time(until)
        return reply


def _check_time(until: int) -> None:
    """Refuse what was learnt too late: this process may have stood still."""
    if read_boot_ms() > until:
        raise ConnectionLostError("a reply that came too late", sent=True)


def _covers(reply: QuiesceReply, request: QuiesceRequest) -> bool:
    """Return whether a forwarder tells of each host of its share."""
    share = {h.host for h in request.share}
    missing = set(reply.missing)
    return missing <= share and reply.forwarded + len(missing) == len(share)


def _join(replies: Iterable[Replies]) -> Replies:
    joined: Replies = {}
    for part in replies:
        joined |= part
    return joined
