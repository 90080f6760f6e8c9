"""Demonstration of a failover and a withdrawal with one database and two hosts."""

import asyncio
import signal
import sys
import time
from contextlib import suppress

import aiomysql
from pymysql.err import MySQLError

from apricotshore.identifiers import CallerId
from apricotshore.services import operations
from apricotshore.services.platform import PlatformClient
from standins.deployment import Deployment, DeploymentOptions, run_sql

WRITERS = 3
LOAD_BEFORE_S = 1.5
LOAD_AFTER_S = 2.0
PROOF_TIMEOUT_S = 10.0


def print_line(text: str) -> None:
    """Print one line of the summary."""
    print(text, flush=True)


class WriteResults:
    """Outcomes of the writers' inserts, by the note of each row."""

    def __init__(self) -> None:
        self.acknowledged: list[str] = []
        self.unknown: list[str] = []
        self.acknowledged_at: list[float] = []


async def write_deliveries(
    deployment: Deployment, writer: int, results: WriteResults, stop: asyncio.Event
) -> None:
    """Insert rows one after another until stop is set, and record the outcomes."""
    connection = await deployment.connect(writer % deployment.options.hosts)
    number = 0
    while not stop.is_set():
        number += 1
        note = f"w{writer}-{number}"
        sql = (
            "INSERT INTO delivery (member, amount, note) "
            f"VALUES ('member-{writer}', 1, '{note}') "
            f"/* kind='delivery',idempotent='no',request_id='{note}' */"
        )
        try:
            await run_sql(connection, sql)
            results.acknowledged.append(note)
            results.acknowledged_at.append(time.monotonic())
        except MySQLError as error:
            if "verdict=not-run" not in str(error):
                results.unknown.append(note)
    connection.close()


async def show_session(deployment: Deployment) -> None:
    """Check that a session reads its own write through another host."""
    first = await deployment.connect(0)
    await run_sql(
        first,
        "INSERT INTO delivery (member, amount, note) VALUES ('maria', 7, 'demo') "
        "/* kind='delivery',idempotent='no',request_id='maria-1' */",
    )
    token = (await run_sql(first, "SELECT @apricotshore_token"))[0][0]
    first.close()
    second = await deployment.connect(1)
    await run_sql(second, f"SET @apricotshore_token = '{token}'")
    rows = await run_sql(
        second,
        "SELECT SUM(amount) FROM delivery WHERE member = 'maria' /* kind='balance' */",
    )
    second.close()
    print_line(
        f"session: delivery of 7 entered at host-0, balance at host-1 is {rows[0][0]}"
    )
    if int(rows[0][0]) != 7:
        raise SystemExit("the session did not read its own write")


async def show_failover(deployment: Deployment) -> None:
    """Kill the primary under load and count lost and duplicate writes."""
    results, stop = WriteResults(), asyncio.Event()
    writers = [
        asyncio.create_task(write_deliveries(deployment, n, results, stop))
        for n in range(WRITERS)
    ]
    await asyncio.sleep(LOAD_BEFORE_S)
    primary = await deployment.find_primary()
    killed_at = time.monotonic()
    deployment.signal(primary, signal.SIGKILL)
    while not results.acknowledged_at or results.acknowledged_at[-1] < killed_at + 0.1:
        await asyncio.sleep(0.02)
    await asyncio.sleep(LOAD_AFTER_S)
    stop.set()
    await asyncio.gather(*writers)
    gap = min(t for t in results.acknowledged_at if t > killed_at + 0.1) - killed_at
    successor = await deployment.find_primary()
    print_line(
        f"failover: {primary} killed, {successor} promoted, write gap {gap:.2f} s"
    )
    reader = await deployment.connect(0)
    rows = await run_sql(
        reader, "SELECT note, COUNT(*) FROM delivery WHERE note LIKE 'w%' GROUP BY note"
    )
    reader.close()
    found = {note: count for note, count in rows}
    lost = [n for n in results.acknowledged if n not in found]
    doubled = [n for n, count in found.items() if count > 1]
    print_line(
        f"writes: {len(results.acknowledged)} acknowledged, {len(results.unknown)} of "
        f"unknown outcome, {len(lost)} lost, {len(doubled)} doubled"
    )
    if lost or doubled:
        raise SystemExit("acknowledged writes were lost or doubled")


async def show_withdrawal(deployment: Deployment) -> None:
    """Withdraw a caller's access and print the proof."""
    connection = await deployment.connect(1, caller="old-branch")
    await run_sql(connection, "SELECT COUNT(*) FROM delivery /* kind='balance' */")
    started = time.monotonic()
    await deployment.roll_out(("members-app",))
    rejected_at = None
    while rejected_at is None and time.monotonic() < started + PROOF_TIMEOUT_S:
        try:
            await run_sql(connection, "SELECT 1 FROM delivery /* kind='balance' */")
        except (MySQLError, aiomysql.InterfaceError, RuntimeError):
            rejected_at = time.monotonic()
    if rejected_at is None:
        raise SystemExit("the withdrawn caller is still served")
    print_line(
        f"withdrawal: old-branch cut after {rejected_at - started:.2f} s; proof:"
    )
    # Needs every server to confirm; main() has restarted the killed one.
    await prove(deployment, started)


async def prove(deployment: Deployment, started: float) -> None:
    """Wait until every server has confirmed the withdrawal and print the proof."""
    client = PlatformClient(address=deployment.platform_address)
    try:
        while True:
            report = await operations.prove_withdrawal(client, CallerId("old-branch"))
            late = time.monotonic() > started + PROOF_TIMEOUT_S
            if report.proof.proved or late:
                break
            await asyncio.sleep(0.1)
        for line in operations.format_report(report):
            print_line(f"  {line}")
    finally:
        await client.close()
    if not report.proof.proved:
        raise SystemExit("the withdrawal was not proved")


async def main() -> None:
    """Run the demonstration."""
    started = time.monotonic()
    deployment = Deployment(options=DeploymentOptions())
    try:
        await deployment.start()
        print_line(
            "started: platform, 3 backend servers and 2 hosts; bundle 1 in force"
        )
        await show_session(deployment)
        await show_failover(deployment)
        for name, process in list(deployment.processes.items()):
            if name.startswith("deliveries") and process.poll() is not None:
                deployment.start_server(name)
        await show_withdrawal(deployment)
    finally:
        with suppress(ProcessLookupError):
            deployment.stop()
    print_line(f"done in {time.monotonic() - started:.1f} s")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
