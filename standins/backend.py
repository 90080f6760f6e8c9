"""Stand-in for a backend server: MySQL protocol over sqlite, member of a group."""

import argparse
import asyncio
import os
import signal

from mysql_mimic import MysqlServer
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.types import Capabilities

from .group import Faults, Group, Options
from .replication import STREAM_LIMIT_BYTES, Replication
from .sessions import Session


async def run(options: Options, faults: Faults) -> None:
    """Serve clients and replication streams until SIGTERM."""
    group = Group(options=options, faults=faults)
    replication = Replication(group=group)
    server = MysqlServer(
        session_factory=lambda: Session(group=group),
        capabilities=DEFAULT_SERVER_CAPABILITIES & ~Capabilities.CLIENT_DEPRECATE_EOF,
        control=group.control,
    )
    await server.start_server(host="127.0.0.1", port=options.port)
    streams = await asyncio.start_server(
        replication.serve,
        "127.0.0.1",
        options.replication_port,
        limit=STREAM_LIMIT_BYTES,
    )
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    tasks = [
        asyncio.create_task(group.apply_loop()),
        asyncio.create_task(replication.pull_loop()),
    ]
    print(f"ready {options.server}", flush=True)
    await stop.wait()
    for task in tasks:
        task.cancel()
    streams.close()
    os._exit(0)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--server", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--replication-port", type=int, required=True)
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--connections", type=int, default=20)
    parser.add_argument("--connect-ms", type=int, default=0)
    parser.add_argument("--latency-ms", type=float, default=0)
    parser.add_argument("--work-ms", type=int, default=1)
    parser.add_argument("--lag-ms", type=int, default=0)
    parser.add_argument("--primary", action="store_true")
    parser.add_argument("--follow", default="")
    parser.add_argument("--schema", default="")
    args = parser.parse_args()
    options = Options(
        server=args.server,
        port=args.port,
        replication_port=args.replication_port,
        members=args.members,
        slots=args.slots,
        connections=args.connections,
        primary=args.primary,
        schema=[s for s in args.schema.split(";") if s.strip()],
    )
    faults = Faults(
        lag_ms=args.lag_ms,
        work_ms=args.work_ms,
        connect_ms=args.connect_ms,
        latency_ms=args.latency_ms,
    )
    asyncio.run(run(options, faults))


if __name__ == "__main__":
    main()
