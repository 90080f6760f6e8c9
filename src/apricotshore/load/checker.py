"""Checker of histories for violations of the guarantees."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .history import Operation, Stored, Verdicts, Work

PAIR_SUFFIXES = ("/a", "/b")

_READS = frozenset({Work.BALANCE, Work.LOOKUP, Work.BATCH})


@dataclass(kw_only=True, slots=True)
class Findings:
    """Violations by guarantee; each entry is the tag of an operation or a note.

    Parameters
    ----------
    lost
        Acknowledged writes that are not stored completely.
    doubled
        Writes that are stored more than once.
    ran_after_all
        Writes that are stored although their verdict was ``not-run``.
    split
        Transactions that are only partly stored.
    stale
        Reads that missed earlier writes of the same session.
    went_back
        Reads that returned less than an earlier read of the session.
    misdelivered
        Reads that returned the answer to another request.
    strange
        Notes of stored rows that no session wrote.
    """

    lost: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    ran_after_all: list[str] = field(default_factory=list)
    split: list[str] = field(default_factory=list)
    stale: list[str] = field(default_factory=list)
    went_back: list[str] = field(default_factory=list)
    misdelivered: list[str] = field(default_factory=list)
    strange: list[str] = field(default_factory=list)

    def count(self) -> int:
        """Return the number of violations."""
        return sum(len(found) for _, found in self.items())

    def items(self) -> Iterable[tuple[str, list[str]]]:
        """Yield each guarantee's name with its violations."""
        for name in self.__slots__:
            yield name, getattr(self, name)

    def describe(self) -> str:
        """Return one line per guarantee."""
        return "\n".join(
            f"{name}: {len(found)}" + (f" ({', '.join(found[:5])})" if found else "")
            for name, found in self.items()
        )


def _list_expected_notes(operation: Operation) -> list[str]:
    if operation.work is Work.ENTRY:
        return [operation.tag]
    return [operation.tag + suffix for suffix in PAIR_SUFFIXES]


def _check_writes(
    operations: list[Operation], counts: dict[str, int], findings: Findings
) -> None:
    known: set[str] = set()
    for operation in operations:
        if operation.work not in (Work.ENTRY, Work.PAIR):
            continue
        notes = _list_expected_notes(operation)
        known.update(notes)
        found = [counts.get(note, 0) for note in notes]
        if operation.verdict is Verdicts.RAN and min(found) == 0:
            findings.lost.append(operation.tag)
        if operation.verdict is Verdicts.NOT_RUN and max(found) > 0:
            findings.ran_after_all.append(operation.tag)
        if max(found) > 1:
            findings.doubled.append(operation.tag)
        if min(found) != max(found):
            findings.split.append(operation.tag)
    findings.strange.extend(sorted(counts.keys() - known))


def _check_session(operations: list[Operation], findings: Findings) -> None:
    written = 0
    seen = 0
    for operation in sorted(operations, key=lambda o: o.number):
        if operation.verdict is not Verdicts.RAN:
            continue
        if operation.work is Work.ENTRY:
            written = max(written, operation.sequence)
        elif operation.work is not Work.BATCH and operation.work in _READS:
            if operation.sequence < written:
                findings.stale.append(operation.tag)
            if operation.sequence < seen:
                findings.went_back.append(operation.tag)
            seen = max(seen, operation.sequence)
    for operation in operations:
        answered = operation.verdict is Verdicts.RAN and operation.work in _READS
        if answered and operation.echo != operation.tag:
            findings.misdelivered.append(operation.tag)


def check_history(
    operations: Iterable[Operation], stored: Iterable[Stored]
) -> Findings:
    """Check a history for violations of the guarantees.

    Parameters
    ----------
    operations
        Operations of all sessions. Operations of one session must not overlap.
    stored
        Notes found in the databases after the run.

    Returns
    -------
    Findings
        All violations.
    """
    findings = Findings()
    operations = list(operations)
    _check_writes(operations, {row.note: row.count for row in stored}, findings)
    sessions: dict[str, list[Operation]] = defaultdict(list)
    for operation in operations:
        sessions[operation.session].append(operation)
    for session_operations in sessions.values():
        _check_session(session_operations, findings)
    return findings
