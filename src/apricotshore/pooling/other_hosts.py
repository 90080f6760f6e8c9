"""Other hosts that connect to this one: their statements and their questions."""

from .. import shutdown
from ..decisions import relays
from ..decisions.relays import Fleet
from ..identifiers import GroupId, OrganisationId, ServerId
from ..queries import FailureCode
from ..services.clock import read_boot_ms
from ..shutdown import Drain
from .fleet_asker import FleetAsker
from .host_groups import HostGroups
from .host_session import HostSession
from .journal import EventKind, Journal
from .metrics import PoolingMetrics
from .ports import HostLink, QuiesceReply, QuiesceRequest


class OtherHosts:
    """Other hosts that connect to this one.

    Parameters
    ----------
    host_groups
        Groups of this host.
    fleet, asker
        The other hosts, and what asks them.
    drain
        State of this host's shutdown.
    journal, metrics
        Where statements that are cut are reported.
    """

    def __init__(
        self,
        *,
        host_groups: HostGroups,
        fleet: Fleet,
        asker: FleetAsker,
        drain: Drain,
        journal: Journal,
        metrics: PoolingMetrics,
    ) -> None:
        self.host_groups = host_groups
        self.fleet = fleet
        self.asker = asker
        self.drain = drain
        self.journal = journal
        self.metrics = metrics
        self.sessions: set[HostSession] = set()

    def admit(
        self,
        group: GroupId,
        server: ServerId,
        organisation: OrganisationId | None = None,
    ) -> FailureCode | None:
        """Return why a server is not reached through this host, None if it is.

        An organisation is taken as the other host names it: this host's configuration
        may be older.
        """
        known = self.host_groups.groups.get(group)
        # Two hosts that reach a server through each other would reach it never.
        is_detoured = relays.find_detour(self.fleet, server) is not None
        if known is None or server not in known.pools or is_detoured:
            return FailureCode.WRONG_SERVER
        return FailureCode.OVERLOADED if self.drain.began_at is not None else None

    async def serve(
        self,
        group: GroupId,
        server: ServerId,
        organisation: OrganisationId | None,
        link: HostLink,
    ) -> None:
        """Run another host's statements on this host's connections to a server."""
        known = self.host_groups.groups[group]
        session = HostSession(
            group=known,
            pool=known.pools[server],
            link=link,
            organisation=organisation,
            on_answered=self._send_away,
        )
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    async def quiesce(self, request: QuiesceRequest) -> QuiesceReply:
        """Send nothing more to a server that another host replaces, and confirm it.

        The hosts of the request's share are asked as well.
        """
        if request.share:
            return await self.asker.forward(request, self._quiesce)
        return await self._quiesce(request)

    async def _quiesce(self, request: QuiesceRequest) -> QuiesceReply:
        """Quiesce a server at this host, whose group may be known a moment later."""
        known = self.host_groups.groups.get(request.group)
        return await (known or self.host_groups.early_gates).quiesce(request)

    def release_relayed(self) -> None:
        """Send other hosts away from servers that this host is no relay of any more."""
        for session in list(self.sessions):
            if session.pool.relayed:
                session.leave()

    def leave(self) -> None:
        """Send other hosts away as this one stops.

        Transactions are aborted at half of the grace, and what is still running when
        the time for answers is over is ended.
        """
        now = read_boot_ms()
        last_answer = shutdown.find_last_answer(self.drain)
        if last_answer is not None and now >= last_answer:
            self.close()
            return
        for session in list(self.sessions):
            self._send_away(session)

    def _send_away(self, session: HostSession) -> None:
        """End a session between two statements as far as a stop has come."""
        if self.drain.began_at is None:
            return
        if shutdown.should_abort_transactions(self.drain, read_boot_ms()):
            session.abort_transaction()
        else:
            session.leave()

    def close(self) -> None:
        """Close every connection, and report the statements that this cuts."""
        for session in list(self.sessions):
            self._end(session)

    def _end(self, session: HostSession) -> None:
        cut = session.end()
        if cut is None:
            return
        now, began = read_boot_ms(), self.drain.began_at
        self.metrics.observe_cut(cut.stage)
        self.journal.record(
            EventKind.REQUEST_CUT,
            request=cut.query.request,
            server=session.pool.server.server,
            kind=cut.query.kind.value,
            stage=cut.stage.value,
            took_ms=now - cut.arrived_at,
            stopping_ms=now - began if began is not None else None,
        )
