"""What clients make this host hold, and the connections closed for it."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Registry

from .. import intake
from ..identifiers import ClientNumber, OrganisationId
from ..intake import ClientConnection, IntakeLimits, Phase
from ..intake.limits import CONNECTION_BYTES
from ..services.clock import read_boot_ms
from .journal import EventKind, Journal
from .statement_gate import StatementGate
from .stopping import STOPPING

# Smaller changes aren't taken into account, so that ordinary statements cost nothing.
# The memory assumed for a connection covers them.
GRAIN_BYTES = 1 << 10


@dataclass(kw_only=True, eq=False)
class ClientAccount:
    """What one client makes this host hold, in bytes.

    Parameters
    ----------
    connection
        The client's connection.
    close
        Closes the connection, for a reason that the client is told if possible.
    organisation
        The client's organisation, None without one.
    unread, statement, answer, state
        Received and not yet taken; the statement that is in work; answers not yet
        sent; session values and prepared names.
    recorded
        All of these when the budget last took them into account.
    """

    connection: ClientConnection
    close: Callable[[str], None]
    organisation: OrganisationId | None = None
    unread: int = 0
    statement: int = 0
    answer: int = 0
    state: int = 0
    recorded: int = -GRAIN_BYTES

    @property
    def held_beside(self) -> int:
        """What it holds beside the connection."""
        return self.unread + self.statement + self.answer + self.state

    @property
    def held(self) -> int:
        """All that it holds, the connection included."""
        return CONNECTION_BYTES + self.held_beside


@dataclass(kw_only=True, eq=False)
class IntakeMetrics:
    """Counter and gauges of a registry.

    Parameters
    ----------
    registry
        Registry that exports them.
    """

    registry: Registry
    closed: Counter = field(init=False)
    held: Gauge = field(init=False)
    connections: Gauge = field(init=False)

    def __post_init__(self) -> None:
        """Register them."""
        self.closed = Counter(
            "apricotshore_callers_closed_total",
            "Connections of callers that were closed for a limit, by reason",
            registry=self.registry,
        )
        self.held = Gauge(
            "apricotshore_callers_held_bytes",
            "Bytes that callers make the host hold",
            registry=self.registry,
        )
        self.connections = Gauge(
            "apricotshore_caller_connections",
            "Connections of callers, by phase",
            registry=self.registry,
        )


class ClientIntake:
    """Limits for the clients of this host.

    Parameters
    ----------
    limits
        Limits in force.
    journal, metrics
        Where closed connections are reported; None for nowhere.
    """

    def __init__(
        self,
        *,
        limits: IntakeLimits,
        journal: Journal | None = None,
        metrics: IntakeMetrics | None = None,
    ) -> None:
        self.limits = limits
        self.journal = journal
        self.metrics = metrics
        self.budget = intake.Budget(limit=limits.budget)
        self.gate = StatementGate(limit=limits.statements)
        self.accounts: dict[ClientNumber, ClientAccount] = {}
        self.starting: set[ClientNumber] = set()
        self.numbers = itertools.count(1)

    def apply(self, limits: IntakeLimits) -> None:
        """Apply changed limits; connections over them are closed as others come."""
        self.limits = limits
        self.budget.limit = limits.budget
        self.gate.limit = limits.statements

    def open(self, close: Callable[[str], None]) -> ClientAccount:
        """Begin the account of a connection that was accepted."""
        number = ClientNumber(next(self.numbers))
        connection = ClientConnection(
            client=number, phase=Phase.STARTING, since=read_boot_ms()
        )
        account = ClientAccount(connection=connection, close=close)
        self.accounts[number] = account
        self.starting.add(number)
        self.update(account)
        return account

    def end(self, account: ClientAccount) -> None:
        """End the account of a connection whose descriptor is free."""
        self.accounts.pop(account.connection.client, None)
        self.starting.discard(account.connection.client)
        intake.forget(self.budget, account.connection.client)

    def update(self, account: ClientAccount) -> None:
        """Take what a client holds into account; close the largest if need be."""
        held = account.held_beside
        if -GRAIN_BYTES < held - account.recorded < GRAIN_BYTES:
            return
        if not self._is_open(account):
            return
        account.recorded = held
        number = account.connection.client
        organisation = account.organisation
        if intake.hold(self.budget, number, organisation, account.held):
            return
        while self.budget.total > self.budget.limit:
            largest = intake.choose_largest(self.budget)
            if largest is None:
                return
            self.close(self.accounts[largest.client], "memory is short")

    def enter(
        self, account: ClientAccount, phase: Phase, within_ms: int | None = None
    ) -> None:
        """Record what a connection waits for, and how long it may."""
        connection = account.connection
        if not self._is_open(account):
            return
        if connection.phase is Phase.STARTING:
            self.starting.discard(connection.client)
        now = read_boot_ms()
        connection.phase = phase
        connection.since = now
        connection.due_at = None if within_ms is None else now + within_ms

    def hurry(self, account: ClientAccount, within_ms: int) -> None:
        """Shorten the time for the rest of what a connection is sending."""
        connection = account.connection
        if connection.phase is not Phase.RECEIVING:
            return
        due_at = read_boot_ms() + within_ms
        if connection.due_at is None or connection.due_at > due_at:
            connection.due_at = due_at

    def close(self, account: ClientAccount, why: str) -> None:
        """Close a connection for a limit, and report it."""
        connection = account.connection
        if not self._is_open(account):
            return
        self.report(account, why)
        intake.forget(self.budget, connection.client)
        self.starting.discard(connection.client)
        account.close(why)
        connection.phase = Phase.CLOSING

    def _is_open(self, account: ClientAccount) -> bool:
        connection = account.connection
        return connection.phase is not Phase.CLOSING and (
            connection.client in self.accounts
        )

    def report_pause(self, why: str) -> None:
        """Report that no connection can be accepted for a moment."""
        if self.metrics is not None:
            self.metrics.closed.inc({"reason": "accepting pauses"})
        if self.journal is not None:
            connections = len(self.accounts)
            why = f"accepting pauses: {why}"
            self.journal.record(
                EventKind.CALLER_CLOSED, why=why, connections=connections
            )

    def report(self, account: ClientAccount, why: str) -> None:
        """Report that a connection is closed for a limit."""
        if self.metrics is not None:
            self.metrics.closed.inc({"reason": why})
        if self.journal is not None:
            self.journal.record(
                EventKind.CALLER_CLOSED,
                why=why,
                phase=account.connection.phase.value,
                phase_ms=read_boot_ms() - account.connection.since,
                held=account.held,
                held_by_all=self.budget.total,
                limit=self.budget.limit,
                connections=len(self.accounts),
            )

    # -- connections --

    def make_room(self) -> bool:
        """Return whether a connection may be accepted; close another if need be."""
        has_room = intake.may_accept(self.limits, len(self.accounts))
        if has_room and len(self.starting) < self.limits.starting:
            return True
        connections = [a.connection for a in self.accounts.values()]
        chosen = intake.choose_for_room(self.limits, connections, read_boot_ms())
        if chosen is not None:
            self.close(self.accounts[chosen], "too many connections")
        return intake.may_accept(self.limits, len(self.accounts))

    def close_silent(self) -> None:
        """Close the connections that have sent no whole start, as the host stops."""
        for number in list(self.starting):
            self.accounts[number].close(STOPPING)

    def close_overdue(self) -> None:
        """Close the connections whose time has passed."""
        connections = [a.connection for a in self.accounts.values()]
        for connection in intake.list_overdue(connections, read_boot_ms()):
            why = f"{connection.phase.value} for too long"
            self.close(self.accounts[connection.client], why)

    def refresh_metrics(self) -> None:
        """Update the gauges."""
        if self.metrics is None:
            return
        self.metrics.held.set({}, self.budget.total)
        for phase in Phase:
            connections = (a.connection.phase for a in self.accounts.values())
            count = sum(found is phase for found in connections)
            self.metrics.connections.set({"phase": phase.value}, count)
