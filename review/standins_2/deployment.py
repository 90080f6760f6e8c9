"""A small deployment: hosts as processes, and stand-ins for everything else."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from .servers import SERVICE, Group
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("luzon-pasig", "visayas-cebu", "mindanao-davao")
START_S = 30.0
PORTS = (20_000, 32_000)
STEP_S = 0.1
# The platform starts a process that has ended again after a short delay.
RESTART_S = 1.0
ROUTES = (
    ("orders", "primary", 800, 400),
    ("lookups", "bounded_staleness", 2_000, 800),
    ("batches", "read_your_writes", 800, 800),
)


class CannotRunError(Exception):
    """The deployment did not come up; the case says nothing."""


class Record:
    """File with what was sent, answered and run.

    Parameters
    ----------
    path
        The file.
    """

    def __init__(self, *, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def find_free_port(taken: set[int]) -> int:
    """Return a port of the loopback address that nobody listens on, and take it.

    It lies below those that the system gives to connections, so that none takes it
    before the host listens.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


class Host:
    """A host process, started with the command of the deploy file.

    Parameters
    ----------
    name, zone
        Its name and zone.
    settings
        Its settings file.
    caller_address, ready_address
        Addresses for callers and for the readiness check.
    log
        File of its output.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        settings: Path,
        caller_address: str,
        ready_address: str,
        log: Path,
    ) -> None:
        self.name = name
        self.zone = zone
        self.settings = settings
        self.caller_address = caller_address
        self.ready_address = ready_address
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "APRICOTSHORE_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def read_memory_mb(self) -> float:
        """Return the resident memory, 0 once the process has ended."""
        if self.process is None or not self.is_running:
            return 0.0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = [line for line in text.splitlines() if line.startswith("VmRSS:")]
        return int(found[0].split()[1]) / 1024 if found else 0.0

    async def is_ready(self) -> bool:
        """Return whether the readiness check gets a 200."""
        address, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(address, int(port))
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Deployment:
    """Store, one group of servers and some hosts.

    Parameters
    ----------
    record
        Where events are written.
    group_options
        Options of the group of servers.
    limits
        Lines of a host's settings for its memory, its descriptors and its bounds.
    tenants
        Tenants of the configuration, None for one without keys.
    connections
        Connections that a server accepts from all hosts together.
    """

    def __init__(
        self,
        *,
        record: Record,
        limits: Iterable[str] = ("memory = 300 MB", "descriptors = 4300"),
        tenants: list[dict[str, Any]] | None = None,
        connections: int = 38,
        **group_options: Any,
    ) -> None:
        self.record = record
        self.limits = tuple(limits)
        self.tenants = tenants
        self.connections = connections
        self.idle_transaction_ms = 3_000
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = Store()
        self.group = Group(store=self.store, connections=connections, **group_options)
        self.hosts: list[Host] = []
        self.store_address = ""
        self.ports: set[int] = set()

    async def start(self, hosts: int, idle_transaction_ms: int = 3_000) -> None:
        """Start everything, and wait until the hosts are ready."""
        self.store_address = await self.store.listen()
        self.idle_transaction_ms = idle_transaction_ms
        self.write_configuration(7)
        await self.group.start(ZONES)
        for number in range(hosts):
            host = self._make_host(f"front-{number + 1}", ZONES[number % len(ZONES)])
            host.start()
            self.hosts.append(host)
        await self.wait_until_ready()

    def write_configuration(self, version: int) -> None:
        """Write a version of the configuration, as the operator does."""
        routes = [
            {
                "name": f"r-{database}",
                "database": database,
                "pathPrefix": "/",
                "type": kind,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": target_ms,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "maxStalenessMs": 1_500,
            }
            for database, kind, timeout_ms, target_ms in ROUTES
        ]
        service = {
            "name": SERVICE,
            "maxConnections": self.connections,
            "syncReplicas": 1,
        }
        configuration: dict[str, Any] = {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": {"txIdleMs": self.idle_transaction_ms},
        }
        if self.tenants is not None:
            configuration["tenants"] = self.tenants
        self.store.put("config", "main", configuration)

    def _make_host(self, name: str, zone: str) -> Host:
        ports = [find_free_port(self.ports) for _ in range(4)]
        caller, ready, metrics, peer = (f"127.0.0.1:{port}" for port in ports)
        lines = [
            "[pooling-host]",
            f"name = {name}",
            f"data-centre = {zone}",
            f"caller-address = {caller}",
            f"ready-address = {ready}",
            f"metrics-address = {metrics}",
            f"peer-address = {peer}",
            f"store-address = {self.store_address}",
            f"promotion-address = {self.store_address}",
            "grace = 6 s",
            "apply-within = 3000 ms",
            "leave-within = 7000 ms",
            "stability-window = 5000 ms",
            "fenced = yes",
            *self.limits,
            "[regions]",
            *(f"{zone} = {zone.partition('-')[0]}" for zone in ZONES),
        ]
        settings = self.folder / f"{name}.ini"
        settings.write_text("\n".join(lines) + "\n")
        return Host(
            name=name,
            zone=zone,
            settings=settings,
            caller_address=caller,
            ready_address=ready,
            log=self.folder / f"{name}.log",
        )

    async def wait_until_ready(self) -> None:
        """Wait until all hosts are ready.

        Raises
        ------
        CannotRunError
            When one isn't in time.
        """
        try:
            async with asyncio.timeout(START_S):
                for host in self.hosts:
                    while not await host.is_ready():
                        await asyncio.sleep(STEP_S)
        except TimeoutError:
            raise CannotRunError("a host did not get ready") from None

    def stop(self) -> None:
        """End every host process, and remove the temporary folder."""
        for host in self.hosts:
            if host.process is not None and host.is_running:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            if host.process is not None:
                host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def is_disturbed() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
