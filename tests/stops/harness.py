"""Host processes that are stopped, with the soak's store and backend servers."""

import asyncio
import json
import os
import random
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from standins.ports import find_free_port
from tests.soak.callers import check_writes
from tests.soak.fleet import ROOT, SETTINGS
from tests.soak.model import Checker, Group, Leeway, Server, now
from tests.soak.servers import LineServer
from tests.soak.store import Store

from .callers import BOUNDED, MAX_STALENESS_S, PRIMARY, Crowd, Kind, Request

# Tree whose hosts are tested; this one unless it is named.
TREE = Path(os.environ.get("APRICOTSHORE_TEST_TREE", ROOT))
GRACE_S = 6
APPLY_S = 3
LEAVE_S = 7
START_S = 30.0
# RULES.md, Draining and shutdown: a statement sent within this time before its
# connection ends is lost only if a server was given it.
SLACK_S = 0.2
# The same: not lost is one that a server still works on in the last sixth of the grace
# if it was sent no later than this after the signal.
EXCUSED_UNTIL_S = 3.0
EXCUSED_SHARE = 5 / 6
TIMEOUT_MS = 1_500
GROUP = "g"
ZONES = ["a", "b", "c"]
REPORT_PERIOD_S = 0.05
POLL_S = 0.005
# Load of a host before its signal, and after its process has ended.
BEFORE_S = 0.7
AFTER_S = 0.3
# Lost statements, and characters of another finding, that a failure shows.
SHOWN = 12
SHOWN_CHARACTERS = 200


class CountingServer(LineServer):
    """Backend server that remembers which statements were passed on to it."""

    def __init__(self, *, passed_on: set[str], **settings: Any) -> None:
        super().__init__(**settings)
        self.passed_on = passed_on

    async def _run(self, connection, request, text):
        self.passed_on.add(request)
        return await super()._run(connection, request, text)


@dataclass(kw_only=True, eq=False)
class HostProcess:
    """A host and its processes, one after the other.

    Parameters
    ----------
    folder
        Folder of its settings and its logs.
    ports
        Its ports, and that of its store, as the settings name them.
    signal_at
        When its process got the first SIGTERM, 0 before.
    earlier_signals
        The same of its earlier processes.
    """

    name: str
    zone: str
    folder: Path
    ports: dict[str, int]
    process: asyncio.subprocess.Process | None = None
    started: int = 0
    signal_at: float = 0.0
    earlier_signals: list[float] = field(default_factory=list)

    @property
    def settings(self) -> Path:
        """Path of the settings file."""
        return self.folder / f"{self.name}.ini"

    @property
    def log(self) -> Path:
        """Log of the latest process."""
        return self.folder / f"{self.name}-{self.started}.log"

    @property
    def is_running(self) -> bool:
        """Whether the latest process has not ended."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self, grace_s: int = GRACE_S) -> None:
        """Write the settings file, in place of an earlier one."""
        names = {"name": self.name, "zone": self.zone}
        text = SETTINGS.format(
            grace=grace_s, apply=APPLY_S, leave=LEAVE_S, **names, **self.ports
        )
        written = self.settings.with_suffix(".new")
        written.write_text(text)
        written.replace(self.settings)

    async def start(self) -> None:
        """Start a process."""
        environment = {**os.environ, "APRICOTSHORE_SETTINGS": str(self.settings)}
        # The entry point finds the packages of its own tree.
        environment.pop("PYTHONPATH", None)
        self.started += 1
        self.earlier_signals.append(self.signal_at)
        self.signal_at = 0.0
        with self.log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(TREE / "platform" / "serve.py"),
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process unless it has ended."""
        if self.process is None or self.process.returncode is not None:
            return
        if number is signal.SIGTERM and not self.signal_at:
            self.signal_at = now()
        self.process.send_signal(number)

    async def wait_until_gone(self) -> int:
        """Wait for the end of a process that got a SIGTERM; kill it after the grace."""
        assert self.process is not None
        while self.is_running and now() - self.signal_at < GRACE_S:
            await asyncio.sleep(POLL_S)
        if self.is_running:
            self.process.kill()
        return await self.process.wait()

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()

    def list_events(self, kind: str) -> list[dict[str, Any]]:
        """Return the lines of one kind in the latest process's log."""
        lines = self.log.read_text().splitlines()
        parsed = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in parsed if line.get("step") == kind]


@dataclass(kw_only=True, eq=False)
class Fleet:
    """Hosts, the servers of one group, and the store.

    Parameters
    ----------
    folder
        Folder of settings and logs.
    connections
        Largest number of connections to each server.
    timeout_ms
        Time that the routes give a statement.
    grace_s
        Grace in the settings of the hosts, which are killed after `GRACE_S`.
    passed_on
        Ids of the statements that a server was given.
    findings
        What went wrong, in words.
    """

    folder: Path
    leeway: Leeway
    connections: int
    timeout_ms: int = TIMEOUT_MS
    grace_s: int = GRACE_S
    checker: Checker = field(default_factory=Checker)
    hosts: list[HostProcess] = field(default_factory=list)
    passed_on: set[str] = field(default_factory=set)
    crowds: list[Crowd] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the group and the store."""
        self.group = Group(
            name=GROUP,
            zones=ZONES,
            checker=self.checker,
            random=random.Random(1),
            leeway=self.leeway,
        )
        self.store = Store(
            groups={GROUP: self.group}, checker=self.checker, random=random.Random(2)
        )
        self.servers: dict[str, CountingServer] = {}

    async def start(self, hosts: int) -> None:
        """Start the servers, and hosts that are ready."""
        for server in self.group.servers.values():
            self.servers[server.name] = CountingServer(
                passed_on=self.passed_on,
                group=self.group,
                server=server,
                checker=self.checker,
                connections=self.connections,
                random=random.Random(server.name),
            )
            await self.servers[server.name].start()
        self._write_configuration()
        self._report_servers()
        self.tasks.append(asyncio.create_task(self.group.replicate()))
        self.tasks.append(asyncio.create_task(self._keep_reporting()))
        for number in range(hosts):
            await self.add_host(f"h{number}", ZONES[number % len(ZONES)])
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await self.wait_until_ready(host)

    async def add_host(self, name: str, zone: str) -> HostProcess:
        """Add a host without a process."""
        names = ("caller", "ready", "metrics", "peer")
        ports = {each: find_free_port() for each in names}
        ports["store"] = await self.store.listen(name)
        host = HostProcess(name=name, zone=zone, folder=self.folder, ports=ports)
        host.write_settings(self.grace_s)
        self.hosts.append(host)
        return host

    async def wait_until_ready(self, host: HostProcess) -> None:
        """Wait until a host counts as ready, as the load balancer asks."""
        async with asyncio.timeout(START_S):
            while not await _is_ready(host.ports["ready"]):
                assert host.is_running, host.log.read_text()
                await asyncio.sleep(0.05)

    def gather(
        self,
        host: HostProcess,
        count: int,
        kind: Kind,
        at_once: bool = False,
        reads_after_s: float = 0.0,
    ) -> Crowd:
        """Have callers come to a host until the end."""
        crowd = Crowd(
            host=host.name,
            port=host.ports["caller"],
            kind=kind,
            checker=self.checker,
            sends_at_once=at_once,
            reads_after_s=reads_after_s,
        )
        crowd.start(count)
        self.crowds.append(crowd)
        return crowd

    async def stop(self) -> None:
        """End what was started."""
        for crowd in self.crowds:
            for task in crowd.tasks:
                task.cancel()
        for host in self.hosts:
            await host.end()
        for task in self.tasks:
            task.cancel()

    # -- verdicts --

    async def play_stop(self, host: HostProcess) -> None:
        """Send one SIGTERM under load and wait for the end."""
        await asyncio.sleep(BEFORE_S)
        host.send(signal.SIGTERM)
        await self.check_stop(host)

    async def check(self) -> None:
        """Let the callers end, and fail if anything went wrong."""
        await asyncio.sleep(AFTER_S)
        await asyncio.gather(*(crowd.end() for crowd in self.crowds))
        self.check_requests()
        if self.findings:
            pytest.fail("\n".join(self.findings), pytrace=False)

    async def check_stop(
        self, host: HostProcess, codes: tuple[int, ...] = (0,)
    ) -> None:
        """Wait for the end of a host that got a SIGTERM; keep what it says of it."""
        code = await host.wait_until_gone()
        took_s = now() - host.signal_at
        if code not in codes:
            self.findings.append(f"{host.name} ended with {code} after {took_s:.2f} s")
        if code:
            return
        stopped = host.list_events("stopped")
        cut = [line.get("cut") for line in stopped]
        if cut != [0]:
            self.findings.append(f"{host.name} says that it cut {cut}")

    def check_requests(self) -> None:
        """Add each lost statement, and what servers ran against the rules."""
        requests = [r for crowd in self.crowds for r in crowd.requests]
        lost = [r for r in requests if self._is_lost(r)]
        served = sum(len(crowd.list_served()) for crowd in self.crowds)
        if lost:
            ran = sum(r.name in self.passed_on for r in lost)
            self.findings.append(
                f"{len(lost)} lost of {len(requests)} sent, {ran} of them passed on"
            )
            self.findings += [self._describe(r) for r in lost[:SHOWN]]
        if requests and not served:
            self.findings.append(f"none of {len(requests)} was served")
        for crowd in self.crowds:
            check_writes(crowd.record, [self.group], self.checker)
        self.findings += [v[:SHOWN_CHARACTERS] for v in self.checker.violations]

    def _find_signal(self, request: Request) -> float:
        """Return the latest SIGTERM before the end of a statement, 0 without one."""
        host = next(h for h in self.hosts if h.name == request.host)
        signals = (*host.earlier_signals, host.signal_at)
        return max((at for at in signals if at <= request.ended_at), default=0.0)

    def _is_lost(self, request: Request) -> bool:
        """Return whether a statement was read, as far as is known, and then dropped."""
        if request.is_whole:
            return False
        was_passed_on = request.name in self.passed_on
        if request.sent_at is None:
            return was_passed_on
        signal_at = self._find_signal(request)
        late = request.ended_at - signal_at >= GRACE_S * EXCUSED_SHARE
        in_time = request.sent_at - signal_at <= EXCUSED_UNTIL_S
        if signal_at and was_passed_on and late and in_time:
            return False
        return was_passed_on or request.ended_at - request.sent_at > SLACK_S

    def _describe(self, request: Request) -> str:
        signal_at = self._find_signal(request)
        sent_at = request.ended_at if request.sent_at is None else request.sent_at
        passed = "" if request.name in self.passed_on else "not "
        return (
            f"{request.name} at {request.host}, {request.text}: sent "
            f"{sent_at - signal_at:+.3f} s from the signal, ended "
            f"{request.ended_at - signal_at:+.3f} s, {passed}passed on"
        )

    # -- store --

    def _write_configuration(self) -> None:
        route = {"service": GROUP, "timeoutMs": self.timeout_ms, "targetLatencyMs": 800}
        bounded = {
            "type": "bounded_staleness",
            "maxStalenessMs": int(MAX_STALENESS_S * 1000),
        }
        routes = [
            {**route, "database": PRIMARY, "type": "primary", "priority": 1},
            {**route, **bounded, "database": BOUNDED, "priority": 1},
        ]
        services = [{"name": GROUP, "maxConnections": self.connections}]
        spec = {"version": 3, "routes": routes, "services": services}
        self.store.write("config", "main", {**spec, "limits": {"txIdleMs": 3000}})

    async def _keep_reporting(self) -> None:
        while True:
            self._report_servers()
            await asyncio.sleep(REPORT_PERIOD_S)

    def _report_servers(self) -> None:
        for server in self.group.servers.values():
            self.store.write("servers", server.name, self._make_entry(server))

    def _make_entry(self, server: Server) -> dict[str, Any]:
        return {
            "service": GROUP,
            "address": f"127.0.0.1:{self.servers[server.name].port}",
            "zone": server.zone,
            "version": "1",
            "slots": self.leeway.slots,
            "state": "draining" if server.leaving else "ready",
            "coldRemainingMs": 0,
            "dbRole": "primary" if server.is_primary else "replica",
            "born": server.started_ms,
        }


async def _is_ready(port: int) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"GET /-/readiness HTTP/1.0\r\nHost: h\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


@asynccontextmanager
async def running_fleet(
    folder: Path,
    *,
    hosts: int = 1,
    work_s: float = 0.015,
    slots: int = 4,
    connections: int = 40,
    timeout_ms: int = TIMEOUT_MS,
    grace_s: int = GRACE_S,
) -> AsyncIterator[Fleet]:
    """Run a fleet; its processes have ended when this has."""
    leeway = Leeway(slots=slots, work_s=(work_s, work_s))
    fleet = Fleet(
        folder=folder,
        leeway=leeway,
        connections=connections,
        timeout_ms=timeout_ms,
        grace_s=grace_s,
    )
    try:
        await fleet.start(hosts)
        yield fleet
    finally:
        await fleet.stop()
