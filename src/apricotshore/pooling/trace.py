"""Reading and filtering of the journals of pooling hosts."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from ..freshness.revocations import SHOWN_DIGITS
from .journal import EventKind

# A revocation is shown with the events of this time before the first host applied it.
REVOCATION_CONTEXT_MS = 10_000
_PROOF_KINDS = frozenset(
    {
        EventKind.CONFIGURATION_STALE,
        EventKind.CONFIGURATION_FRESH,
        EventKind.KEYED_REFUSED,
    }
)
# A request is shown with the events of this time before its first line.
CONTEXT_MS = 3_000
_CONTEXT_KINDS = frozenset(
    {
        EventKind.PRIMARY_FOUND,
        EventKind.PRIMARY_LOST,
        EventKind.PRIMARY_SILENT,
        EventKind.PRIMARY_CHANGE,
        EventKind.CONFIGURATION_APPLIED,
        EventKind.SERVER_GONE,
        EventKind.SERVER_RECREATED,
        EventKind.STORE_LOST,
        EventKind.STORE_BACK,
        EventKind.STOPPING,
        EventKind.STOP_PHASE,
        EventKind.STARTED,
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One line of a host's journal.

    Parameters
    ----------
    time_ms
        Time of the event by the host's clock, in Unix milliseconds.
    host, step
        Host that wrote the line and kind of the event.
    details
        The other keys of the line.
    """

    time_ms: int
    host: str
    step: EventKind
    details: dict[str, object] = field(default_factory=dict)

    def describe(self) -> str:
        """Return the record as one line of text."""
        details = " ".join(f"{key}={value}" for key, value in self.details.items())
        return f"{self.time_ms} {self.host} {self.step.value} {details}".rstrip()


def read_records(lines: Iterable[str]) -> Iterator[Record]:
    """Yield the records in lines; text in front of a record is skipped."""
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            found = _read_line(json.loads(line[start:]))
        except (AttributeError, KeyError, TypeError, ValueError):
            continue
        yield from found


def _read_line(table: dict[str, Any]) -> list[Record]:
    """Return the records of a line, each failure that it names apart."""
    others = table.pop("others", [])
    host, step = str(table.pop("host")), EventKind(table.pop("step"))
    return [
        Record(time_ms=int(each.pop("time")), host=host, step=step, details=each)
        for each in (*others, table)
    ]


def explain_request(records: Iterable[Record], request: str) -> list[Record]:
    """Return the records of a request and of what changed around it.

    The context consists of the events of the hosts that served the request, and
    of the changes of primary that any host ran.
    """
    known = sorted(records, key=lambda r: r.time_ms)
    own = [r for r in known if r.details.get("request") == request]
    if not own:
        return []
    hosts = {r.host for r in own}
    first, last = own[0].time_ms - CONTEXT_MS, own[-1].time_ms
    return [
        r
        for r in known
        if r.details.get("request") == request
        or (
            r.step in _CONTEXT_KINDS
            and first <= r.time_ms <= last
            and (r.host in hosts or r.step is EventKind.PRIMARY_CHANGE)
        )
    ]


def select_records(
    records: Iterable[Record], group: str, since_ms: int, until_ms: int
) -> list[Record]:
    """Return the records of a time range, of one group or (if empty) of all."""
    found = [
        r
        for r in records
        if since_ms <= r.time_ms <= until_ms
        and (not group or group in (r.details.get("group"), r.details.get("database")))
    ]
    return sorted(found, key=lambda r: r.time_ms)


def explain_revocation(records: Iterable[Record], key: str) -> list[str]:
    """Return when each host applied the version that revoked a key.

    Parameters
    ----------
    records
        Records of all hosts.
    key
        Start of the hex SHA-256 digest of the key, of 8 digits or more.

    Returns
    -------
    list
        Lines of text: the version and the age of its proof for each host, with the
        requests that it refused before for the age of its proof; and the hosts that
        have not applied such a version. Empty if no host has.
    """
    known = sorted(records, key=lambda r: r.time_ms)
    shown = key[:SHOWN_DIGITS].lower()
    applied: dict[str, Record] = {}
    for record in known:
        if shown in _list_revoked(record):
            # The latest one counts: a key may be added again.
            applied[record.host] = record
    if not applied:
        return []
    first = min(r.time_ms for r in applied.values()) - REVOCATION_CONTEXT_MS
    last = {host: record.time_ms for host, record in applied.items()}
    found = [
        r.describe()
        for r in known
        if applied.get(r.host) is r
        or (
            r.step in _PROOF_KINDS and first <= r.time_ms <= last.get(r.host, r.time_ms)
        )
    ]
    missing = sorted({r.host for r in known} - applied.keys())
    return found + [f"{host} has not applied such a version" for host in missing]


def _list_revoked(record: Record) -> list[object]:
    revoked = record.details.get("revoked")
    return revoked if isinstance(revoked, list) else []
