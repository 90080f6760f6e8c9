"""Histories of concurrent runs: what each session asked and was told."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path


class Verdicts(Enum):
    """What a session was told of an operation."""

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Work(Enum):
    """What an operation does.

    ENTRY inserts one row. PAIR inserts two rows in one transaction. BALANCE
    reads the highest entry of the session. BATCH is a long read.
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
        Order of arrival.
    stream, kind
        Where it came from, and the kind it was sent as.
    session, host
        Session that sent it and entry host that took it.
    work
        What it does.
    arrived_s, ended_s
        Seconds since the start; arrival is the time at which the open-loop
        schedule wanted it sent.
    verdict
        What the session was told.
    tag
        Unique text: the note of the rows, or the echo asked of a read.
    sequence
        For writes the session's running number; for reads the number seen.
    echo
        Tag that came back with a read.
    reason
        Reason of a failure.
    repeated
        Whether the same request was sent twice on purpose.
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
    """How often a note stands in the database after the run."""

    note: str
    count: int


def write_history(
    path: Path, operations: Iterable[Operation], stored: Iterable[Stored]
) -> None:
    """Write a history as JSON lines."""
    with path.open("w") as file:
        for operation in operations:
            record = asdict(operation)
            record["work"] = operation.work.value
            record["verdict"] = operation.verdict.value
            file.write(json.dumps(record) + "\n")
        for row in stored:
            file.write(json.dumps(asdict(row)) + "\n")


def read_history(path: Path) -> tuple[list[Operation], list[Stored]]:
    """Read a history that `write_history` wrote."""
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
