"""Commands to the servers of a group during a change of its primary."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..decisions.left_pauses import LATE_MS, LatePause
from ..groups import Role
from ..identifiers import ServerId, Term
from ..queries import Answer, Query, QueryKind, ServerReport
from ..services.clock import read_boot_ms
from .change_phases import format_position, record_phase
from .group import Group
from .pooled_connection import NoConnectionError, WithheldError
from .ports import ConnectionLostError, ServerStoppedError

COMMAND_TIMEOUT_MS = 400
COMMAND_PRIORITY = -2
NO_TERM = Term(0)
# Servers whose last answers are remembered, so as not to record them twice.
MAX_REMEMBERED = 32


def _describe_report(report: ServerReport | None) -> dict[str, object]:
    """Return the keys of a line for a report."""
    if report is None:
        return {}
    return {
        "role": report.role.value,
        "term": report.term,
        "received": format_position(report.received),
        "paused_term": report.paused_term,
        "busy": report.busy,
    }


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandReply:
    """Reply of a server to a command.

    Parameters
    ----------
    report
        Its report, None without one.
    refused
        Whether it answered without a report.
    is_stopped
        Whether its process has ended.
    """

    report: ServerReport | None = None
    refused: bool = False
    is_stopped: bool = False


@dataclass(kw_only=True)
class RecordedAnswers:
    """Last recorded answers of servers to commands.

    Parameters
    ----------
    reports
        Last recorded report of each server.
    commands
        Commands to which each server gave that report.
    """

    reports: dict[ServerId, ServerReport] = field(default_factory=dict)
    commands: dict[ServerId, set[QueryKind]] = field(default_factory=dict)

    def add(
        self, server: ServerId, kind: QueryKind, report: ServerReport | None
    ) -> bool:
        """Remember an answer; return whether it differs from what is remembered."""
        if report is not None and self.reports.get(server) != report:
            self.commands.pop(server, None)
            self.reports[server] = report
        known = self.commands.setdefault(server, set())
        if kind in known:
            return False
        known.add(kind)
        self._limit()
        return True

    def _limit(self) -> None:
        while len(self.commands) > MAX_REMEMBERED:
            oldest = next(iter(self.commands))
            del self.commands[oldest]
            self.reports.pop(oldest, None)

    def clear(self) -> None:
        """Forget all answers."""
        self.reports.clear()
        self.commands.clear()


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

    def __init__(
        self,
        *,
        group: Group,
        is_held: Callable[[int], bool],
    ) -> None:
        self.group = group
        self.is_held = is_held
        self.recorded = RecordedAnswers()
        # Whether only servers are asked that a change may have left paused.
        self.is_ending = False
        # Number of RESUMEs without an answer so far, and whether none is sent any more.
        self.resuming = 0
        # Last PAUSE of each server that was sent and got no answer.
        self.late_pauses: dict[ServerId, LatePause] = {}
        self.is_stopping = False

    def begin_change(self) -> None:
        """Have every server's first answer recorded again: a change begins."""
        self.recorded.clear()
        self.is_ending = False

    def end_change(self) -> None:
        """Have only answers of paused servers recorded: a change ends."""
        self.is_ending = True

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
        asked_at = read_boot_ms()

        is_late = False

        def may_send() -> bool:
            nonlocal is_late
            is_sent = kind is QueryKind.STATUS or self.is_held(read_boot_ms())
            is_late = is_sent and kind is QueryKind.PAUSE
            return is_sent

        try:
            answer = await pool.run_alone(query, COMMAND_PRIORITY, timeout_ms, may_send)
            is_late = False
        except WithheldError as error:
            record_phase(self.group, "lease-expired", withheld=str(error))
            return CommandReply()
        except (NoConnectionError, ConnectionLostError) as error:
            record_phase(self.group, "no-answer", server=server, why=str(error))
            return CommandReply(is_stopped=isinstance(error, ServerStoppedError))
        finally:
            if is_late:
                self._observe_late(server, term)
        # RESUME is answered without a report.
        is_resumed = kind is QueryKind.RESUME and answer.failure is None
        if answer.report is None and not is_resumed:
            why = str(answer.failure)
            record_phase(
                self.group, "refused", server=server, command=kind.value, why=why
            )
        else:
            self._record_answer(server, kind, answer.report, asked_at)
        return CommandReply(report=answer.report, refused=answer.report is None)

    def _observe_late(self, server: ServerId, term: Term) -> None:
        """Record a PAUSE that got no answer."""
        now = read_boot_ms()
        self.late_pauses = {s: p for s, p in self.late_pauses.items() if now < p.until}
        self.late_pauses[server] = LatePause(term=term, until=now + LATE_MS)

    def _record_answer(
        self,
        server: ServerId,
        kind: QueryKind,
        report: ServerReport | None,
        asked_at: int,
    ) -> None:
        known = self.recorded.reports.get(server)
        if not self.recorded.add(server, kind, report):
            return
        if not self._tells_change(kind, known, report):
            return
        record_phase(
            self.group,
            "answered",
            server=server,
            command=kind.value,
            **_describe_report(report),
            took_ms=read_boot_ms() - asked_at,
        )

    def _tells_change(
        self, kind: QueryKind, known: ServerReport | None, report: ServerReport | None
    ) -> bool:
        """Return whether an answer says more than that nothing is to be done.

        Parameters
        ----------
        kind
            The command.
        known
            What the server reported before, None if nothing.
        report
            What it reports now.
        """
        if kind is QueryKind.RESUME:
            return known is None or known.paused_term > 0
        if kind is QueryKind.STATUS and self.is_ending and report is not None:
            return report.paused_term > 0 or report.role is Role.PRIMARY
        return True

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

    async def resume_paused(
        self,
        server: ServerId,
        may_resume: Callable[[ServerReport], bool] = lambda report: True,
    ) -> CommandReply:
        """Resume a server if its STATUS shows a pause; return its last reply.

        RESUME follows that answer on its connection, so that neither a queue nor
        another command comes between them. A STATUS without a pause is not recorded.

        Parameters
        ----------
        server
            The server.
        may_resume
            Returns whether it may be resumed with a report that shows a pause.
        """
        pool = self.group.find_pool(server)
        if pool is None:
            return CommandReply()
        asked_at = read_boot_ms()
        sent = QueryKind.STATUS

        def choose_next(answer: Answer) -> Query | None:
            nonlocal asked_at, sent
            report = answer.report
            if report is None or not report.paused_term:
                return None
            if self.is_stopping or not may_resume(report):
                return None
            self._record_answer(server, sent, report, asked_at)
            if not self.is_held(read_boot_ms()):
                record_phase(self.group, "lease-expired", withheld=f"resume {server}")
                return None
            asked_at, sent = read_boot_ms(), QueryKind.RESUME
            self.resuming += 1
            return Query(kind=sent)

        try:
            answer = await pool.run_alone(
                Query(kind=sent),
                COMMAND_PRIORITY,
                COMMAND_TIMEOUT_MS,
                choose_next=choose_next,
            )
        except (NoConnectionError, ConnectionLostError) as error:
            record_phase(
                self.group,
                "no-answer",
                server=server,
                command=sent.value,
                why=str(error),
            )
            return CommandReply()
        finally:
            self.resuming -= sent is QueryKind.RESUME
        if answer.failure is not None:
            why = str(answer.failure)
            record_phase(
                self.group, "refused", server=server, command=sent.value, why=why
            )
        elif sent is QueryKind.RESUME:
            self._record_answer(server, sent, answer.report, asked_at)
        return CommandReply(report=answer.report, refused=answer.report is None)
