"""Commands of one change of primary, and what it learns of their answers."""

import asyncio
from collections.abc import Callable, Iterable

from ..decisions import change_attempt, change_targets, known_ends
from ..decisions.change_actions import Secure
from ..decisions.change_attempt import Attempt
from ..decisions.change_members import read_status
from ..decisions.change_targets import NO_ANSWER_LIMIT_MS
from ..decisions.primary_return import QUESTION_MS, may_return
from ..identifiers import ServerId, Term
from ..queries import QueryKind, ServerReport
from ..services.clock import read_boot_ms
from .group import Group
from .group_commands import COMMAND_TIMEOUT_MS, NO_TERM, GroupCommands

# Pause before servers are asked again, and while a promotion is awaited.
STATUS_PAUSE_S = 0.02
# Commands that are repeated until a promotion takes effect: one without an answer
# must not delay the next.
HOLD_TIMEOUT_MS = 200
# Commands beside which a change goes on until its order. A server that takes long for
# each answers late; it is silent only once it has answered nothing for this long.
BESIDE_TIMEOUT_MS = NO_ANSWER_LIMIT_MS

# A command to a server, with its term.
Sent = tuple[ServerId, QueryKind, Term]


class ChangeCommands:
    """Sends the commands of one change of primary.

    Parameters
    ----------
    group
        The group.
    commands
        Sends commands to the servers of the group.
    attempt
        The change, which learns what was answered.
    record
        Records a phase of the change.
    """

    def __init__(
        self,
        *,
        group: Group,
        commands: GroupCommands,
        attempt: Attempt,
        record: Callable[..., None],
    ) -> None:
        self.group = group
        self.commands = commands
        self.attempt = attempt
        self.record = record
        # Commands that run without being waited for: those of before the order, and
        # those that hold servers, which wait for none of the others.
        self.sent: dict[Sent, asyncio.Task[None]] = {}
        self.holding: dict[Sent, asyncio.Task[None]] = {}

    async def command_all(
        self, servers: Iterable[ServerId], kind: QueryKind, term: Term = NO_TERM
    ) -> None:
        """Run a command at several servers; wait for those that the store lists."""
        asked = list(servers)
        for server in self.group.unlisted.keys() & set(asked):
            self.send(server, kind, term)
        listed = [s for s in asked if s not in self.group.unlisted]
        if not listed:
            await asyncio.sleep(STATUS_PAUSE_S)
        await asyncio.gather(*(self.command(s, kind, term) for s in listed))

    def send(self, server: ServerId, kind: QueryKind, term: Term) -> None:
        """Run a command without waiting for it, unless the last one still runs."""
        if (server, kind, term) in self.sent:
            return
        # Whether a silent primary is back shows only if questions follow each other.
        is_brief = server == self.attempt.replaced and may_return(self.attempt)
        timeout_ms = QUESTION_MS if is_brief else BESIDE_TIMEOUT_MS
        self._begin(self.sent, server, kind, term, timeout_ms)

    def hold(self, server: ServerId, kind: QueryKind, term: Term) -> None:
        """Run a command until an effect, unless the last such one still runs."""
        if (server, kind, term) not in self.holding:
            self._begin(self.holding, server, kind, term, HOLD_TIMEOUT_MS)

    def _begin(
        self,
        running: dict[Sent, asyncio.Task[None]],
        server: ServerId,
        kind: QueryKind,
        term: Term,
        timeout_ms: int,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self.command(server, kind, term, timeout_ms)
        )
        running[server, kind, term] = task

        def forget(done: asyncio.Task[None]) -> None:
            del running[server, kind, term]
            self.record_failure(server, done)

        task.add_done_callback(forget)

    def list_running(self) -> list[asyncio.Task[None]]:
        """Return the commands that run without being waited for."""
        return [*self.sent.values(), *self.holding.values()]

    def record_failure(self, server: ServerId, done: asyncio.Task[None]) -> None:
        """Record why a task on behalf of a server failed, if it did."""
        if not done.cancelled() and done.exception() is not None:
            self.record("failed", server=server, why=repr(done.exception()))

    async def command(
        self,
        server: ServerId,
        kind: QueryKind,
        term: Term,
        timeout_ms: int = COMMAND_TIMEOUT_MS,
    ) -> None:
        """Run a command at one server, and take its answer."""
        asked_at = read_boot_ms()
        reply = await self.commands.ask(server, kind, term, timeout_ms)
        if reply.report is not None:
            self.update_status(server, reply.report, asked_at, kind)
            return
        # A replica that refuses a command lives, and is asked again before an order.
        is_replica = change_targets.is_known_replica(self.attempt, server)
        if not (reply.refused and is_replica):
            change_attempt.remove_status(self.attempt, server, read_boot_ms())
        if reply.is_stopped:
            self.attempt.stopped.add(server)
        if reply.refused:
            change_attempt.observe_refusal(self.attempt, server)

    def send_beside(self, step: Secure) -> None:
        """Send the commands that run beside a round of confirmations."""
        for server in step.paused:
            self.send(server, QueryKind.PAUSE, step.term)
        for server in step.asked:
            self.send(server, QueryKind.STATUS, NO_TERM)
        if step.former is not None:
            self.send(step.former, QueryKind.STEP_DOWN, step.term)

    def update_status(
        self,
        server: ServerId,
        report: ServerReport,
        asked_at: int,
        kind: QueryKind = QueryKind.STEP_DOWN,
    ) -> None:
        """Take a server's answer to a command."""
        known_ends.observe_end(self.group.known_ends, server, report.received)
        change_attempt.update_status(
            self.attempt, server, read_status(report, kind), read_boot_ms(), asked_at
        )
