"""Open transactions of one database, each on its own connection."""

import asyncio
import uuid
from dataclasses import dataclass, field

from ..identifiers import CallerId, HostId, ServerId, TransactionId
from ..requests import Action, Reply, Request
from ..verdicts import Reason, Verdict
from . import executor
from .backends import BackendConnection, BackendPool, StatementError
from .clock import read_monotonic_ms, read_wall_ms
from .executor import Progress

IDLE_TIMEOUT_MS = 10_000


@dataclass(kw_only=True)
class Transaction:
    """An open transaction and the connection reserved for it.

    Parameters
    ----------
    transaction
        Identifier of the transaction.
    caller
        Caller that began it.
    server, connection, pool
        Primary, connection and the pool that the connection returns to.
    origin
        Entry host of the caller.
    last_used_at
        Monotonic milliseconds when the last statement began.
    lock
        Held while a statement runs.
    """

    transaction: TransactionId
    caller: CallerId
    server: ServerId
    connection: BackendConnection
    pool: BackendPool
    origin: HostId
    last_used_at: int
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class TransactionTable:
    """Table of the open transactions of one database."""

    def __init__(self) -> None:
        self.open: dict[TransactionId, Transaction] = {}

    def __len__(self) -> int:
        """Return the number of open transactions."""
        return len(self.open)

    def find(self, transaction: TransactionId) -> Transaction | None:
        """Return an open transaction, or None when there is none of that id."""
        return self.open.get(transaction)

    async def begin(
        self,
        request: Request,
        origin: HostId,
        server: ServerId,
        pool: BackendPool,
        connection: BackendConnection,
    ) -> Reply:
        """Begin a transaction and reserve the connection for it.

        Raises
        ------
        RequestFailedError
            With verdict ``ran`` when the request id is already recorded.
        """
        try:
            await connection.run("BEGIN", executor.CONTROL_TIMEOUT_S)
            if request.request_id and not await executor.record_request(
                connection, request, executor.RAN, read_wall_ms()
            ):
                await connection.run("ROLLBACK", executor.CONTROL_TIMEOUT_S)
                raise executor.make_error(
                    Verdict.RAN, Reason.DUPLICATE, "the transaction ran before"
                )
        except BaseException:
            pool.release(connection)
            raise
        transaction = Transaction(
            transaction=TransactionId(uuid.uuid4().hex),
            caller=request.caller,
            server=server,
            connection=connection,
            pool=pool,
            origin=origin,
            last_used_at=read_monotonic_ms(),
        )
        self.open[transaction.transaction] = transaction
        return Reply(server=server, transaction=transaction.transaction)

    async def run(
        self, request: Request, deadline_at: int, progress: Progress
    ) -> Reply:
        """Run the next statement of a transaction.

        Raises
        ------
        RequestFailedError
            When the caller has no such open transaction, or the commit was rejected
            or is not known to be durable.
        LostConnectionError
            When the connection failed; the transaction is ended.
        StatementError
            When the server returned an error. The transaction stays open, as in
            MySQL, unless the server no longer accepts writes.
        """
        transaction = self.open.get(request.transaction)
        if transaction is None or transaction.caller != request.caller:
            raise executor.make_error(
                Verdict.NOT_RUN,
                Reason.TRANSACTION_LOST,
                "the transaction was rolled back",
            )
        async with transaction.lock:
            transaction.last_used_at = read_monotonic_ms()
            try:
                return await self._run_statement(
                    request, deadline_at, transaction, progress
                )
            except StatementError as error:
                if error.code in executor.FENCED_CODES:
                    self.end(transaction, usable=False)
                raise
            except BaseException:
                self.end(transaction, usable=False)
                raise

    async def _run_statement(
        self,
        request: Request,
        deadline_at: int,
        transaction: Transaction,
        progress: Progress,
    ) -> Reply:
        connection = transaction.connection
        if request.action is Action.COMMIT:
            log_position = await executor.commit(connection, progress)
            self.end(transaction, usable=True)
            return Reply(log_position=log_position, server=transaction.server)
        if request.action is Action.ROLLBACK:
            await connection.run("ROLLBACK", executor.CONTROL_TIMEOUT_S)
            self.end(transaction, usable=True)
            return Reply(server=transaction.server)
        remaining_s = max(deadline_at - read_monotonic_ms(), 1) / 1000
        result = await connection.run(request.sql, remaining_s)
        return Reply(
            columns=result.columns,
            rows=result.rows,
            affected_rows=result.affected_rows,
            last_insert_id=result.last_insert_id,
            server=transaction.server,
            transaction=transaction.transaction,
        )

    def end(self, transaction: Transaction, usable: bool) -> None:
        """End a transaction and return its connection to the pool.

        A connection that is not usable is closed first, so that the server rolls
        the transaction back.
        """
        if not usable:
            transaction.connection.close()
        self.open.pop(transaction.transaction, None)
        transaction.pool.release(transaction.connection)

    def rollback_caller(self, caller: CallerId) -> None:
        """Roll back all transactions of a caller."""
        for transaction in list(self.open.values()):
            if transaction.caller == caller:
                self.end(transaction, usable=False)

    def rollback_origin(self, origin: HostId) -> None:
        """Roll back a disconnected entry host's transactions that run no statement."""
        for transaction in list(self.open.values()):
            if transaction.origin == origin and not transaction.lock.locked():
                self.end(transaction, usable=False)

    def rollback_quiet(self) -> None:
        """Roll back the transactions that run no statement."""
        for transaction in list(self.open.values()):
            if not transaction.lock.locked():
                self.end(transaction, usable=False)

    def rollback_idle(self) -> None:
        """Roll back transactions idle for longer than ``IDLE_TIMEOUT_MS``."""
        oldest = read_monotonic_ms() - IDLE_TIMEOUT_MS
        for transaction in list(self.open.values()):
            if transaction.last_used_at < oldest and not transaction.lock.locked():
                self.end(transaction, usable=False)

    def clear(self) -> None:
        """Remove all transactions; the pools close their connections."""
        self.open.clear()
