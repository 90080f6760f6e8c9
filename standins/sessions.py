"""Client sessions of a stand-in backend server.

Group operations are statements: ``CALL group_status()``, ``group_fence``,
``group_promote``, ``group_follow`` and ``group_commit_wait``. Faults are set by
``CALL standin_set('name', value)``.
"""

import asyncio
import json
import re
import sqlite3
import time

from mysql_mimic.errors import SQLSTATES, ErrorCode, MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from .group import Group
from .log import Entry

_CALL = re.compile(r"^\s*call\s+(\w+)\s*\((.*)\)\s*$", re.I | re.S)
_WORK = re.compile(r"work_ms='(\d+)'")
_COMMENT = re.compile(r"/\*.*?\*/", re.S)
_SET_TERM = re.compile(r"^\s*set\s+(?:session\s+)?group_term\s*=\s*(\d+)", re.I)
_KILL = re.compile(r"^\s*kill\s+(?:connection\s+)?(\d+)", re.I)


def _make_code(number: int, sqlstate: bytes) -> ErrorCode:
    code = int.__new__(ErrorCode, number)
    code._name_ = f"E{number}"
    code._value_ = number
    SQLSTATES[code] = sqlstate
    return code


DUPLICATE_KEY = _make_code(1062, b"23000")
READ_ONLY = _make_code(1290, b"HY000")
FENCED = _make_code(3100, b"HY000")

STATUS_COLUMNS = [
    "server",
    "role",
    "term",
    "last_term",
    "position",
    "applied",
    "lineage",
    "behind_ms",
    "contact_ms",
    "leaving",
    "incarnation",
]


class Session(BaseSession):
    """Session of one client connection."""

    def __init__(self, *, group: Group) -> None:
        self.group = group
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self.term: int | None = None
        self.in_transaction = False
        self.holds_lock = False
        self.pending: list[str] = []
        self.affected = 0
        self.insert_id = 0
        self.sqlite_connection: sqlite3.Connection | None = None
        self.connection = None

    async def init(self, connection) -> None:
        """Open the database after the ``connect_ms`` delay.

        OK packets of this connection report the affected rows and the insert id.
        """
        self.connection = connection
        plain_ok = connection.ok

        def ok(**kwargs):
            if not kwargs:
                kwargs = {
                    "affected_rows": self.affected,
                    "last_insert_id": self.insert_id,
                }
            return plain_ok(**kwargs)

        connection.ok = ok
        await asyncio.sleep(self.group.faults.connect_ms / 1000)
        self.sqlite_connection = self.group.open_database()

    async def close(self) -> None:
        """Roll back and close the database."""
        self.rollback()
        if self.sqlite_connection is not None:
            self.sqlite_connection.close()

    async def reset(self) -> None:
        """Roll back the open transaction."""
        self.rollback()

    def rollback(self) -> None:
        """Discard the open transaction and release the write lock."""
        self.pending = []
        self.in_transaction = False
        if self.holds_lock:
            self.holds_lock = False
            if (
                self.sqlite_connection is not None
                and self.sqlite_connection.in_transaction
            ):
                self.sqlite_connection.execute("ROLLBACK")
            self.group.write_lock.release()

    async def use(self, database: str) -> None:
        """Change the default database."""
        self.database = database

    async def handle_query(self, sql: str, attrs):
        """Run one statement, after the delays of the injected faults."""
        faults = self.group.faults
        while faults.mute:
            await asyncio.sleep(0.02)
        if faults.latency_ms:
            await asyncio.sleep(2 * faults.latency_ms / 1000)
        self.affected = self.insert_id = 0
        bare = _COMMENT.sub(" ", sql).strip().rstrip(";")
        call = _CALL.match(bare)
        if call:
            return await self.call(call.group(1).lower(), call.group(2))
        if match := _SET_TERM.match(bare):
            self.term = int(match.group(1))
            return None
        if match := _KILL.match(bare):
            await self.group.control.kill(int(match.group(1)))
            return None
        verb = bare.split(None, 1)[0].lower() if bare else ""
        if verb == "set":
            return None
        if bare.lower().startswith("show processlist"):
            return self.list_connections()
        return await self.run(verb, bare, sql)

    def list_connections(self):
        """Return the rows of the process list."""
        rows = [
            (
                number,
                c.session.username or "",
                c.client_connect_attrs.get("program_name", ""),
            )
            for number, c in self.group.control.connections.items()
        ]
        return rows, ["Id", "User", "Info"]

    async def call(self, name: str, text: str):
        """Run a stored procedure of the group or of the stand-in."""
        arguments = json.loads("[" + text.replace("'", '"') + "]")
        group = self.group
        if name == "group_status":
            return [group.status()], STATUS_COLUMNS
        if name == "group_fence":
            granted = group.fence(int(arguments[0]), arguments[1])
            row = [int(granted), group.term, group.log.last_term, group.log.end]
            return [row], ["granted", "term", "last_term", "position"]
        if name == "group_promote":
            done = await group.promote(int(arguments[0]), arguments[1])
            return [[int(done)]], ["done"]
        if name == "group_follow":
            host, port = arguments[2].rsplit(":", 1)
            done = group.follow(int(arguments[0]), arguments[1], host, int(port))
            return [[int(done)]], ["done"]
        if name == "group_commit_wait":
            return await self.wait_commit(int(arguments[0]), bool(arguments[1]))
        if name == "standin_set":
            setattr(group.faults, arguments[0], int(arguments[1]))
            return None
        if name == "standin_reads":
            return [[group.reads]], ["reads"]
        if name == "standin_peak":
            return [[group.control.peak]], ["peak"]
        raise MysqlError(f"unknown procedure {name}", ErrorCode.UNKNOWN_PROCEDURE)

    async def wait_commit(self, timeout_ms: int, confirm: bool):
        """Wait until a majority has this primary's log, and return the result row.

        With ``confirm``, the log counts as durable only if a majority of the group is
        in contact with this primary afterwards.
        """
        group = self.group
        term, end = group.term, group.log.end
        deadline = time.monotonic() + timeout_ms / 1000

        def settled() -> bool:
            return group.commit >= end or group.role != "primary" or group.term != term

        while not settled() and time.monotonic() < deadline:
            await group.wait_for_change()
        durable = group.role == "primary" and group.term == term and group.commit >= end
        if durable and confirm and not await self.confirm(deadline):
            durable = False
        return [[term, end, int(durable)]], ["term", "position", "durable"]

    async def confirm(self, deadline: float) -> bool:
        """Return whether a majority is in contact with this primary."""
        group = self.group
        started_at = time.monotonic()
        needed = group.options.members // 2
        while time.monotonic() < deadline and group.role == "primary":
            fresh = sum(1 for t in group.ack_times.values() if t >= started_at)
            if fresh >= needed:
                return True
            group.ping.set()
            await group.wait_for_change()
        return False

    async def run(self, verb: str, bare: str, sql: str):
        """Run a statement; reads, writes and commits occupy a slot."""
        group = self.group
        if verb in ("begin", "start"):
            self.in_transaction = True
            return None
        if verb == "rollback":
            self.rollback()
            return None
        match = _WORK.search(sql)
        work = int(match.group(1)) if match else group.faults.work_ms
        is_read = verb in (
            "select",
            "show",
            "explain",
            "with",
        ) and "for update" not in (bare.lower())
        if not is_read and verb != "commit":
            await self.acquire_write()
        async with group.slots:
            await asyncio.sleep(work / 1000)
            if verb == "commit":
                await self.commit()
                return None
            return self.execute(bare, is_read)

    async def acquire_write(self) -> None:
        """Acquire the write lock and begin a write transaction."""
        group = self.group
        self.check_writable()
        if not self.holds_lock:
            await group.write_lock.acquire()
            self.holds_lock = True
            try:
                self.check_writable()
                self.sqlite_connection.execute("BEGIN IMMEDIATE")
            except BaseException:
                self.rollback()
                raise

    def check_writable(self) -> None:
        """Raise unless this is the primary and the session's term is current."""
        group = self.group
        if group.role != "primary":
            self.rollback()
            raise MysqlError("server is not the primary", READ_ONLY)
        if self.term is not None and self.term != group.term:
            self.rollback()
            raise MysqlError(f"term {self.term} is fenced by {group.term}", FENCED)

    def execute(self, bare: str, is_read: bool):
        """Execute a statement in sqlite."""
        assert self.sqlite_connection is not None
        try:
            if not is_read:
                self.check_writable()
            cursor = self.sqlite_connection.execute(bare.replace("\\'", "''"))
            rows = cursor.fetchall() if cursor.description else []
        except sqlite3.IntegrityError as error:
            self.rollback_autocommit()
            raise MysqlError(str(error), DUPLICATE_KEY) from None
        except sqlite3.Error as error:
            self.rollback_autocommit()
            raise MysqlError(str(error), ErrorCode.PARSE_ERROR) from None
        if cursor.description:
            self.group.reads += "delivery" in bare
            return rows, [c[0] for c in cursor.description]
        self.affected = max(cursor.rowcount, 0)
        self.insert_id = cursor.lastrowid or 0
        self.pending.append(bare.replace("\\'", "''"))
        if not self.in_transaction:
            self.finish_commit()
        return None

    def rollback_autocommit(self) -> None:
        """Roll back a failed statement outside a transaction."""
        if not self.in_transaction:
            self.rollback()

    async def commit(self) -> None:
        """Commit the open transaction; a read-only one writes nothing."""
        if self.holds_lock:
            self.check_writable()
            self.finish_commit()
        self.in_transaction = False

    def finish_commit(self) -> None:
        """Commit in sqlite, append the writes to the log and release the write lock."""
        group = self.group
        self.sqlite_connection.execute("COMMIT")
        if self.pending:
            entry = Entry(term=group.term, statements=tuple(self.pending))
            group.applied = group.log.append(entry)
            group.arrivals = group.arrivals[: group.log.end - 1]
            group.arrivals.append(time.monotonic())
            group.ping.set()
        self.pending = []
        self.holds_lock = False
        group.write_lock.release()
