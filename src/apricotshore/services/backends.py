"""Connections to backend servers, and the pool for one server."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import aiomysql
from pymysql.constants import FIELD_TYPE
from pymysql.err import Error as MySqlError
from pymysql.err import InterfaceError, OperationalError

from ..bundles import BackendServer
from ..groups import Claim, LogPosition, Role, ServerStatus, TermHistory
from ..identifiers import (
    BundleVersion,
    HostId,
    OwnerEpoch,
    Position,
    ServerId,
    Term,
)
from ..requests import Row

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 0.7
DATABASE_NAME = "main"
PROGRAM_NAME = "apricotshore"

# Codes that the MySQL client library raises itself, without an error of the server.
CLIENT_ERRORS = range(2000, 3000)

_CONVERSIONS: dict[int, Callable[[str], Any]] = {
    FIELD_TYPE.TINY: int,
    FIELD_TYPE.SHORT: int,
    FIELD_TYPE.LONG: int,
    FIELD_TYPE.LONGLONG: int,
    FIELD_TYPE.INT24: int,
    FIELD_TYPE.FLOAT: float,
    FIELD_TYPE.DOUBLE: float,
}


class LostConnectionError(Exception):
    """The connection to a backend server failed or timed out."""


class StatementError(Exception):
    """The backend server returned an error for a statement.

    Parameters
    ----------
    code, text
        As the server sent them.
    """

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


@dataclass(frozen=True, kw_only=True, slots=True)
class StatementResult:
    """Columns, rows and counts that a statement returned."""

    columns: tuple[str, ...]
    rows: tuple[Row, ...]
    affected_rows: int
    last_insert_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Address and account of a backend server.

    Parameters
    ----------
    server
        The backend server.
    user, password
        Account at the server.
    host
        Host that connects; part of the connection's program name.
    """

    server: BackendServer
    user: str
    password: str
    host: HostId


class BackendConnection:
    """One connection, used by one task at a time.

    Parameters
    ----------
    raw
        Connection of the client library.
    term
        Term sent with writes on this connection.
    """

    def __init__(self, *, raw: aiomysql.Connection, term: Term) -> None:
        self.raw = raw
        self.term = term
        self.clean = True

    async def run(self, sql: str, timeout_s: float) -> StatementResult:
        """Run a statement.

        Raises
        ------
        StatementError
            When the server returned an error.
        LostConnectionError
            When no complete result arrived; the connection is closed.
        """
        self.clean = False
        try:
            result = await asyncio.wait_for(self._run(sql), timeout_s)
        except (OperationalError, MySqlError) as error:
            code = error.args[0] if error.args else 0
            if isinstance(error, InterfaceError) or code in CLIENT_ERRORS or not code:
                self.close()
                raise LostConnectionError(str(error)) from None
            self.clean = True
            raise StatementError(int(code), str(error.args[-1])) from None
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.close()
            raise LostConnectionError(repr(error)) from None
        except BaseException:
            self.close()
            raise
        self.clean = True
        return result

    async def _run(self, sql: str) -> StatementResult:
        async with self.raw.cursor() as cursor:
            await cursor.execute(sql)
            rows = await cursor.fetchall() if cursor.description else ()
            columns = tuple(column[0] for column in cursor.description or ())
            return StatementResult(
                columns=columns,
                rows=tuple(rows),
                affected_rows=max(cursor.rowcount, 0),
                last_insert_id=cursor.lastrowid or 0,
            )

    def close(self) -> None:
        """Close at once, so that the server rolls back an open transaction."""
        self.clean = False
        self.raw.close()

    @property
    def usable(self) -> bool:
        """Whether the connection may be used for further statements."""
        return self.clean and not self.raw.closed


async def open_connection(endpoint: Endpoint, term: Term) -> BackendConnection:
    """Connect and set the term that is sent with writes.

    Raises
    ------
    LostConnectionError
        When the server cannot be reached or refuses the connection.
    """
    address, _, port = endpoint.server.address.rpartition(":")
    try:
        raw = await asyncio.wait_for(
            aiomysql.connect(
                host=address,
                port=int(port),
                user=endpoint.user,
                password=endpoint.password,
                db=DATABASE_NAME,
                autocommit=None,
                program_name=f"{PROGRAM_NAME}/{endpoint.host}",
                conv=_CONVERSIONS,
            ),
            CONNECT_TIMEOUT_S,
        )
    except (OSError, TimeoutError, MySqlError, asyncio.IncompleteReadError) as error:
        raise LostConnectionError(f"{endpoint.server.server}: {error!r}") from None
    connection = BackendConnection(raw=raw, term=term)
    if term:
        try:
            await connection.run(f"SET SESSION group_term = {term}", CONTROL_TIMEOUT_S)
        except StatementError as error:
            connection.close()
            raise LostConnectionError(error.text) from None
    return connection


async def read_status(connection: BackendConnection) -> ServerStatus:
    """Read the status of a server."""
    result = await connection.run("CALL group_status()", CONTROL_TIMEOUT_S)
    row = dict(zip(result.columns, result.rows[0], strict=True))
    starts = tuple(
        LogPosition(term=Term(t), position=Position(p))
        for t, p in json.loads(str(row["lineage"]))
    )
    return ServerStatus(
        server=ServerId(str(row["server"])),
        role=Role(str(row["role"])),
        term=Term(_to_int(row["term"])),
        end=LogPosition(
            term=Term(_to_int(row["last_term"])),
            position=Position(_to_int(row["position"])),
        ),
        applied=Position(_to_int(row["applied"])),
        term_history=TermHistory(starts=starts),
        behind_ms=_to_int(row["behind_ms"]),
        contact_ms=_to_int(row["contact_ms"]),
        leaving=bool(_to_int(row["leaving"])),
        incarnation=_to_int(row["incarnation"]),
    )


def _to_int(cell: object) -> int:
    return int(str(cell))


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitState:
    """Whether a majority holds the log up to ``log_position``."""

    log_position: LogPosition
    durable: bool


async def wait_commit(
    connection: BackendConnection, timeout_ms: int, confirm: bool
) -> CommitState:
    """Wait until a majority holds the primary's log.

    Parameters
    ----------
    connection
        Connection to the primary.
    timeout_ms
        Timeout of the wait.
    confirm
        Whether a majority must also confirm, after the call, that the
        server is still the primary.
    """
    result = await connection.run(
        f"CALL group_commit_wait({timeout_ms}, {int(confirm)})",
        timeout_ms / 1000 + CONTROL_TIMEOUT_S,
    )
    term, position, durable = (_to_int(cell) for cell in result.rows[0])
    log_position = LogPosition(term=Term(term), position=Position(position))
    return CommitState(log_position=log_position, durable=bool(durable))


async def read_claim(connection: BackendConnection) -> Claim | None:
    """Read the claim at a server; None if there is none or the read is rejected."""
    try:
        result = await connection.run(
            "SELECT epoch, host, address, bundle FROM apricotshore_claim",
            CONTROL_TIMEOUT_S,
        )
    except StatementError:
        return None
    if not result.rows:
        return None
    epoch, host, address, bundle = result.rows[0]
    return Claim(
        epoch=OwnerEpoch(_to_int(epoch)),
        host=HostId(str(host)),
        address=str(address),
        bundle=BundleVersion(_to_int(bundle)),
    )


async def kill_foreign_connections(
    connection: BackendConnection, local_host: HostId
) -> list[HostId]:
    """Kill the connections of other hosts at a server.

    Returns
    -------
    list of HostId
        Hosts whose connections were killed.
    """
    result = await connection.run("SHOW PROCESSLIST", CONTROL_TIMEOUT_S)
    own = f"{PROGRAM_NAME}/{local_host}"
    killed: list[HostId] = []
    for number, _user, program in result.rows:
        name = str(program)
        if name.startswith(f"{PROGRAM_NAME}/") and name != own:
            await connection.run(f"KILL {_to_int(number)}", CONTROL_TIMEOUT_S)
            killed.append(HostId(name.removeprefix(f"{PROGRAM_NAME}/")))
    return killed


class BackendPool:
    """Bounded pool of connections to one backend server.

    Parameters
    ----------
    endpoint
        Server to connect to.
    limit
        Maximum number of connections.
    check
        Awaited with each new connection before its use; raises to reject it.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        limit: int,
        check: Callable[[BackendConnection], Awaitable[None]],
    ) -> None:
        self.endpoint = endpoint
        self.limit = limit
        self.check = check
        self.idle: list[BackendConnection] = []
        self.used: set[BackendConnection] = set()
        self.free = asyncio.Semaphore(limit)

    async def acquire(self, term: Term) -> BackendConnection:
        """Acquire an idle connection of a term, or open a new one.

        Raises
        ------
        LostConnectionError
            When all connections are in use or none can be opened.
        """
        try:
            await asyncio.wait_for(self.free.acquire(), CONNECT_TIMEOUT_S)
        except TimeoutError:
            raise LostConnectionError("all connections are in use") from None
        try:
            while self.idle:
                connection = self.idle.pop()
                if connection.usable and connection.term == term:
                    break
                connection.close()
            else:
                connection = await open_connection(self.endpoint, term)
                try:
                    await self.check(connection)
                except BaseException:
                    connection.close()
                    raise
        except BaseException:
            self.free.release()
            raise
        self.used.add(connection)
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool; close it unless it is known to be clean."""
        if connection not in self.used:
            return
        self.used.discard(connection)
        if connection.usable:
            self.idle.append(connection)
        else:
            connection.close()
        self.free.release()

    def drop_all(self) -> None:
        """Close all connections, idle or in use."""
        for connection in [*self.idle, *self.used]:
            connection.close()
        self.idle.clear()

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self.idle) + len(self.used)
