"""Deployment of stand-ins and hosts as separate processes on loopback."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import aiomysql
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from apricotshore.bundles import parse_bundle
from apricotshore.identifiers import PersonId
from apricotshore.keys import encode_public_key, save_key
from apricotshore.services import operations
from apricotshore.services.platform import PlatformClient

from .ports import reserve_port

PASSWORD = "hop-bine"
READY_TIMEOUT_S = 15.0
SCHEMA = (
    "CREATE TABLE delivery (id INTEGER PRIMARY KEY AUTOINCREMENT, "
    "member TEXT, amount INTEGER, note TEXT);"
    "CREATE INDEX delivery_member ON delivery (member, amount)"
)


@dataclass(kw_only=True)
class DeploymentOptions:
    """Options of a deployment on loopback."""

    hosts: int = 2
    databases: tuple[str, ...] = ("deliveries",)
    servers: int = 3
    slots: int = 3
    connections: int = 20
    connect_ms: int = 10
    latency_ms: float = 0
    work_ms: int = 1
    lag_ms: int = 0
    data_centres: tuple[str, ...] = ("braga-a", "regua-a", "lisboa-a")
    callers: tuple[str, ...] = ("members-app", "old-branch")
    kinds: str = ""
    policy: str = "fair"
    peer_tls: str = ""
    drain_ms: int = 20_000


DEFAULT_KINDS = """
[kind balance]
staleness = 5 s
deadline = 3 s
weight = 2

[kind delivery]
deadline = 6 s
weight = 8
"""


@dataclass(kw_only=True)
class Deployment:
    """Processes of one deployment; `stop` ends them and gives their ports back."""

    options: DeploymentOptions
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="aps-")))
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    ports: dict[tuple[str, str], socket.socket] = field(default_factory=dict)
    keys: dict[str, Ed25519PrivateKey] = field(default_factory=dict)
    version: int = 0
    evidence_key: Ed25519PrivateKey = field(default_factory=Ed25519PrivateKey.generate)

    # -- addresses --

    def find_port(self, process: str, use: str) -> int:
        """Return the port of a process for one use, the same at every call."""
        key = process, use
        if key not in self.ports:
            self.ports[key] = reserve_port()
        return self.ports[key].getsockname()[1]

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f"127.0.0.1:{self.find_port('platform', 'store')}"

    def server_names(self, database: str) -> list[str]:
        """Return the names of the servers of a database."""
        return [f"{database}-{n + 1}" for n in range(self.options.servers)]

    def server_port(self, name: str) -> int:
        """Return the port of a backend server."""
        return self.find_port(name, "callers")

    def replication_port(self, name: str) -> int:
        """Return the port at which a backend server sends what it has committed."""
        return self.find_port(name, "replication")

    def host_ports(self, number: int) -> tuple[int, int, int]:
        """Return the caller, peer and status port of a host."""
        name = f"host-{number}"
        uses = ("callers", "peers", "status")
        caller, peer, status = (self.find_port(name, use) for use in uses)
        return caller, peer, status

    # -- processes --

    def spawn(self, name: str, arguments: list[str]) -> None:
        """Start a process whose output goes to a log file."""
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            cwd=Path(__file__).parent.parent,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        port = str(self.find_port("platform", "store"))
        self.spawn("platform", ["-m", "standins.platform", "--port", port])

    def start_server(self, name: str, primary: bool = False) -> None:
        """Start one backend server."""
        options = self.options
        arguments = ["-m", "standins.backend", "--server", name]
        flags = {
            "--port": self.server_port(name),
            "--replication-port": self.replication_port(name),
            "--members": options.servers,
            "--slots": options.slots,
            "--connections": options.connections,
            "--connect-ms": options.connect_ms,
            "--latency-ms": options.latency_ms,
            "--work-ms": options.work_ms,
            "--lag-ms": options.lag_ms,
            "--schema": SCHEMA,
        }
        for flag, value in flags.items():
            arguments += [flag, str(value)]
        if primary:
            arguments.append("--primary")
        self.spawn(name, arguments)

    def start_host(self, number: int) -> None:
        """Write a host's settings and start it."""
        path = self.write_settings(number)
        arguments = ["-m", "apricotshore", "run", str(path)]
        arguments += ["--policy", self.options.policy]
        self.spawn(f"host-{number}", arguments)

    def write_settings(self, number: int) -> Path:
        """Write the settings file of a host and return its path."""
        caller, peer, status = self.host_ports(number)
        data_centre = self.options.data_centres[number % len(self.options.data_centres)]
        seeds = ", ".join(
            f"127.0.0.1:{self.host_ports(n)[1]}"
            for n in range(self.options.hosts)
            if n != number
        )
        trusted = "\n".join(
            f"{p} = {encode_public_key(self.keys[p])}" for p in self.keys
        )
        key_path = self.folder / "evidence.key"
        if not key_path.exists():
            save_key(key_path, self.evidence_key)
        path = self.folder / f"host-{number}.ini"
        path.write_text(
            f"[host]\nname = host-{number}\ndata-centre = {data_centre}\n"
            f"caller-address = 127.0.0.1:{caller}\npeer-address = 127.0.0.1:{peer}\n"
            f"status-address = 127.0.0.1:{status}\n"
            f"platform-address = {self.platform_address}\nseeds = {seeds}\n"
            f"drain = {self.options.drain_ms} ms\n"
            f"evidence-signer = fleet\nevidence-key = {key_path}\n"
            f"[trusted-keys]\n{trusted}\n{self.options.peer_tls}"
        )
        return path

    # -- life cycle --

    async def start(self) -> None:
        """Start all processes and roll out the first bundle."""
        self.keys = {p: Ed25519PrivateKey.generate() for p in ("ana", "rui")}
        self.start_platform()
        for database in self.options.databases:
            for index, name in enumerate(self.server_names(database)):
                self.start_server(name, primary=index == 0)
        await self.wait_for(self._servers_answer)
        for database in self.options.databases:
            await self._join_replicas(database)
        await self.wait_for(self._list_hosts)
        await self.roll_out(self.options.callers)
        for number in range(self.options.hosts):
            self.start_host(number)
        for number in range(self.options.hosts):
            await self.wait_until_ready(number)

    async def wait_for(self, probe) -> None:
        """Repeat a probe until it succeeds; raise its error after the timeout."""
        for _ in range(int(READY_TIMEOUT_S / 0.05)):
            try:
                await probe()
                return
            except Exception:
                await asyncio.sleep(0.05)
        await probe()

    async def _servers_answer(self) -> None:
        for database in self.options.databases:
            for name in self.server_names(database):
                await self.command(name, "CALL group_status()")

    async def _join_replicas(self, database: str) -> None:
        names = self.server_names(database)
        port = self.replication_port(names[0])
        for name in names[1:]:
            await self.command(
                name, f"CALL group_follow(1, '{names[0]}', '127.0.0.1:{port}')"
            )

    async def _list_hosts(self) -> None:
        client = PlatformClient(address=self.platform_address)
        try:
            # With no hosts to write, the list call still waits for the platform.
            await client.list(operations.ObjectKind.HOST, operations.Purpose.MEMBERSHIP)
            for number in range(self.options.hosts):
                data_centre = self.options.data_centres[
                    number % len(self.options.data_centres)
                ]
                value = {
                    "address": f"127.0.0.1:{self.host_ports(number)[1]}",
                    "data_centre": data_centre,
                }
                await client.write(
                    operations.ObjectKind.HOST,
                    f"host-{number}",
                    json.dumps(value),
                    operations.Purpose.MEMBERSHIP,
                )
        finally:
            await client.close()

    async def wait_until_ready(self, number: int) -> None:
        """Wait until the health endpoint of a host answers."""
        url = f"http://127.0.0.1:{self.host_ports(number)[2]}/health"

        async def probe() -> None:
            await asyncio.to_thread(
                lambda: urllib.request.urlopen(url, timeout=1).read()
            )

        await self.wait_for(probe)

    def read_metrics(self, number: int) -> str:
        """Return the metrics page of a host."""
        url = f"http://127.0.0.1:{self.host_ports(number)[2]}/metrics"
        return urllib.request.urlopen(url, timeout=2).read().decode()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Kill every process of this deployment, also those that are suspended."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for probe in self.ports.values():
            probe.close()
        self.ports.clear()

    # -- bundles --

    def make_bundle(self, callers: tuple[str, ...], version: int) -> str:
        """Return the text of a bundle with these callers."""
        parts = [f"[bundle]\nversion = {version}\n"]
        for database in self.options.databases:
            for index, name in enumerate(self.server_names(database)):
                data_centre = self.options.data_centres[
                    index % len(self.options.data_centres)
                ]
                parts.append(
                    f"[backend-server {name}]\ndatabase = {database}\n"
                    f"address = 127.0.0.1:{self.server_port(name)}\n"
                    "replication-address = "
                    f"127.0.0.1:{self.replication_port(name)}\n"
                    f"data-centre = {data_centre}\nslots = {self.options.slots}\n"
                    f"connections = {self.options.connections}\n"
                )
        for caller in callers:
            parts.append(
                f"[caller {caller}]\ndatabases = {', '.join(self.options.databases)}\n"
                f"password-hash = {operations.hash_password(PASSWORD)}\n"
            )
        for person in self.keys:
            parts.append(
                f"[person {person}]\n"
                f"public-key = {encode_public_key(self.keys[person])}\n"
            )
        public = encode_public_key(self.evidence_key)
        parts.append(f"[signer fleet]\npublic-key = {public}\n")
        parts.append(self.options.kinds or DEFAULT_KINDS)
        return "\n".join(parts)

    async def roll_out(self, callers: tuple[str, ...]) -> None:
        """Propose and approve a bundle with these callers."""
        self.version += 1
        text = self.make_bundle(callers, self.version)
        bundle = parse_bundle(text, "bundle")
        client = PlatformClient(address=self.platform_address)
        try:
            name = await operations.propose_bundle(
                client, bundle, PersonId("ana"), self.keys["ana"]
            )
            await operations.approve_bundle(
                client, name, PersonId("rui"), self.keys["rui"]
            )
        finally:
            await client.close()

    # -- access --

    async def connect(
        self, number: int, caller: str = "members-app", database: str = ""
    ) -> aiomysql.Connection:
        """Connect to a host as a caller."""
        return await asyncio.wait_for(
            aiomysql.connect(
                host="127.0.0.1",
                port=self.host_ports(number)[0],
                user=caller,
                password=PASSWORD,
                db=database or self.options.databases[0],
                autocommit=True,
            ),
            5,
        )

    async def command(self, server: str, sql: str) -> tuple:
        """Run a statement at a backend server, not through a host."""
        connection = await aiomysql.connect(
            host="127.0.0.1",
            port=self.server_port(server),
            user="operator",
            db="main",
            autocommit=None,
            connect_timeout=1,
        )
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
                return tuple(await cursor.fetchall()) if cursor.description else ()
        finally:
            connection.close()

    async def find_primary(self, database: str = "") -> str:
        """Return the primary with the highest term; skip unreachable servers."""
        found = []
        for name in self.server_names(database or self.options.databases[0]):
            try:
                row = (await self.command(name, "CALL group_status()"))[0]
            except Exception:
                continue
            if row[1] == "primary":
                found.append((int(row[2]), name))
        return max(found)[1]

    async def set_fault(self, server: str, name: str, value: int) -> None:
        """Set a fault of a backend server."""
        await self.command(server, f"CALL standin_set('{name}', {value})")


async def run_sql(connection: aiomysql.Connection, sql: str) -> tuple:
    """Run a statement and return its rows, empty without a result set."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return tuple(await cursor.fetchall()) if cursor.description else ()
