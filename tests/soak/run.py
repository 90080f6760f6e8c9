"""Run of one seed: hosts, groups, store, callers, faults and checks."""

import asyncio
import random
import signal
import tempfile
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

from standins.ports import find_free_port

from .callers import MAX_PAUSE_S, WRITE_SHARE, Caller, Database, Record, check_writes
from .changes import change_primaries
from .cuts import check_cuts, check_exits, check_told_cuts
from .faultlog import FaultLog
from .faults import Cluster, inject_faults
from .fleet import ROOT, Host
from .fleetstops import FleetStops, count_changes, draw_leeway, play_fleet_stops
from .model import Checker, Group, Leeway, Server, TargetStops, now
from .operator import Operator
from .releases import Releases, replace_servers
from .restores import restore_store
from .rounds import Rounds, play_rounds
from .servers import LineServer
from .shortpromotions import list_short_counts, list_short_promotions, read_metrics
from .stops import STOPS_LEEWAY_FIELDS, Stops, choose_caller_port, play_stops
from .store import LEASES, Store, StoreMode
from .targetloss import TargetLosses, draw_loss_leeway, play_target_losses
from .taskerrors import list_task_errors
from .tcpproxy import TcpProxy

Played = Rounds | FleetStops | TargetLosses | Stops
ZONES = ["a", "b", "c"]
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
WARM_UP_S = 3.0
RECOVERY_TIMEOUT_S = 12.0
# An earlier process of the first host, which is gone.
EARLIER_HOLDER = "h0@127.0.0.1:9/0a1b2c3d"
CHANGES_LEEWAY = Leeway(
    delivers_after_step_down=True,
    leads_after_crash=True,
    own_delays=True,
    promotion_s=(0.4, 1.0),
)
# Servers as processes of their own, each with what it has learnt so far.
REAL_LEEWAY = Leeway(
    delivers_after_step_down=True,
    leads_after_crash=True,
    own_delays=True,
    promotion_s=(0.4, 1.0),
    own_terms=True,
    learning_ends_pauses=True,
    step_down_raises_term=True,
    terms_above_servers=True,
    promotes_stepped_down=False,
    roll_back_is_busy=True,
    commands_take_slots=True,
    slots=3,
    work_s=(0.005, 0.03),
    late_answer_share=0.05,
    late_command_share=0.02,
    late_promotion_share=0.1,
)
ROUNDS_LEEWAY = REAL_LEEWAY
# A former primary finishes what it runs, and only learns after the effect, which ends
# the pauses, that another leads.
BY_THE_CLOCK_LEEWAY = replace(
    REAL_LEEWAY,
    commits_after_step_down=True,
    leads_until_learnt=True,
    effect_ends_pauses=True,
    promotes_stepped_down=True,
    target_stops=TargetStops.AT_CALL,
    store_s=(0.6, 0.9),
    late_answer_share=0.0,
    late_command_share=0.0,
    late_promotion_share=0.0,
)


@dataclass(frozen=True, kw_only=True)
class Result:
    """Outcome of one seed."""

    seed: int
    violations: list[str]
    served: int
    promotions: int
    restarts: int
    injected: list[str]
    folder: Path
    changes: str = ""


class Soak:
    """A run of the soak test.

    Parameters
    ----------
    seed
        Seed of the faults and of the callers' choices.
    hosts, groups, callers
        Numbers of hosts, groups and callers.
    connections
        Largest number of connections to each server.
    restores
        Whether the store comes back from older copies.
    releases
        Whether servers are replaced, with events amid the changes of primary.
    changes
        Kind of the rounds of changes of primary, or all of them; empty for none.
    fault_pause_s
        Mean time between two faults of other kinds; 0 for none of them.
    folder
        Folder of the settings and the logs.
    rounds
        Rounds in which the primaries of all groups change and all hosts are stopped,
        in place of other faults; None for none of them.
    code
        Tree whose code the hosts run.
    leeway
        Fields of the servers' leeway that differ from what the kind of run has.
    """

    def __init__(
        self,
        *,
        seed: int,
        hosts: int,
        groups: int,
        callers: int,
        connections: int,
        restores: bool,
        releases: bool,
        changes: str,
        fault_pause_s: float,
        folder: Path,
        rounds: Played | None = None,
        code: Path = ROOT,
        leeway: dict[str, Any] | None = None,
    ) -> None:
        self.seed = seed
        self.callers = callers
        self.connections = connections
        self.folder = folder
        self.rounds = rounds
        self.code = code
        self.random = random.Random(seed)
        # Draws that come as often as callers connect leave those of the faults alone.
        self.host_draws = random.Random(f"{seed}hosts")
        self.checker = Checker()
        self.record = Record()
        self.fault_log = FaultLog()
        self.host_count = hosts
        self.restores = restores
        self.releases = releases
        self.changes = changes
        self.fault_pause_s = fault_pause_s
        self.groups = {
            name: Group(
                name=name,
                zones=ZONES,
                checker=self.checker,
                random=random.Random(f"{seed}{name}"),
                leeway=replace(_choose_leeway(changes, rounds, seed), **(leeway or {})),
            )
            for name in (f"g{i}" for i in range(groups))
        }
        self.databases = [
            database
            for g in self.groups.values()
            for database in (
                Database(name=f"{g.name}-latest", group=g),
                Database(name=f"{g.name}-bounded", group=g, staleness_s=1.5),
                Database(
                    name=f"{g.name}-own",
                    group=g,
                    staleness_s=2.5,
                    reads_own_writes=True,
                ),
            )
        ]
        self.store = Store(
            groups=self.groups, checker=self.checker, random=random.Random(seed + 1)
        )
        self.hosts: list[Host] = []
        self.operator = Operator(
            store=self.store,
            databases=self.databases,
            groups=list(self.groups),
            connections=connections,
            fault_log=self.fault_log,
            checker=self.checker,
            hosts=self.hosts,
            random=random.Random(f"{seed}operator"),
        )
        self.servers: dict[str, LineServer] = {}
        self.tasks: list[asyncio.Task] = []

    def spawn(self, work: Coroutine) -> None:
        """Start a task that runs until the end of the soak."""
        self.tasks.append(asyncio.create_task(work))

    async def run(self, seconds: float) -> Result:
        """Inject faults for a time, heal them all, and check the guarantees."""
        cluster = await self._set_up()
        try:
            await asyncio.sleep(WARM_UP_S)
            changes = asyncio.create_task(self.operator.change_configuration())
            restores = asyncio.create_task(self._restore_store())
            releases = asyncio.create_task(self._replace_servers(cluster))
            primaries = asyncio.create_task(self._change_primaries(cluster))
            injected = await self._inject_faults(cluster, seconds)
            await _end(changes)
            await _end(restores)
            await _end(releases)
            await _end(primaries)
            self._end_releases()
            self._heal_store()
            self.checker.violations += await self._recover()
            await self.check_short_counts()
            await self.operator.check_last_change()
            check_cuts(self.record, self.fault_log, self.checker)
        finally:
            await self._tear_down()
            notes = "\n".join(self.checker.notes)
            (self.folder / "notes.txt").write_text(f"{notes}\n")
        check_writes(self.record, list(self.groups.values()), self.checker)
        for host in self.hosts:
            check_exits(host, self.fault_log, self.checker)
            check_told_cuts(host, self.fault_log, self.checker)
        self._check_logs()
        self.check_short_promotions()
        return Result(
            seed=self.seed,
            violations=self.checker.violations,
            served=len(self.record.served),
            promotions=sum(g.promotions for g in self.groups.values()),
            restarts=sum(h.restarts for h in self.hosts),
            injected=injected,
            folder=self.folder,
            changes=count_changes(self.folder, self.checker.notes, self.groups),
        )

    def _check_logs(self) -> None:
        """Add violations for errors that ended a host's tasks."""
        for host in self.hosts:
            lines = (self.folder / f"{host.name}.log").read_text().splitlines()
            for error in list_task_errors(lines):
                self.checker.add_violation("TASK", f"{host.name} {error}")

    def check_short_promotions(self) -> None:
        """Add a violation for each line of a promotion below a known end."""
        for host in self.hosts:
            lines = (self.folder / f"{host.name}.log").read_text().splitlines()
            for line in list_short_promotions(lines):
                self.checker.add_violation("SHORT", f"{host.name} {line}")

    async def check_short_counts(self) -> None:
        """Add a violation for each count of them that a host shows."""
        for host in self.hosts:
            page = await read_metrics(host.metrics_port) if host.is_running else None
            if page is None:
                self.checker.add_note(f"{host.name} shows no metrics")
                continue
            for count in list_short_counts(page):
                self.checker.add_violation("SHORT", f"{host.name} counts {count}")

    async def _inject_faults(self, cluster: Cluster, seconds: float) -> list[str]:
        if isinstance(self.rounds, FleetStops):
            releases = self._make_releases(cluster, "fleet-stops")
            return await play_fleet_stops(releases, self.rounds)
        if isinstance(self.rounds, TargetLosses):
            releases = self._make_releases(cluster, "target-losses")
            return await play_target_losses(releases, self.rounds)
        if isinstance(self.rounds, Stops):
            releases = self._make_releases(cluster, "stops")
            return await play_stops(releases, self.rounds)
        if self.rounds:
            releases = self._make_releases(cluster, "rounds")
            return await play_rounds(releases, self.rounds)
        return await inject_faults(cluster, seconds, self.fault_pause_s)

    async def _restore_store(self) -> None:
        if self.restores:
            rng = random.Random(f"{self.seed}restores")
            await restore_store(self.store, self.operator, self.fault_log, rng)

    async def _replace_servers(self, cluster: Cluster) -> None:
        if self.releases:
            await replace_servers(self._make_releases(cluster, "releases"))

    async def _change_primaries(self, cluster: Cluster) -> None:
        if self.changes:
            releases = self._make_releases(cluster, "changes")
            await change_primaries(releases, self.changes)

    def _make_releases(self, cluster: Cluster, source: str) -> Releases:
        return Releases(
            cluster=cluster,
            join=self._join_server,
            retire=self._retire_server,
            random=random.Random(f"{self.seed}{source}"),
        )

    def _end_releases(self) -> None:
        for group in self.groups.values():
            for server in group.servers.values():
                server.leaving = server.unlisted = server.receive_paused = False
                server.up = True

    async def _join_server(self, group: Group, zone: str) -> Server:
        """Start a server with a copy of the primary's log."""
        primary = group.find_primary()
        log = list(primary.log) if primary is not None else []
        name = f"{group.name}-{len(self.servers)}"
        server = Server(name=name, zone=zone, log=log, applied=len(log))
        await self._start_server(group, server)
        group.servers[name] = server
        return server

    def _retire_server(self, group: Group, server: Server) -> None:
        server.up = False
        self.servers[server.name].drop_connections()
        del group.servers[server.name]
        self.store.remove("servers", server.name)

    def _heal_store(self) -> None:
        self.store.away = False
        self.operator.write_again()
        for fault in self.fault_log.faults:
            if fault.kind == "store-restored" and fault.ended_at is None:
                fault.ended_at = now()

    # -- set up --

    async def _set_up(self) -> Cluster:
        for group in self.groups.values():
            self.spawn(group.replicate())
            for server in group.servers.values():
                await self._start_server(group, server)
        self.operator.write()
        self._write_earlier_leases()
        for number in range(self.host_count):
            await self._add_host(f"h{number}", ZONES[number % len(ZONES)])
        self.spawn(self._report_servers())
        for number in range(self.callers):
            caller = Caller(
                number=number,
                database=self.databases[number % len(self.databases)],
                choose_host=partial(self._choose_host, number),
                checker=self.checker,
                record=self.record,
                random=random.Random(self.seed * 1000 + number),
                write_share=self.rounds.write_share if self.rounds else WRITE_SHARE,
                max_pause_s=self.rounds.max_pause_s
                if isinstance(self.rounds, Stops)
                else MAX_PAUSE_S,
            )
            self.spawn(caller.run())
        return Cluster(
            hosts=self.hosts,
            groups=self.groups,
            servers=self.servers,
            store=self.store,
            checker=self.checker,
            fault_log=self.fault_log,
            random=self.random,
            replace_server=self._replace_server,
        )

    def _write_earlier_leases(self) -> None:
        """Write the leases of changes that an earlier process made or left."""
        for group in self.groups.values():
            if group.leeway.has_earlier_life:
                rng = random.Random(f"{self.seed}{group.name}lease")
                spec = {
                    "holder": EARLIER_HOLDER,
                    "open": rng.random() < 0.5,
                    "target": rng.choice(list(group.servers)),
                    "number": 1,
                }
                self.store.write(LEASES, f"{group.name}.{self.store.era}", spec)

    async def _start_server(
        self, group: Group, server: Server, predecessor: Server | None = None
    ) -> None:
        """Start a server, at the address of its predecessor if it has one."""
        self.servers[server.name] = LineServer(
            group=group,
            server=server,
            checker=self.checker,
            connections=self.connections,
            random=random.Random(f"{self.seed}{server.name}"),
        )
        await self.servers[server.name].start()
        for host in self.hosts:
            if predecessor is None:
                await self._add_server_proxy(host, server.name)
            else:
                await self._hand_proxy_over(host, predecessor.name, server.name)

    async def _hand_proxy_over(self, host: Host, old: str, new: str) -> None:
        proxy = host.server_proxies[old]
        proxy.target = self.servers[new].port
        host.server_proxies[new] = proxy
        self.store.addresses[(host.name, new)] = f"127.0.0.1:{proxy.port}"
        await proxy.accept()

    async def _add_server_proxy(self, host: Host, server: str) -> None:
        proxy = TcpProxy(target=self.servers[server].port)
        if isinstance(self.rounds, FleetStops):
            zone = self.servers[server].server.zone
            proxy.delay_s = self.rounds.find_delay(host.zone, zone)
        await proxy.start()
        host.server_proxies[server] = proxy
        self.store.addresses[(host.name, server)] = f"127.0.0.1:{proxy.port}"

    async def _add_host(self, name: str, zone: str) -> None:
        store_proxy = TcpProxy(target=await self.store.listen(name))
        caller_proxy = TcpProxy(target=find_free_port())
        peer_proxy = TcpProxy(target=find_free_port())
        for proxy in (store_proxy, caller_proxy, peer_proxy):
            await proxy.start()
        host = Host(
            name=name,
            zone=zone,
            folder=self.folder,
            store_proxy=store_proxy,
            caller_proxy=caller_proxy,
            ready_port=find_free_port(),
            metrics_port=find_free_port(),
            peer_proxy=peer_proxy,
            code=self.code,
        )
        self.store.addresses[("", name)] = f"127.0.0.1:{peer_proxy.port}"
        for server in self.servers:
            await self._add_server_proxy(host, server)
        host.write_settings()
        self.hosts.append(host)
        self.spawn(host.keep_running())
        self.spawn(host.poll_readiness())

    async def _replace_server(self, group: Group, old: Server) -> None:
        """Stop a leaving server and start a new one with its log at its address."""
        old.up = False
        old.is_primary = False
        self.servers[old.name].drop_connections()
        name = f"{group.name}-{len(self.servers)}"
        new = Server(name=name, zone=old.zone, log=list(old.log), applied=old.applied)
        await self._start_server(group, new, predecessor=old)
        del group.servers[old.name]
        group.servers[name] = new
        self.store.remove("servers", old.name)

    # -- platform and operator --

    def _choose_host(self, caller: int) -> tuple[str, int]:
        if isinstance(self.rounds, Stops):
            return choose_caller_port(self.hosts, caller, self.host_draws)
        ready = [h for h in self.hosts if h.in_rotation] or self.hosts
        if isinstance(self.rounds, FleetStops | TargetLosses):
            ready = [h for h in self.hosts if h.is_running] or self.hosts
        host = self.host_draws.choice(ready)
        return host.name, host.caller_proxy.port

    async def _report_servers(self) -> None:
        while True:
            self._expire_servers()
            for group in self.groups.values():
                for server in group.servers.values():
                    if server.unlisted:
                        self.store.remove("servers", server.name)
                    elif server.up and not server.silent and not self.store.away:
                        self.store.write(
                            "servers", server.name, _make_server_spec(group, server)
                        )
            await asyncio.sleep(0.1)

    def _expire_servers(self) -> None:
        """Remove the entries of servers that are down, and of those that left."""
        known = {n: s for g in self.groups.values() for n, s in g.servers.items()}
        for name in list(self.store.objects.get("servers", {})):
            server = known.get(name)
            if server is None:
                since = self.store.restored_at
            elif server.up:
                continue
            else:
                since = max(server.down_since, self.store.restored_at)
            if now() - since > EXPIRY_S:
                self.store.remove("servers", name)

    # -- end --

    async def _recover(self) -> list[str]:
        """Heal hosts and store; return a violation if a host fails to serve a group."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            self.store.modes[host.name] = StoreMode.NORMAL
        healed = now()
        expected = {(h.name, g) for h in self.hosts for g in self.groups}
        while now() - healed < RECOVERY_TIMEOUT_S:
            done = {(h, g) for at, h, g in self.record.served if at > healed + 1}
            if expected <= done:
                return []
            await asyncio.sleep(0.2)
        return [f"{now():.3f} RECOVER: {sorted(expected - done)} not served"]

    async def _tear_down(self) -> None:
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            process = host.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


def _choose_leeway(changes: str, rounds: Played | None, seed: int) -> Leeway:
    """Return what servers may do in this run."""
    if isinstance(rounds, FleetStops):
        return draw_leeway(REAL_LEEWAY, seed)
    if isinstance(rounds, TargetLosses):
        return draw_loss_leeway(REAL_LEEWAY, seed)
    if isinstance(rounds, Stops):
        return replace(REAL_LEEWAY, **STOPS_LEEWAY_FIELDS)
    if rounds:
        return BY_THE_CLOCK_LEEWAY if rounds.by_the_clock else ROUNDS_LEEWAY
    return CHANGES_LEEWAY if changes else Leeway()


async def _end(task: asyncio.Task[None]) -> None:
    """Cancel a task and raise its error if it had failed before."""
    task.cancel()
    await asyncio.wait({task})
    if not task.cancelled():
        task.result()


def _make_server_spec(group: Group, server: Server) -> dict:
    return {
        "service": group.name,
        "address": "",
        "zone": server.zone,
        "version": "1",
        "slots": group.leeway.slots,
        "state": "draining" if server.leaving else "ready",
        "coldRemainingMs": 0,
        "dbRole": "primary" if server.is_primary else "replica",
        "born": server.started_ms,
    }


def run_seed(
    seed: int,
    seconds: float,
    hosts: int = 3,
    groups: int = 2,
    callers: int = 24,
    connections: int = 40,
    folder: Path | None = None,
    restores: bool = False,
    fault_pause_s: float = 1.0,
    releases: bool = False,
    changes: str = "",
    rounds: Played | None = None,
    code: Path = ROOT,
    leeway: dict[str, Any] | None = None,
) -> Result:
    """Run one seed and return its result."""
    where = folder or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    where.mkdir(parents=True, exist_ok=True)
    soak = Soak(
        seed=seed,
        hosts=hosts,
        groups=groups,
        callers=callers,
        connections=connections,
        restores=restores,
        releases=releases,
        changes=changes,
        fault_pause_s=fault_pause_s,
        folder=where,
        rounds=rounds,
        code=code,
        leeway=leeway,
    )
    return asyncio.run(soak.run(seconds))
