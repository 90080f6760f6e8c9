"""Cost of the limits in calm: ``python -m tests.intake.cost [--code TREE]``.

Prints the resident memory of a quiet session and the processor time of a statement
that the host answers itself and of one that a server answers, for the code of a tree.
"""

import argparse
import asyncio
import os
import statistics
import tempfile
from pathlib import Path

from . import harness

SESSIONS = 500
STATEMENTS = 4_000
ROUNDS = 5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_memory_kb(pid: int) -> int:
    """Return the resident memory now."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])


def read_processor_ms(pid: int) -> float:
    """Return the processor time so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / TICKS_PER_S


async def open_session(host: harness.Host):
    """Open a session that has run one statement."""
    reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
    writer.write(b"STARTUP shop u1\r\nQUERY 1 READ k\r\n")
    for _ in range(4):
        await reader.readline()
    return reader, writer


async def measure_statement_us(host: harness.Host, text: bytes, lines: int) -> float:
    """Return the host's processor time of a statement, one after the other."""
    reader, writer = await open_session(host)
    costs = []
    for _ in range(ROUNDS):
        before = read_processor_ms(host.process.pid)
        for _ in range(STATEMENTS):
            writer.write(b"QUERY 1 %b\r\n" % text)
            for _ in range(lines):
                await reader.readline()
        spent = read_processor_ms(host.process.pid) - before
        costs.append(spent * 1_000 / STATEMENTS)
    writer.close()
    return statistics.median(costs)


async def measure(code: Path) -> None:
    """Print the figures of the code in a tree."""
    harness.SERVE = code / "platform" / "serve.py"
    with tempfile.TemporaryDirectory() as folder:
        async with harness.running_host(Path(folder)) as host:
            kept = [await open_session(host) for _ in range(20)]
            before = read_memory_kb(host.process.pid)
            kept += [await open_session(host) for _ in range(SESSIONS)]
            grown = read_memory_kb(host.process.pid) - before
            print(f"quiet session: {grown / SESSIONS:.1f} KB")
            for _, writer in kept:
                writer.close()
            own = await measure_statement_us(host, b"SET a b", 2)
            print(f"SET: {own:.0f} us")
            read = await measure_statement_us(host, b"READ k", 3)
            print(f"READ: {read:.0f} us")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="python -m tests.intake.cost")
    parser.add_argument("--code", type=Path, default=harness.SERVE.parents[1])
    asyncio.run(measure(parser.parse_args().code))
