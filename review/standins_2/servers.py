"""Stand-in for one database group: a primary and replicas that share one log.

Replication takes no time here. What varies is how long statements occupy a slot, and
what a read returns.
"""

import asyncio
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .store import Store

LINE_LIMIT = 1 << 21
BEAT_S = 1.2
QUEUE = 24
SERVICE = "ledger"
TERM = 3
# 1,000 Mbit/s.
LINK_BYTES_PER_S = 125e6


@dataclass(kw_only=True)
class Run:
    """A statement that a server ran.

    Parameters
    ----------
    request, text
        Id and text as the server received them.
    shape
        What an executed name was prepared as, empty for other statements.
    values
        Session values of the connection.
    """

    request: str
    text: str
    shape: str = ""
    values: dict[str, str] = field(default_factory=dict)


@dataclass(kw_only=True)
class Connection:
    """State of one connection to a server.

    Parameters
    ----------
    state
        State in the READY line.
    writes
        Ids of the writes of the open transaction.
    values, prepared
        Session values, and what each name was prepared as.
    """

    state: str = "I"
    writes: list[str] = field(default_factory=list)
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)


def read_one_row(item: str) -> Iterable[str]:
    """Return the rows of an item: a single short one."""
    return (f"row-of-{item[:40]}",)


class Link:
    """Link of the machine that the servers send to, with its bandwidth.

    Parameters
    ----------
    bytes_per_s
        Bandwidth.
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    async def pass_through(self, size: int) -> None:
        """Wait until a number of bytes has passed."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)


class Group:
    """Servers of one group.

    Parameters
    ----------
    store
        The platform's store, where they register.
    slots
        Statements that a server runs at a time.
    work_s
        Time for which a statement occupies a slot.
    queue
        Statements that wait for a slot before a server is full. A full one refuses with
        BUSY what takes work: to read, write, commit, and to prepare a statement.
    connections
        Connections that a server accepts.
    find_rows
        Returns the rows of an item.
    """

    def __init__(
        self,
        *,
        store: Store,
        slots: int = 3,
        work_s: float = 0.005,
        queue: int = QUEUE,
        connections: int = 38,
        find_rows: Callable[[str], Iterable[str]] = read_one_row,
    ) -> None:
        self.store = store
        self.slots = slots
        self.work_s = work_s
        self.queue = queue
        self.connections = connections
        self.find_rows = find_rows
        self.link = Link(bytes_per_s=LINK_BYTES_PER_S)
        self.position = 100
        self.runs: list[Run] = []
        # Ids of the writes of each commit.
        self.commits: list[tuple[str, ...]] = []
        self.servers: list[Server] = []
        self.beats: asyncio.Task[None] | None = None

    async def start(self, zones: Iterable[str]) -> None:
        """Start a server in each zone; the first one is the primary."""
        for zone in zones:
            server = Server(group=self, zone=zone, is_primary=not self.servers)
            await server.start()
            self.servers.append(server)
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for server in self.servers:
                self.store.put("servers", server.name, server.describe(sequence))
            await asyncio.sleep(BEAT_S)


class Server:
    """One server of a group."""

    def __init__(self, *, group: Group, zone: str, is_primary: bool) -> None:
        self.group = group
        self.zone = zone
        self.is_primary = is_primary
        self.name = f"i-{secrets.token_hex(4)}"
        self.address = ""
        self.slots = asyncio.Semaphore(group.slots)
        self.busy = 0
        self.connections = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=LINE_LIMIT
        )
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def describe(self, sequence: int) -> dict[str, object]:
        """Return this server's entry in the store."""
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "dbRole": "primary" if self.is_primary else "replica",
            "sequence": sequence,
        }

    @property
    def position(self) -> str:
        """End of the log."""
        return f"{TERM}.{self.group.position}"

    @property
    def is_full(self) -> bool:
        """Whether all slots and all places in the queue are taken."""
        return self.busy >= self.group.slots + self.group.queue

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        connection = Connection()
        try:
            words = (await _read(reader)).split(" ")
            if words[0] != "STARTUP" or words[1] != SERVICE or words[3] != self.name:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if self.connections > self.group.connections:
                writer.write(b"ERROR CONNLIMIT -\r\n")
                return
            writer.write(f"READY I {self.position}\r\n".encode())
            while True:
                word, request, text = (await _read(reader)).split(" ", 2)
                if word != "QUERY":
                    return
                rows, outcome = await self._run(connection, request, text)
                for row in rows:
                    await self.group.link.pass_through(len(row))
                    writer.write(f"ROW {row}\r\n".encode())
                    await writer.drain()
                ready = f"READY {connection.state} {self.position}"
                writer.write(f"{outcome}\r\n{ready}\r\n".encode())
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self.connections -= 1
            writer.close()

    async def _run(
        self, connection: Connection, request: str, text: str
    ) -> tuple[Iterable[str], str]:
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            # Every server of this stand-in holds the whole log.
            text = rest.partition(" ")[2]
            verb, _, rest = text.partition(" ")
        if verb == "PREPARE" and self.is_full:
            return (), f"ERROR BUSY {self.name}"
        if verb in ("SET", "PREPARE", "DEALLOC", "RESET", "ROLLBACK", "BEGIN"):
            return (), self._change(connection, verb, rest)
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            role = "primary" if self.is_primary else "replica"
            numbers = f"{TERM} {self.position} 0 0 {self.busy} {self.connections}"
            return (f"{role} {numbers}",), "COMPLETE -"
        return await self._occupy(connection, request, text)

    def _change(self, connection: Connection, verb: str, rest: str) -> str:
        if verb == "SET":
            name, _, value = rest.partition(" ")
            connection.values[name] = value
        elif verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            connection.prepared[name] = shape
        elif verb == "DEALLOC":
            connection.prepared.pop(rest, None)
        elif verb == "RESET":
            connection.values.clear()
            connection.prepared.clear()
        elif verb == "ROLLBACK":
            connection.state, connection.writes = "I", []
        elif not (self.is_primary or rest == "READ"):
            return f"ERROR READONLY {self.name}"
        else:
            connection.state = "T"
        return "COMPLETE -"

    async def _occupy(
        self, connection: Connection, request: str, text: str
    ) -> tuple[Iterable[str], str]:
        """Run a read, a write or a commit in a slot."""
        verb, _, rest = text.partition(" ")
        shape = ""
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return (), f"ERROR NOSTMT {self.name}"
            shape = connection.prepared[name]
            verb = shape.partition(" ")[0]
        if verb == "WRITE" and not self.is_primary:
            return (), f"ERROR READONLY {self.name}"
        if self.is_full:
            return (), f"ERROR BUSY {self.name}"
        self.busy += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.group.work_s)
        finally:
            self.busy -= 1
        self.group.runs.append(
            Run(request=request, text=text, shape=shape, values=dict(connection.values))
        )
        if verb == "WRITE":
            connection.writes.append(request)
        if verb == "COMMIT" or (verb == "WRITE" and connection.state == "I"):
            if connection.writes:
                self.group.position += 1
                self.group.commits.append(tuple(connection.writes))
            connection.state, connection.writes = "I", []
        rows = self.group.find_rows(rest) if verb == "READ" else ()
        return rows, f"COMPLETE {secrets.token_hex(8)}"


async def _read(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode()
