"""The operator: changes of the configuration, and checks that hosts apply them."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from .callers import Database
from .faultlog import STABILITY_S, FaultLog
from .fleet import APPLY_S, GRACE_S, Host
from .model import Checker, now
from .store import Store

CHANGE_PAUSE_S = (2.0, 4.0)
CHECK_TIMEOUT_S = 2.0
ROUTE_TYPES = {"latest": "primary", "bounded": "bounded_staleness"}


@dataclass(frozen=True, kw_only=True)
class Seen:
    """Answer of a host's process that shows that it uses a configuration."""

    name: str
    answer: str
    restarts: int


class Operator:
    """Writes the configuration, again too if the store has lost it.

    Parameters
    ----------
    store, databases, groups, connections
        The store, and what the configuration describes.
    fault_log, checker
        Faults that excuse a host, and the record of violations.
    hosts
        Hosts that have to apply each change.
    random
        Source of the versions and of the times of changes.
    """

    def __init__(
        self,
        *,
        store: Store,
        databases: Sequence[Database],
        groups: Sequence[str],
        connections: int,
        fault_log: FaultLog,
        checker: Checker,
        hosts: list[Host],
        random: random.Random,
    ) -> None:
        self.store = store
        self.databases = databases
        self.groups = groups
        self.connections = connections
        self.fault_log = fault_log
        self.checker = checker
        self.hosts = hosts
        self.random = random
        self.version = 10
        self.extra: list[str] = []
        self.seen: dict[str, Seen] = {}

    def write(self) -> None:
        """Write the next version of the configuration."""
        self.version += self.random.randint(1, 9)
        self.write_again()

    def write_again(self) -> None:
        """Write the latest version, which the store may have lost."""
        self.store.write("config", "main", self._make_spec())

    def _make_spec(self) -> dict:
        routes = [
            {
                "database": d.name,
                "service": d.group.name,
                "type": ROUTE_TYPES.get(d.name.rpartition("-")[2], "read_your_writes"),
                "maxStalenessMs": int((d.staleness_s or 0) * 1000),
                "timeoutMs": 1500,
                "targetLatencyMs": 800,
                "priority": 1,
            }
            for d in self.databases
        ]
        first = routes[0]
        routes += [{**first, "database": name} for name in self.extra]
        return {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": g, "maxConnections": self.connections} for g in self.groups
            ],
            "limits": {"txIdleMs": 3000},
        }

    async def change_configuration(self) -> None:
        """Add and withdraw databases, and check that hosts apply each in time."""
        number = 0
        while True:
            await asyncio.sleep(self.random.uniform(*CHANGE_PAUSE_S))
            if self.extra and self.random.random() < 0.5:
                name, expected = self.extra.pop(0), "ERROR NODATABASE"
            else:
                number += 1
                name, expected = f"extra-{number}", "READY"
                self.extra.append(name)
            self.write()
            changed_at = now()
            await asyncio.sleep(APPLY_S)
            await asyncio.gather(
                *(self._check_host(h, name, expected, changed_at) for h in self.hosts)
            )

    async def check_last_change(self) -> None:
        """Check that a change after all faults is in force everywhere in time."""
        await asyncio.sleep(STABILITY_S)
        self.extra.append("last")
        self.write()
        await asyncio.sleep(APPLY_S)
        for host, line in zip(
            self.hosts,
            await asyncio.gather(*(_open_session(h, "last") for h in self.hosts)),
            strict=True,
        ):
            if "NODATABASE" in line:
                self.checker.add_violation(
                    "CONFIG", f"{host.name}: version {self.version} is not in force"
                )

    async def _check_host(
        self, host: Host, name: str, expected: str, changed_at: float
    ) -> None:
        restarts = host.restarts
        line = await _open_session(host, name)
        undisturbed = not self.fault_log.find_unplanned(host.name, changed_at, now())
        planned = self.fault_log.find_stop(host.name, now(), GRACE_S + 12)
        if line.startswith(expected):
            self.seen[host.name] = Seen(name=name, answer=expected, restarts=restarts)
        # A full host may refuse the session; it may not use an outdated configuration.
        if line and undisturbed and not planned and line[:5] != expected[:5]:
            self.checker.add_violation(
                "CONFIG", f"{host.name}: {name} {line!r}, not {expected}"
            )

    async def check_none_went_back(self) -> None:
        """Check that no process uses an older configuration than it used before."""
        await asyncio.gather(*(self._check_kept(host) for host in self.hosts))

    async def _check_kept(self, host: Host) -> None:
        seen = self.seen.get(host.name)
        if seen is None:
            return
        line = await _open_session(host, seen.name)
        changed = (seen.name in self.extra) is not (seen.answer == "READY")
        # A full or stopping host may refuse a session with another code.
        told = line[:5] == "READY" or "NODATABASE" in line
        if changed or seen.restarts != host.restarts or not told:
            return
        if line[:5] != seen.answer[:5]:
            self.checker.add_violation(
                "CONFIG", f"{host.name} went back: {seen.name} {line!r}"
            )


async def _open_session(host: Host, name: str) -> str:
    """Return a host's first line to a session, empty if none came."""
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", host.caller_proxy.port
            )
            writer.write(f"STARTUP {name} check\r\n".encode())
            line = (await reader.readline()).decode()
            writer.close()
    except (OSError, TimeoutError):
        return ""
    return line
