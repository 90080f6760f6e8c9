"""Commands to a server that this host can't reach, run by other hosts."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from ..decisions import relays
from ..decisions.relays import Fleet, ListedHost
from ..identifiers import Term
from ..queries import Answer, Query, QueryKind, ServerReport
from ..routes import ListedServer
from .journal import EventKind, Journal
from .ports import ConnectionLostError, ConnectionRejectedError, Dialer

T = TypeVar("T")

# Two connections one after the other, each to another region, and two commands.
DETOUR_TIMEOUT_S = 0.25
# Hosts that are asked whether they reach a server.
ASKED_HOSTS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Reached:
    """Answer of a server to another host.

    Parameters
    ----------
    host
        The other host.
    report
        The server's report, None if it was too full for one.
    """

    host: ListedHost
    report: ServerReport | None


class Detours:
    """Reaches servers through other hosts of the fleet.

    Parameters
    ----------
    direct
        Opens connections; a host serves its servers under its own address.
    fleet
        The known hosts.
    journal
        Journal of the host.
    """

    def __init__(self, *, direct: Dialer, fleet: Fleet, journal: Journal) -> None:
        self.direct = direct
        self.fleet = fleet
        self.journal = journal

    async def find_reaching(self, server: ListedServer) -> Reached | None:
        """Return the first answer of a server to other hosts, None without one.

        A server that refuses the question as it is full has answered.
        """
        hosts = relays.list_detours(self.fleet, server.server)[:ASKED_HOSTS]
        return await _find_first(self._reach(host, server) for host in hosts)

    async def read_report(self, server: ListedServer) -> ServerReport | None:
        """Return a server's report to another host, None without one."""
        reached = await self.find_reaching(server)
        return None if reached is None else reached.report

    async def _reach(self, host: ListedHost, server: ListedServer) -> Reached | None:
        query = Query(kind=QueryKind.STATUS)
        answers = await self._run_through(host, server, (query,), lambda: True)
        # A host that answers in a server's place names no log position.
        if all(a.log_position is None for a in answers):
            return None
        return Reached(host=host, report=answers[0].report)

    async def step_down(
        self, server: ListedServer, term: Term, may_send: Callable[[], bool]
    ) -> tuple[ServerReport, ...]:
        """Have a server step down, through whichever host reaches it first.

        Parameters
        ----------
        server, term
            The server and the term to step down with.
        may_send
            Returns whether the command may be sent, once a host is connected.

        Returns
        -------
        tuple of ServerReport
            Its reports before and after; empty if nobody reached it in time.
        """
        hosts = relays.list_detours(self.fleet, server.server)
        reports = await _find_first(
            self._step_down_through(host, server, term, may_send) for host in hosts
        )
        return reports or ()

    async def _step_down_through(
        self,
        host: ListedHost,
        server: ListedServer,
        term: Term,
        may_send: Callable[[], bool],
    ) -> tuple[ServerReport, ...]:
        queries = (
            Query(kind=QueryKind.STATUS),
            Query(kind=QueryKind.STEP_DOWN, term=term),
        )
        answers = await self._run_through(host, server, queries, may_send)
        return tuple(a.report for a in answers if a.report is not None)

    async def _run_through(
        self,
        host: ListedHost,
        server: ListedServer,
        queries: tuple[Query, ...],
        may_send: Callable[[], bool],
    ) -> list[Answer]:
        through = replace(server, address=host.address)
        try:
            link = await self.direct.dial(through, DETOUR_TIMEOUT_S)
            try:
                if not may_send():
                    raise ConnectionLostError("the lease has expired", sent=False)
                return await link.run(queries, None, DETOUR_TIMEOUT_S)
            finally:
                link.close()
        except (ConnectionLostError, ConnectionRejectedError) as error:
            self.journal.record(
                EventKind.DETOUR_FAILED,
                server=server.server,
                through=host.host,
                why=str(error),
            )
            return []


async def _find_first(questions: Iterable[Coroutine[Any, Any, T | None]]) -> T | None:
    """Ask at once; return the first reply that says anything, None without one."""
    asked = [asyncio.create_task(question) for question in questions]
    try:
        async with asyncio.timeout(DETOUR_TIMEOUT_S):
            for reply in asyncio.as_completed(asked):
                if found := await reply:
                    return found
    except TimeoutError:
        return None
    finally:
        for task in asked:
            task.cancel()
    return None
