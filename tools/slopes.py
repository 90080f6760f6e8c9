"""Measurement of how the cost of one host grows, for docs/CAPACITY.md.

Each cost is measured at several sizes and fitted by a straight line; the
residual shows how well the line fits. The result is docs/slopes.json.
"""

import asyncio
import gc
import json
import os
import resource
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import capnp

from apricotshore.bundles import EMPTY_BUNDLE, Bundle, parse_bundle
from apricotshore.decisions import membership
from apricotshore.decisions.membership import Member, MemberState
from apricotshore.decisions.ownership import Ring, may_rank, rank_hosts
from apricotshore.decisions.sessions import SessionKey
from apricotshore.groups import LogPosition
from apricotshore.load import parse_scenario, run_load
from apricotshore.load.runner import EntryHost
from apricotshore.manifests import Pieces, join_changed, join_pieces, split_bundle
from apricotshore.services.peers import PeerHandlers, PeerLinks, PeerServer
from apricotshore.wire import codec
from standins.deployment import PASSWORD, Deployment, DeploymentOptions, run_sql
from standins.ports import find_free_port

OUTPUT = Path("docs/slopes.json")
PUBLIC_KEY = "b" * 64
HASH = "*" + "a" * 40
IDLE_S = 6.0
TRAFFIC_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Point:
    """Measured cost at one size."""

    size: float
    cost: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """Line fitted to the costs at several sizes.

    Parameters
    ----------
    name
        Name of the cost.
    per
        Unit of the size.
    unit
        Unit of the cost.
    slope, base
        Cost per unit of size, and cost at size 0.
    error
        Largest residual as a share of the largest cost.
    points
        The measured costs.
    """

    name: str
    per: str
    unit: str
    slope: float
    base: float
    error: float
    points: tuple[Point, ...]


def fit_line(name: str, per: str, unit: str, points: list[Point]) -> Slope:
    """Fit a line by least squares and print it."""
    count = len(points)
    mean_x = sum(p.size for p in points) / count
    mean_y = sum(p.cost for p in points) / count
    spread = sum((p.size - mean_x) ** 2 for p in points)
    slope = sum((p.size - mean_x) * (p.cost - mean_y) for p in points) / spread
    base = mean_y - slope * mean_x
    worst = max(abs(p.cost - base - slope * p.size) for p in points)
    error = worst / max(abs(p.cost) for p in points)
    print(f"{name}: {slope:.4g} {unit} per {per} + {base:.4g} (error {error:.0%})")
    return Slope(
        name=name,
        per=per,
        unit=unit,
        slope=slope,
        base=base,
        error=error,
        points=tuple(points),
    )


def time_call(work: Callable[[], object], repeat: int = 5) -> float:
    """Return the CPU time of the fastest of several calls, in milliseconds."""
    best = float("inf")
    for _ in range(repeat):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best * 1000


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory that the built object occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


# -- members --


def make_member(number: int) -> Member:
    """Return a membership record of typical size."""
    return Member(
        host=f"host-{number:05d}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7001",
        data_centre=f"region-{number % 3}-{number % 10}",
        incarnation=1_796_000_000_000 + number,
        life=MemberState.ALIVE,
        bundle=1,
    )


def make_membership(count: int) -> membership.Membership:
    """Return a host's view of the membership with ``count`` members."""
    state = membership.start_membership(make_member(0))
    for number in range(1, count):
        membership.apply_update(state, make_member(number), 0)
    return state


def measure_members() -> list[Slope]:
    """Measure a host's memory and CPU time per member of the fleet."""
    sizes = (500, 1_000, 2_000, 4_000, 7_400)
    memory = [
        Point(size=n, cost=measure_memory(lambda n=n: make_membership(n)))
        for n in sizes
    ]
    ring = []
    expire = []
    for size in sizes:
        state = make_membership(size)
        hosts = membership.list_live(state)
        Ring(hosts=hosts)  # fills the cache of weights before the timing
        ring.append(Point(size=size, cost=time_call(lambda h=hosts: Ring(hosts=h))))
        expire.append(
            Point(size=size, cost=time_call(lambda s=state: membership.expire(s, 1)))
        )
    return [
        fit_line("member memory", "member", "B", memory),
        fit_line("ring after a change", "member", "ms", ring),
        fit_line("expiry round", "member", "ms", expire),
    ]


def measure_ranking() -> list[Slope]:
    """Measure the CPU time of ranking the hosts for a database."""
    points = []
    for size in (500, 1_000, 2_000, 4_000, 7_400):
        ring = Ring(hosts=[f"host-{n:05d}" for n in range(size)])
        names = iter(range(10_000_000))

        def rank(ring: Ring = ring, names=names, size: int = size) -> None:
            for _ in range(50):
                # A new name each time, because the order of cells is cached.
                rank_hosts(ring, f"db-{next(names)}-{size}")

        points.append(Point(size=size, cost=time_call(rank) / 50))
    return [
        fit_line("ranking a new database", "member", "ms", points),
        fit_line("candidates after a change", "database", "ms", measure_candidates()),
    ]


def measure_candidates() -> list[Point]:
    """Measure how long one of 7,400 hosts takes to find the databases it may own."""
    ring = Ring(hosts=[f"host-{n:05d}" for n in range(7_400)])
    points = []
    for size in (1_500, 3_000, 6_000, 12_000):
        names = [f"database-{n}" for n in range(size)]

        def find(names: list[str] = names) -> list[str]:
            possible = [d for d in names if may_rank(ring, d, "host-00007", 3)]
            return [d for d in possible if "host-00007" in rank_hosts(ring, d)]

        find()  # fills the caches before the timing
        points.append(Point(size=size, cost=time_call(find)))
    return points


def measure_ping() -> list[Slope]:
    """Measure a ping's size and encoding time by the number of its records."""
    sizes, times = [], []
    for count in (1, 3, 5, 9):
        members = [make_member(n) for n in range(count)]

        def encode(members: list[Member] = members) -> bytes:
            message = codec.schema.Pings.new_message()
            codec.write_members(message.init("updates", len(members)), members)
            return message.to_bytes_packed()

        sizes.append(Point(size=count, cost=len(encode())))

        def run(encode: Callable[[], bytes] = encode) -> None:
            for _ in range(200):
                encode()

        times.append(Point(size=count, cost=time_call(run) / 200))
    return [
        fit_line("ping size", "record", "B", sizes),
        fit_line("ping encoding", "record", "ms", times),
    ]


# -- bundles --


def make_bundle_text(databases: int, version: int = 1, slots: int = 3) -> str:
    """Return the text of a bundle with equally many databases and callers."""
    parts = [f"[bundle]\nversion = {version}\n"]
    for number in range(databases):
        for server in range(3):
            parts.append(
                f"[backend-server d{number}-{server}]\ndatabase = d{number}\n"
                f"address = 10.0.0.1:{4000 + server}\n"
                f"replication-address = 10.0.0.1:{5000 + server}\n"
                f"data-centre = region-1-a\n"
                f"slots = {slots if number == server == 0 else 3}\n"
                f"connections = 20\n"
            )
        parts.append(
            f"[caller c{number}]\ndatabases = d{number}\npassword-hash = {HASH}\n"
        )
    for person in ("ana", "rui"):
        parts.append(f"[person {person}]\npublic-key = {PUBLIC_KEY}\n")
    return "\n".join(parts)


def measure_bundles() -> list[Slope]:
    """Measure a host's cost for each database in the bundle."""
    memory, join, change_bytes = [], [], []
    for size in (250, 500, 1_000, 2_000):
        bundle = parse_bundle(make_bundle_text(size), "bundle")
        pieces = split_bundle(bundle, EMPTY_BUNDLE)
        changed = parse_bundle(make_bundle_text(size, 2, slots=4), "bundle")
        after = split_bundle(changed, bundle)
        old = join_pieces(pieces)

        def apply_change(
            old: Bundle = old, before: Pieces = pieces, after=after
        ) -> None:
            texts = before.texts | after.texts
            join_changed(old, before, Pieces(root=after.root, texts=texts))

        join.append(Point(size=size, cost=time_call(apply_change, repeat=3)))
        root = len(json.dumps(list(after.root.pages)))
        new = [t for d, t in after.texts.items() if d not in pieces.texts]
        change_bytes.append(Point(size=size, cost=root + sum(map(len, new))))
        text = make_bundle_text(size)

        def build(text: str = text) -> tuple[Bundle, Pieces]:
            bundle = parse_bundle(text, "bundle")
            return bundle, split_bundle(bundle, EMPTY_BUNDLE)

        memory.append(Point(size=size, cost=measure_memory(build)))
    return [
        fit_line("bundle memory", "database", "B", memory),
        fit_line("taking one change", "database", "ms", join),
        fit_line("bytes of one change", "database", "B", change_bytes),
    ]


# -- sessions --


def measure_sessions() -> list[Slope]:
    """Measure an owner's memory for each remembered session."""

    def build(count: int) -> dict[SessionKey, LogPosition]:
        return {
            SessionKey(caller=f"caller-{n % 9}", session=f"session-{n}"): LogPosition(
                term=3, position=n
            )
            for n in range(count)
        }

    points = [
        Point(size=n, cost=measure_memory(lambda n=n: build(n)))
        for n in (1_000, 5_000, 10_000)
    ]
    return [fit_line("session mark memory", "session", "B", points)]


# -- live hosts --


def read_process(pid: int) -> tuple[float, float]:
    """Return the CPU seconds and resident bytes of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    seconds = ticks / os.sysconf("SC_CLK_TCK")
    return seconds, pages * resource.getpagesize()


def read_loopback() -> int:
    """Return the bytes received on the loopback device since boot."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[0])
    return 0


async def measure_traffic() -> float:
    """Measure the traffic on the loopback device, in bytes per second."""
    before = read_loopback()
    await asyncio.sleep(TRAFFIC_S)
    return (read_loopback() - before) / TRAFFIC_S


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleCost:
    """Cost of one idle host: % of a core, bytes, bytes per second."""

    cpu: float
    memory: float
    traffic: float


async def measure_idle(databases: int) -> IdleCost:
    """Measure the cost of one idle host that owns a number of databases."""
    names = tuple(f"d{n}" for n in range(databases))
    options = DeploymentOptions(hosts=1, databases=names)
    deployment = Deployment(options=options)
    try:
        await deployment.start()
        for database in options.databases:
            connection = await deployment.connect(0, database=database)
            await run_sql(connection, "SELECT COUNT(*) FROM delivery")
            connection.close()
        host = deployment.processes["host-0"]
        await asyncio.sleep(1)
        before, _ = read_process(host.pid)
        began = time.monotonic()
        with_host = await measure_traffic()
        await asyncio.sleep(max(began + IDLE_S - time.monotonic(), 0))
        after, memory = read_process(host.pid)
        host.kill()
        host.wait()
        # The remaining traffic is the replication between the stand-ins.
        without = await measure_traffic()
        return IdleCost(
            cpu=100 * (after - before) / IDLE_S,
            memory=memory,
            traffic=with_host - without,
        )
    finally:
        deployment.stop()


async def measure_owned() -> list[Slope]:
    """Measure an idle host's cost for each owned database."""
    cpu, memory, traffic = [], [], []
    for count in (1, 2, 4, 6):
        cost = await measure_idle(count)
        cpu.append(Point(size=count, cost=cost.cpu))
        memory.append(Point(size=count, cost=cost.memory))
        traffic.append(Point(size=count, cost=cost.traffic))
    return [
        fit_line("idle processor share", "owned database", "% of a core", cpu),
        fit_line("host memory", "owned database", "B", memory),
        fit_line("probe traffic", "owned database", "B/s", traffic),
    ]


async def measure_peers() -> list[Slope]:
    """Measure an idle host's cost by the number of hosts in the fleet."""
    cpu, traffic = [], []
    for count in (4, 8, 16, 32):
        options = DeploymentOptions(hosts=count)
        deployment = Deployment(options=options)
        try:
            await deployment.start()
            await asyncio.sleep(3)
            hosts = [deployment.processes[f"host-{n}"] for n in range(count)]
            before = [read_process(host.pid)[0] for host in hosts]
            began = time.monotonic()
            with_hosts = await measure_traffic()
            await asyncio.sleep(max(began + IDLE_S - time.monotonic(), 0))
            spent = [
                read_process(host.pid)[0] - b
                for host, b in zip(hosts, before, strict=True)
            ]
            cpu.append(Point(size=count, cost=100 * sorted(spent)[count // 2] / IDLE_S))
            for host in hosts:
                host.kill()
            without = await measure_traffic()
            traffic.append(Point(size=count, cost=(with_hosts - without) / count))
        finally:
            deployment.stop()
    return [
        fit_line("idle host, median", "host in the fleet", "% of a core", cpu),
        fit_line("traffic of a host", "host in the fleet", "B/s", traffic),
    ]


async def measure_links() -> list[Slope]:
    """Measure a host's memory for each link to another host."""
    return [fit_line("peer links", "link", "B", await measure_link_points())]


async def measure_link_points() -> list[Point]:
    """Measure this process's memory while it opens links to a server of its own."""
    handlers = PeerHandlers(
        execute=None,
        ping=lambda updates: [],
        fetch_root=str,
        fetch_pieces=lambda digests: [],
        witness=None,
        list_events=lambda topic, subject: [],
        list_burn=list,
        offer_database=lambda database: None,
        is_unfit=lambda database: False,
        is_holding=lambda database: False,
        on_disconnect=lambda origin: None,
    )
    address = f"127.0.0.1:{find_free_port()}"
    server = PeerServer(address=address, handlers=handlers, context=None)
    await server.start()
    links, points = [], []
    for count in (100, 200, 400, 800):
        while len(links) < count:
            link = PeerLinks(context=None)
            await link.ping(address, [])
            links.append(link)
        # Halved because both ends of a link are in this process.
        points.append(Point(size=count, cost=read_process(os.getpid())[1] / 2))
    for link in links:
        link.close()
    server.stop()
    return points


async def measure_connections() -> list[Slope]:
    """Measure an entry host's memory for each caller connection."""
    deployment = Deployment(options=DeploymentOptions(hosts=1))
    points = []
    connections = []
    try:
        await deployment.start()
        pid = deployment.processes["host-0"].pid
        for count in (100, 300, 600, 900):
            while len(connections) < count:
                connections.append(await deployment.connect(0))
            points.append(Point(size=count, cost=read_process(pid)[1]))
    finally:
        for connection in connections:
            connection.close()
        deployment.stop()
    return [fit_line("caller connections", "connection", "B", points)]


async def measure_statements() -> list[Slope]:
    """Measure CPU time per read at the entry host and at the owner."""
    deployment = Deployment(options=DeploymentOptions(hosts=2))
    entry, owner = [], []
    try:
        await deployment.start()
        connection = await deployment.connect(0)
        await run_sql(connection, "SELECT COUNT(*) FROM delivery")
        pids = [deployment.processes[f"host-{n}"].pid for n in range(2)]
        owner_number = await find_owner(deployment)
        for rate in (50, 100, 200, 300):
            text = (
                "[scenario]\nduration = 5 s\n[stream reads]\ncaller = members-app\n"
                "database = deliveries\nkind = balance\nwork = lookup\n"
                f"rate = {rate}\nsessions = 60\n"
            )
            before = [read_process(pid)[0] for pid in pids]
            port = deployment.host_ports(1 - owner_number)[0]
            entries = [EntryHost(host="127.0.0.1", port=port)]
            result = await run_load(parse_scenario(text, "s"), entries, PASSWORD)
            spent = [
                read_process(pid)[0] - b for pid, b in zip(pids, before, strict=True)
            ]
            count = len(result.operations)
            entry.append(Point(size=count, cost=1000 * spent[1 - owner_number]))
            owner.append(Point(size=count, cost=1000 * spent[owner_number]))
    finally:
        deployment.stop()
    return [
        fit_line("entry processor time", "statement", "ms", entry),
        fit_line("owner processor time", "statement", "ms", owner),
    ]


async def find_owner(deployment: Deployment) -> int:
    """Return the number of the host that owns the only database."""
    rows = await deployment.command(
        await deployment.find_primary(), "SELECT host FROM apricotshore_claim"
    )
    return int(str(rows[0][0]).removeprefix("host-"))


async def main() -> None:
    """Measure all slopes and write them to docs/slopes.json."""
    slopes = [
        *await measure_links(),
        *measure_members(),
        *measure_ranking(),
        *measure_ping(),
        *measure_bundles(),
        *measure_sessions(),
        *await measure_owned(),
        *await measure_peers(),
        *await measure_connections(),
        *await measure_statements(),
    ]
    head = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    )
    record = {
        "commit": head.stdout.strip(),
        "slopes": {slope.name: asdict(slope) for slope in slopes},
    }
    OUTPUT.write_text(json.dumps(record, indent=2) + "\n")


if __name__ == "__main__":
    sys.exit(asyncio.run(capnp.run(main())))
