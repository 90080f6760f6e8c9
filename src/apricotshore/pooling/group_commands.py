"""Commands to the servers of a group during a change of its primary."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..decisions import change_triggers
from ..groups import LogPosition
from ..identifiers import ServerId, Term
from ..queries import Query, QueryKind, ServerReport
from ..services.clock import read_boot_ms
from .group import Group
from .journal import EventKind
from .pool import NoConnectionError, WithheldError
from .ports import ConnectionLostError

COMMAND_TIMEOUT_MS = 400
COMMAND_PRIORITY = -2
# A primary that is merely overloaded, not cut off, commits within this time.
ADVANCE_S = 0.4
NO_TERM = Term(0)


def record_phase(group: Group, phase: str, **details: object) -> None:
    """Record a phase of a change of primary in the journal."""
    group.journal.record(
        EventKind.PRIMARY_CHANGE, group=group.group, phase=phase, **details
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandReply:
    """Reply of a server to a command.

    Parameters
    ----------
    report
        Its report, None without one.
    refused
        Whether it answered without a report.
    """

    report: ServerReport | None = None
    refused: bool = False


class GroupCommands:
    """Sends commands to the servers of one group.

    Parameters
    ----------
    group
        The group.
    is_held
        Returns whether this host holds the lease at a moment, in milliseconds since
        boot. Without the lease, only STATUS is sent.
    """

    def __init__(self, *, group: Group, is_held: Callable[[int], bool]) -> None:
        self.group = group
        self.is_held = is_held

    async def ask(
        self,
        server: ServerId,
        kind: QueryKind,
        term: Term = NO_TERM,
        timeout_ms: int = COMMAND_TIMEOUT_MS,
    ) -> CommandReply:
        """Run a command at a server, listed or not; return its reply."""
        pool = self.group.find_pool(server)
        if pool is None:
            return CommandReply()
        query = Query(kind=kind, term=term)

        def may_send() -> bool:
            return kind is QueryKind.STATUS or self.is_held(read_boot_ms())

        try:
            answer = await pool.run_alone(query, COMMAND_PRIORITY, timeout_ms, may_send)
        except WithheldError as error:
            record_phase(self.group, "lease-expired", withheld=str(error))
            return CommandReply()
        except (NoConnectionError, ConnectionLostError) as error:
            record_phase(self.group, "no-answer", server=server, why=str(error))
            return CommandReply()
        if answer.report is None:
            why = str(answer.failure)
            record_phase(
                self.group, "refused", server=server, command=kind.value, why=why
            )
        return CommandReply(report=answer.report, refused=answer.report is None)

    async def run(
        self, server: ServerId, kind: QueryKind, term: Term = NO_TERM
    ) -> ServerReport | None:
        """Run a command at a server; return its report, None without one."""
        return (await self.ask(server, kind, term)).report

    async def run_all(
        self, servers: Iterable[ServerId], kind: QueryKind, term: Term = NO_TERM
    ) -> dict[ServerId, ServerReport]:
        """Run a command at several servers; return the reports of those that answer."""
        asked = list(servers)
        reports = await asyncio.gather(*(self.run(s, kind, term) for s in asked))
        return {s: r for s, r in zip(asked, reports, strict=True) if r is not None}

    async def is_cut_off(self) -> bool:
        """Return whether the primary's commits reach no replica."""
        primary = self.group.primary
        if primary is None:
            return True
        replicas = [s for s in self.group.servers if s != primary]
        before, leader = await asyncio.gather(
            self._read_logs(replicas), self._read_logs([primary])
        )
        await asyncio.sleep(ADVANCE_S)
        after = await self._read_logs(replicas)
        cut_off = change_triggers.is_cut_off(leader.get(primary), before, after)
        record_phase(
            self.group, "stall", cut_off=cut_off, primary=primary, replicas=after
        )
        return cut_off

    async def _read_logs(
        self, servers: Iterable[ServerId]
    ) -> dict[ServerId, LogPosition]:
        """Return the ends of the servers' logs, without servers that do not answer."""
        reports = await self.run_all(servers, QueryKind.STATUS)
        return {server: report.received for server, report in reports.items()}

    async def find_paused(
        self, servers: Iterable[ServerId]
    ) -> tuple[set[ServerId], set[ServerId]]:
        """Return which servers are found not paused, and which paused."""
        found = await self.run_all(sorted(servers), QueryKind.STATUS)
        paused = {s for s, report in found.items() if report.paused_term > 0}
        return set(found) - paused, paused

    async def resume(self, servers: Iterable[ServerId]) -> set[ServerId]:
        """Resume paused servers; return those that are not paused any more."""
        found = await self.run_all(sorted(servers), QueryKind.RESUME)
        return {s for s, report in found.items() if report.paused_term == 0}
