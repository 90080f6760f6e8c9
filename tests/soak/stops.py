"""Stops of hosts that callers go on using until the process is gone (issue 54).

The draws belong to a seed, and none depends on what hosts do.
"""

import asyncio
import random
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from .callers import WRITE_SHARE
from .changes import wait_until
from .faultlog import RELOAD
from .faults import Cluster
from .fleet import GRACE_S, LEAVE_S, Host
from .model import Group, now
from .releases import Event, Releases
from .rounds import crash, leave, leave_cut

# Statements are at work at any moment, as in the trials of the issue.
STOPS_LEEWAY_FIELDS = {"work_s": (0.005, 0.04)}
# Of so many callers one goes by the load balancer, the others come to stopping hosts.
CALLERS_PER_BALANCED = 3
MAX_PAUSE_S = 0.03
HOSTS_SHARES = (1, 1, 2, 3)
STOP_SPREAD_S = 1.0
# From the start of the trouble in a group to the first stop.
TROUBLE_S = (0.0, 1.5)
RELOAD_SHARE = 0.3
RELOAD_AFTER_S = (-0.3, 1.0)
# A second signal may come up to the end of the process, and thereafter.
AGAIN_SHARE = 0.4
AGAIN_AFTER_S = (0.0, 6.0)
FREEZE_SHARE = 0.12
FREEZE_AFTER_S = (0.1, 1.9)
FREEZE_S = (1.0, 3.0)
RESTARTS_S = (0.0, 0.0, 0.4)
STOP_START_SHARE = 0.2
STOP_START_AFTER_S = (0.0, 1.2)
READY_TIMEOUT_S = 10.0
CALM_S = (0.5, 2.0)


@dataclass(frozen=True, kw_only=True)
class Stops:
    """What is played.

    Parameters
    ----------
    count
        Number of rounds.
    write_share
        Share of the callers' statements that write.
    max_pause_s
        Longest pause of a caller between two operations.
    """

    count: int
    write_share: float = WRITE_SHARE
    max_pause_s: float = MAX_PAUSE_S


@dataclass(frozen=True, kw_only=True)
class HostStop:
    """Signals of one host in a round; times count from its SIGTERM.

    Parameters
    ----------
    host
        Number of the host.
    after_s
        From the start of the round to the SIGTERM.
    reload_after_s, again_after_s
        When a SIGHUP with changed settings and another SIGTERM come, None if none does.
    freeze
        When the process is frozen, and for how long; None for never.
    restart_delay_s
        From the end of the process to its start under the same name.
    stop_start_after_s
        When a SIGTERM comes after that start, None if none does.
    """

    host: int
    after_s: float
    reload_after_s: float | None
    again_after_s: float | None
    freeze: tuple[float, float] | None
    restart_delay_s: float
    stop_start_after_s: float | None


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Draws of one round.

    Parameters
    ----------
    stops
        The hosts' stops.
    trouble, group
        What happens to the primary of a group beside them; None for nothing.
    lead_s
        From its start to the first stop.
    random
        Draws of the trouble.
    calm_s
        Pause at the end.
    """

    stops: list[HostStop]
    trouble: Event | None
    group: str
    lead_s: float
    random: random.Random
    calm_s: float

    def __str__(self) -> str:
        """Describe the round in one line."""
        trouble = self.trouble.__name__ if self.trouble else "no trouble"
        stops = "; ".join(str(stop) for stop in self.stops)
        return f"{trouble} of {self.group} {self.lead_s:.2f} s before; {stops}"


# Planned work counts; what is no such work excuses the hosts.
TROUBLES: tuple[Event | None, ...] = (None, None, leave, leave, leave, leave_cut, crash)
UNPLANNED = (leave_cut, crash)


def draw_plan(hosts: int, groups: Sequence[str], rng: random.Random) -> Plan:
    """Draw a round."""
    count = min(rng.choice(HOSTS_SHARES), hosts - 1)
    return Plan(
        stops=[_draw_stop(host, rng) for host in rng.sample(range(hosts), count)],
        trouble=rng.choice(TROUBLES),
        group=rng.choice(groups),
        lead_s=rng.uniform(*TROUBLE_S),
        random=random.Random(rng.random()),
        calm_s=rng.uniform(*CALM_S),
    )


def _draw_stop(host: int, rng: random.Random) -> HostStop:
    freeze = (rng.uniform(*FREEZE_AFTER_S), rng.uniform(*FREEZE_S))
    return HostStop(
        host=host,
        after_s=rng.uniform(0.0, STOP_SPREAD_S),
        reload_after_s=_draw_time(RELOAD_SHARE, RELOAD_AFTER_S, rng),
        again_after_s=_draw_time(AGAIN_SHARE, AGAIN_AFTER_S, rng),
        freeze=freeze if rng.random() < FREEZE_SHARE else None,
        restart_delay_s=rng.choice(RESTARTS_S),
        stop_start_after_s=_draw_time(STOP_START_SHARE, STOP_START_AFTER_S, rng),
    )


def _draw_time(
    share: float, bounds: tuple[float, float], rng: random.Random
) -> float | None:
    time_s, draw = rng.uniform(*bounds), rng.random()
    return time_s if draw < share else None


def choose_caller_port(
    hosts: Sequence[Host], caller: int, rng: random.Random
) -> tuple[str, int]:
    """Return the name and the port of the host that a caller connects to.

    Returning callers use the port of the process itself, which is closed with it.
    """
    stopping = [h for h in hosts if h.is_running and h.stopping]
    if stopping and caller % CALLERS_PER_BALANCED:
        host = rng.choice(stopping)
        return host.name, host.caller_proxy.target
    host = rng.choice(list_balanced(hosts, rng.choice(sorted({h.zone for h in hosts}))))
    return host.name, host.caller_proxy.port


def list_balanced(hosts: Sequence[Host], zone: str) -> list[Host]:
    """Return the hosts that the load balancer uses for the callers of a data centre."""
    here = [h for h in hosts if h.zone == zone]
    ready = [h for h in here if h.in_rotation]
    return ready if 2 * len(ready) >= len(here) else here


async def play_stops(releases: Releases, stops: Stops) -> list[str]:
    """Play rounds on end; return a line for each."""
    cluster = releases.cluster
    played = []
    for number in range(1, stops.count + 1):
        plan = draw_plan(len(cluster.hosts), list(cluster.groups), releases.random)
        line = f"round {number}: {plan}"
        cluster.checker.add_note(line)
        played.append(f"{now():.3f} {line}")
        await _play_round(replace(releases, random=plan.random), plan)
    return played


async def _play_round(releases: Releases, plan: Plan) -> None:
    cluster = releases.cluster
    restarts = {host.name: host.restarts for host in cluster.hosts}
    stopped = {cluster.hosts[stop.host].name for stop in plan.stops}
    async with asyncio.TaskGroup() as tasks:
        if plan.trouble is not None:
            group = cluster.groups[plan.group]
            tasks.create_task(_trouble(releases, group, plan.trouble))
        for stop in plan.stops:
            tasks.create_task(_stop_host(cluster, stop, plan.lead_s))
    is_ready = await wait_until(
        lambda: all(
            host.failed_checks == 0
            and host.restarts >= restarts[host.name] + (host.name in stopped)
            for host in cluster.hosts
        ),
        READY_TIMEOUT_S,
    )
    cluster.checker.add_note("ready" if is_ready else "not ready in time")
    await asyncio.sleep(plan.calm_s)


async def _trouble(releases: Releases, group: Group, trouble: Event) -> None:
    cluster = releases.cluster
    group.draw_delays(releases.random)
    is_planned = trouble not in UNPLANNED
    fault = cluster.fault_log.begin(trouble.__name__, "", planned=is_planned)
    try:
        await trouble(releases, group)
    finally:
        fault.ended_at = now()
        for server in group.servers.values():
            server.leaving = False


async def _stop_host(cluster: Cluster, stop: HostStop, lead_s: float) -> None:
    """Send the signals of one host, and wait for the end of its process."""
    host = cluster.hosts[stop.host]
    host.restart_delay_s = stop.restart_delay_s
    begins = now() + lead_s + stop.after_s
    restarts = host.restarts
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_at(begins, lambda: _terminate(cluster, host)))
        if stop.reload_after_s is not None:
            tasks.create_task(
                _at(begins + stop.reload_after_s, lambda: _reload(cluster, host))
            )
        if stop.again_after_s is not None:
            tasks.create_task(
                _at(begins + stop.again_after_s, lambda: _terminate(cluster, host))
            )
        if stop.freeze is not None:
            after_s, freeze_s = stop.freeze
            tasks.create_task(_freeze(cluster, host, begins + after_s, freeze_s))
    await wait_until(lambda: host.restarts > restarts, GRACE_S)
    if stop.stop_start_after_s is not None:
        await wait_until(lambda: host.is_running, READY_TIMEOUT_S)
        await asyncio.sleep(stop.stop_start_after_s)
        _terminate(cluster, host)
        await wait_until(lambda: host.restarts > restarts + 1, GRACE_S)


async def _at(moment: float, act: Callable[[], None]) -> None:
    await asyncio.sleep(moment - now())
    act()


def _terminate(cluster: Cluster, host: Host) -> None:
    cluster.checker.add_note(f"SIGTERM of {host.name}")
    fault = cluster.fault_log.begin("stop", host.name, planned=True)
    fault.ended_at = now() + GRACE_S
    host.send_signal(signal.SIGTERM)


def _reload(cluster: Cluster, host: Host) -> None:
    cluster.checker.add_note(f"SIGHUP of {host.name}")
    cluster.fault_log.begin(RELOAD, host.name, planned=True).ended_at = now()
    host.write_settings(leave_s=LEAVE_S + 1)
    host.send_signal(signal.SIGHUP)


async def _freeze(cluster: Cluster, host: Host, moment: float, seconds: float) -> None:
    await asyncio.sleep(moment - now())
    cluster.checker.add_note(f"{host.name} is frozen for {seconds:.2f} s")
    fault = cluster.fault_log.begin("freeze", host.name)
    host.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    host.send_signal(signal.SIGCONT)
    fault.ended_at = now()
