"""A small deployment: the platform, services of three backends, and hosts."""

import asyncio
import itertools
import os
import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .database import Backend, Service
from .fleet import Host
from .platform import Order, Platform
from .record import Record

HEARTBEAT_S = 1.2
DRAIN_AFTER_S = 1.0
MISSED_HEARTBEATS = 3
CONNECTIONS = 22
ZONES = ("braga-a", "regua-a", "lisboa-a")
HELD, BROKEN, NOT_RUN = 0, 1, 2
ROUTE = {
    "type": "primary",
    "timeoutMs": 800,
    "targetLatencyMs": 400,
    "priority": 1,
    "maxStalenessMs": 0,
}


class Deployment:
    """The stand-ins and the hosts of a case.

    Parameters
    ----------
    record
        Record of the case.
    folder
        Folder of the hosts' settings and logs.
    delay_order
        See `Platform`.
    promote_s
        Time from a promotion until it takes effect.
    """

    def __init__(
        self,
        *,
        record: Record,
        folder: Path,
        delay_order: Callable[[Order], float | None] = lambda order: None,
        promote_s: float = 1.0,
    ) -> None:
        self.record = record
        self.folder = folder
        self.promote_s = promote_s
        self.services: dict[str, Service] = {}
        self.platform = Platform(
            record=record, services=self.services, delay_order=delay_order
        )
        self.hosts: list[Host] = []
        self.routes: list[dict[str, Any]] = []
        self.version = 3
        self.numbers = itertools.count()
        self.cut_off: set[Backend] = set()

    async def start_platform(self) -> None:
        """Start the platform."""
        await self.platform.start()

    async def add_service(
        self, name: str, receive_s: list[tuple[float, float]], work_s: float = 0.005
    ) -> Service:
        """Start a service with a backend in each zone; the first is the primary."""
        service = Service(
            name=name,
            record=self.record,
            connections=CONNECTIONS,
            promote_s=self.promote_s,
        )
        self.services[name] = service
        for zone, times in zip(ZONES, receive_s, strict=True):
            backend = Backend(
                service=service,
                name=f"i-{name}-{zone}",
                zone=zone,
                receive_s=times,
                work_s=work_s,
            )
            await self._start_backend(backend)
        return service

    async def _start_backend(self, backend: Backend) -> None:
        backend.service.add(backend)
        await backend.start()
        self.platform.spawn(backend.receive())
        self.platform.spawn(self._send_heartbeats(backend))

    async def add_backend(self, service: Service, zone: str) -> Backend:
        """Start one more backend of a service, with the primary's log."""
        pattern = next(iter(service.backends.values()))
        backend = Backend(
            service=service,
            name=f"i-{service.name}-{next(self.numbers):03}",
            zone=zone,
            receive_s=pattern.receive_s,
            work_s=pattern.work_s,
        )
        backend.copy_log(service.primary)
        await self._start_backend(backend)
        self.record.show(f"{backend.name} starts in {zone}")
        return backend

    async def replace(self, old: Backend, zone: str, drain_s: float) -> Backend:
        """Start the replacement of a backend, return it, and let the old one drain."""
        new = await self.add_backend(old.service, zone)
        self.platform.spawn(self._drain(old, drain_s))
        return new

    async def _drain(self, old: Backend, drain_s: float) -> None:
        await asyncio.sleep(DRAIN_AFTER_S)
        old.draining = True
        self.report(old)
        self.record.show(f"{old.name} reports draining")
        await asyncio.sleep(drain_s)
        if old.is_primary:
            return
        old.end()
        old.service.backends.pop(old.name)
        self.platform.remove("servers", old.name)
        self.record.show(f"{old.name} is gone")

    def add_route(self, database: str, service: str, **changes: Any) -> None:
        """Add a route to the next configuration."""
        route = {**ROUTE, "database": database, "service": service, "name": database}
        self.routes.append({**route, **changes})

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += 2
        services = [{"name": n, "maxConnections": CONNECTIONS} for n in self.services]
        spec = {
            "version": self.version,
            "routes": self.routes,
            "services": services,
            "limits": {"txIdleMs": 3000},
        }
        self.platform.write("config", "main", spec)

    async def _send_heartbeats(self, backend: Backend) -> None:
        missed = 0
        service = backend.service
        while service.backends.get(backend.name) is backend:
            is_silent = backend.dark or backend in self.cut_off
            missed = missed + 1 if is_silent else 0
            if not is_silent:
                self.report(backend)
            elif missed == MISSED_HEARTBEATS:
                self.platform.remove("servers", backend.name)
                self.record.show(f"the entry of {backend.name} is removed")
            await asyncio.sleep(HEARTBEAT_S)

    def cut_from_store(self, backend: Backend) -> None:
        """Cut a backend off from the store; all others still reach it."""
        self.cut_off.add(backend)
        self.record.show(f"{backend.name} is cut off from the store")

    def join_store(self, backend: Backend) -> None:
        """End the cut between a backend and the store."""
        self.cut_off.discard(backend)
        self.record.show(f"{backend.name} reaches the store again")

    def report(self, backend: Backend) -> None:
        """Write the entry of a backend, if more than its sequence has changed."""
        self.platform.write_changed(
            "servers",
            backend.name,
            {
                "service": backend.service.name,
                "address": f"127.0.0.1:{backend.port}",
                "zone": backend.zone,
                "version": "v1",
                "slots": 3,
                "state": "draining" if backend.draining else "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "dbRole": "primary" if backend.is_primary else "replica",
                "born": backend.born,
            },
        )

    async def start_hosts(self, count: int = 3, limit_s: float = 15.0) -> bool:
        """Start the hosts; return whether all became ready."""
        for zone in ZONES[:count]:
            host = Host(
                name=f"front-{zone}-1",
                zone=zone,
                folder=self.folder,
                store_port=self.platform.store_port,
                promotion_port=self.platform.promotion_port,
            )
            self.hosts.append(host)
            await host.start()
        ready = [await host.wait_until_ready(limit_s) for host in self.hosts]
        return all(ready)

    async def stop(self) -> None:
        """Kill the hosts and stop the stand-ins."""
        for host in self.hosts:
            await host.kill()
        for task in list(self.platform.tasks):
            task.cancel()


def run_case(
    folder: Path, play: Callable[[Record, Path, bool], Awaitable[int]]
) -> None:
    """Play a case and exit with its result.

    Parameters
    ----------
    folder
        Folder of the case, where the record is written.
    play
        Plays the case with a record, a temporary folder, and whether the
        disruption is played; returns the exit status.
    """
    record = Record(path=folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    status = NOT_RUN
    try:
        status = asyncio.run(play(record, temporary, has_trouble))
    except Exception as error:
        record.show(f"the case could not run: {error!r}")
        raise SystemExit(NOT_RUN) from error
    finally:
        record.save()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)
