"""Histories of load runs: operations with their outcomes, and stored rows."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path


class Verdicts(Enum):
    """Outcome of an operation as reported to the session."""

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Work(Enum):
    """Type of an operation.

    ENTRY inserts one row. PAIR inserts two rows in one transaction. BALANCE and
    LOOKUP read the highest entry of the session. BATCH is a long read that counts
    the rows of the session.
    """

    ENTRY = "entry"
    PAIR = "pair"
    BALANCE = "balance"
    LOOKUP = "lookup"
    BATCH = "batch"


@dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """One operation of a session.

    Parameters
    ----------
    number
        Number in order of arrival.
    stream, kind
        Stream that it belongs to and its request kind.
    session, host
        Session that sent it and index of the host that received it.
    work
        Type of the operation.
    arrived_s, ended_s
        Seconds since the start of the run. Arrival is the time in the open-loop
        schedule, not the time at which it was sent.
    verdict
        Outcome as reported to the session.
    tag
        Unique text, stored as the note of rows or returned by a read.
    sequence
        For writes, the session's sequence number; for reads, the one returned.
    echo
        Tag that a read returned.
    reason
        Reason of a failure.
    repeated
        Whether the request was deliberately sent twice.
    """

    number: int
    stream: str
    kind: str
    session: str
    host: int
    work: Work
    arrived_s: float
    ended_s: float
    verdict: Verdicts
    tag: str
    sequence: int = 0
    echo: str = ""
    reason: str = ""
    repeated: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """A note and the number of rows that contain it after the run."""

    note: str
    count: int


def write_history(
    path: Path, operations: Iterable[Operation], stored: Iterable[Stored]
) -> None:
    """Write a history to a file as JSON lines."""
    with path.open("w") as file:
        for operation in operations:
            record = asdict(operation)
            record["work"] = operation.work.value
            record["verdict"] = operation.verdict.value
            file.write(json.dumps(record) + "\n")
        for row in stored:
            file.write(json.dumps(asdict(row)) + "\n")


def read_history(path: Path) -> tuple[list[Operation], list[Stored]]:
    """Read a history written by `write_history`."""
    operations: list[Operation] = []
    stored: list[Stored] = []
    for line in path.read_text().splitlines():
        record = json.loads(line)
        if "note" in record:
            stored.append(Stored(**record))
            continue
        record["work"] = Work(record["work"])
        record["verdict"] = Verdicts(record["verdict"])
        operations.append(Operation(**record))
    return operations, stored
