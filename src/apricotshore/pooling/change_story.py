"""The story of one group's changes of primary, from the journals of all hosts.

Hosts that act at the same time are marked, whether they may or not.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .journal import STEP_MS, EventKind
from .trace import Record, select_records

# A change without a last line, of a host that ended, is over after this time.
CHANGE_MS = 30_000
END_OF_TIME_MS = 1 << 62
MARK = "!!"
_GROUP_KINDS = frozenset(
    {
        EventKind.PRIMARY_CHANGE,
        EventKind.PROMOTION,
        EventKind.PRIMARY_FOUND,
        EventKind.PRIMARY_LOST,
        EventKind.PRIMARY_SILENT,
        EventKind.PRIMARY_REPLACED,
        EventKind.QUIESCED,
        EventKind.SERVER_GONE,
        EventKind.SERVER_LISTED,
        EventKind.SERVER_RECREATED,
    }
)
_HOST_KINDS = frozenset(
    {
        EventKind.STARTED,
        EventKind.STOPPING,
        EventKind.STOPPED,
        EventKind.CLOCK_STEPPED,
        EventKind.LINES_OMITTED,
        EventKind.STORE_RESTORED,
    }
)
_LAST_PHASES = frozenset({"ended", "unconfirmed"})
_ACTING_PHASES = frozenset(
    {"pausing", "holding", "yielding", "promoting", "leased", "lease-conflict"}
)


@dataclass(kw_only=True, slots=True)
class HostClock:
    """Clock of one host, as its records tell it.

    Parameters
    ----------
    offset_ms
        How far the time of day was ahead of the boot clock at first.
    boot_ms
        Boot clock when it was last recorded.
    stepped_ms
        How far the time of day has been stepped since.
    last_ms
        Time of the last record.
    """

    offset_ms: int | None = None
    boot_ms: int = 0
    stepped_ms: int = 0
    last_ms: int = 0

    def correct(self, record: Record) -> int:
        """Return the time of a record without the steps since the first one."""
        boot_ms = record.details.get("boot_ms")
        if isinstance(boot_ms, int):
            offset_ms = record.time_ms - boot_ms
            # After a boot, the offset tells nothing of steps.
            if self.offset_ms is None or boot_ms < self.boot_ms:
                self.offset_ms = offset_ms - self.stepped_ms
            self.stepped_ms = offset_ms - self.offset_ms
            self.boot_ms = boot_ms
        time_ms = record.time_ms - self.stepped_ms
        # Both clocks are rounded: records must not change places by that.
        if 0 < self.last_ms - time_ms <= STEP_MS:
            time_ms = self.last_ms
        self.last_ms = time_ms
        return time_ms


def order_records(records: Iterable[Record]) -> list[Record]:
    """Return records in order, with steps of each host's time of day taken out.

    Every host's times are those of its clock at its first line. The records of one
    host have to be in the order in which they were written.
    """
    clocks: defaultdict[str, HostClock] = defaultdict(HostClock)
    ordered = [replace(r, time_ms=clocks[r.host].correct(r)) for r in records]
    return sorted(ordered, key=lambda r: r.time_ms)


@dataclass(kw_only=True)
class ChangeStory:
    """Teller of one group's changes, who knows which hosts run one."""

    # When each host began the change that it runs.
    began: dict[str, int] = field(default_factory=dict)
    # Summaries of promotions that were told. A host that stops writes them again.
    summaries: set[tuple[str, str]] = field(default_factory=set)

    def tell(self, record: Record) -> list[str]:
        """Return a record as lines of text, after marks of what overlaps with it."""
        marks: list[str] = []
        if record.step is EventKind.PRIMARY_CHANGE:
            marks = self._observe_phase(record)
        elif record.step in (EventKind.STARTED, EventKind.STOPPED):
            self.began.pop(record.host, None)
        elif record.step is EventKind.PROMOTION:
            summary = (record.host, str(record.details))
            if summary in self.summaries:
                return []
            self.summaries.add(summary)
            marks = _mark_shortfall(record)
        return [*(f"{MARK} {mark}" for mark in marks), record.describe()]

    def _observe_phase(self, record: Record) -> list[str]:
        phase, host = str(record.details.get("phase")), record.host
        marks = []
        if phase == "began":
            self.began[host] = record.time_ms
            marks = self._find_others(record, "begins a change")
        elif phase in _ACTING_PHASES:
            marks = self._find_others(record, f"acts ({phase})")
        elif record.details.get("command") == "resume":
            marks = self._find_others(record, "resumes a server")
        if phase == "leased":
            marks += self._find_other_lease(record)
        if phase in _LAST_PHASES:
            self.began.pop(host, None)
        return marks

    def _find_others(self, record: Record, deed: str) -> list[str]:
        """Return marks for the changes of other hosts that have not ended."""
        return [
            f"overlap: {record.host} {deed} while {other}'s change of {began} goes on"
            for other, began in self.began.items()
            if other != record.host and self._runs_change(other, record.time_ms)
        ]

    def _runs_change(self, host: str, time_ms: int) -> bool:
        return host in self.began and time_ms - self.began[host] < CHANGE_MS

    def _find_other_lease(self, record: Record) -> list[str]:
        """Return a mark if a write replaced the lease of another holder."""
        host, details = record.host, record.details
        former, was_open = details.get("former"), details.get("former_open")
        if not former:
            return []
        if self._runs_change(host, record.time_ms) or not details.get("open"):
            state = "open" if was_open else "released"
            return [f"lease: {host} writes over that of {former} ({state})"]
        if was_open:
            return [f"lease: {host} takes over the open one of {former}"]
        return []


def _mark_shortfall(record: Record) -> list[str]:
    """Return a mark for a promotion of a server whose log lacked known entries."""
    short, target = record.details.get("short"), record.details.get("to")
    if not short:
        return []
    return [f"short: {record.host} orders {target}, {short} entries behind"]


def tell_changes(
    records: Iterable[Record],
    group: str,
    since_ms: int = 0,
    until_ms: int = END_OF_TIME_MS,
) -> list[str]:
    """Return the story of a group's changes of primary as lines of text.

    Parameters
    ----------
    records
        Records of all hosts, each host's as they were written.
    group
        The group.
    since_ms, until_ms
        Time range in Unix milliseconds, without the steps of clocks.
    """
    ordered = order_records(records)
    of_group = select_records(ordered, group, since_ms, until_ms)
    told = [r for r in of_group if r.step in _GROUP_KINDS]
    if not told:
        return []
    of_all = select_records(ordered, "", since_ms, until_ms)
    told += [r for r in of_all if r.step in _HOST_KINDS]
    story = ChangeStory()
    lines: list[str] = []
    for record in sorted(told, key=lambda r: r.time_ms):
        lines += story.tell(record)
    return lines
