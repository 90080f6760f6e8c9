"""Structured log of a host: one JSON object per line, written without blocking."""

import json
import os
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..services.clock import read_boot_ms, read_wall_ms, read_wall_offset_ms

BUFFER_BYTES = 262_144
LINES_PER_S = 60
# Failures of one kind that a line names.
FAILURES_PER_LINE = 120
# Time to the line of the failures after a first one, and between those that follow.
FIRST_PERIOD_S = 1
LATER_PERIOD_S = 3
# Characters of a text in a line of a request: ids of requests come from clients.
LONGEST_TEXT = 300
# Causes of one kind of failures that are written at once while they go on.
CAUSES_AT_ONCE = 4
# A word with a figure names an object or an amount, and no cause.
_NAMES = re.compile(r"\S*\d\S*")
# Start of a line that an excerpt shows.
SHOWN_BYTES = 200
# A smaller change of the time of day between two lines is none that matters.
STEP_MS = 250


class EventKind(Enum):
    """Kind of event that a line reports."""

    STARTED = "started"
    STOPPING = "stopping"
    STOP_PHASE = "stop-phase"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    SPILLOVER = "spillover"
    STORE_LOST = "store-lost"
    STORE_BACK = "store-back"
    STORE_RESTORED = "store-restored"
    WATCH_RESTARTED = "watch-restarted"
    CONFIGURATION_APPLIED = "configuration-applied"
    CONFIGURATION_IGNORED = "configuration-ignored"
    CONFIGURATION_REFUSED = "configuration-refused"
    KEYS_WITHDRAWN = "keys-withdrawn"
    CONFIGURATION_STALE = "configuration-stale"
    CONFIGURATION_FRESH = "configuration-fresh"
    PROOF_SOURCE = "proof-source"
    KEYED_REFUSED = "keyed-refused"
    SERVER_LISTED = "server-listed"
    SERVER_GONE = "server-gone"
    SERVER_RECREATED = "server-reborn"
    ENTRY_REFUSED = "entry-refused"
    PRIMARY_FOUND = "lead-found"
    PRIMARY_LOST = "lead-lost"
    PRIMARY_SILENT = "lead-silent"
    PRIMARY_PROOF = "lead-proof"
    PRIMARY_REPLACED = "lead-replaced"
    OUTAGE_ENDED = "outage-ended"
    QUIESCED = "quiesced"
    PROMOTION = "promotion"
    PRIMARY_CHANGE = "handover"
    HOSTS_LISTED = "hosts-listed"
    RELAY_FAILED = "holder-failed"
    DETOUR_FAILED = "detour-failed"
    REQUEST_SERVED = "request-served"
    REQUEST_RETRIED = "request-retried"
    REQUEST_FAILED = "request-failed"
    REQUEST_CUT = "request-cut"
    CALLER_REFUSED = "caller-refused"
    CALLER_CLOSED = "caller-closed"
    TRANSACTION_ENDED = "transaction-ended"
    LINES_OMITTED = "lines-omitted"
    CLOCK_STEPPED = "clock-stepped"
    LOOP_STALLED = "loop-stalled"
    RATE_LIMITED = "rate-limited"
    RATE_SHARE = "rate-share"
    ERROR = "error"


# Kinds whose lines also carry the boot clock, which nobody steps.
_BOOT_KINDS = frozenset(
    {EventKind.STARTED, EventKind.PRIMARY_CHANGE, EventKind.CLOCK_STEPPED}
)
_SAMPLED = frozenset({EventKind.REQUEST_SERVED, EventKind.REQUEST_RETRIED})
_FAILURES = frozenset(
    {
        EventKind.REQUEST_FAILED,
        EventKind.REQUEST_CUT,
        EventKind.CALLER_REFUSED,
        EventKind.CALLER_CLOSED,
        EventKind.TRANSACTION_ENDED,
        EventKind.KEYED_REFUSED,
        EventKind.RELAY_FAILED,
        EventKind.DETOUR_FAILED,
    }
)


@dataclass(kw_only=True, slots=True)
class LeftOut:
    """Failures of one kind since its last line.

    Parameters
    ----------
    newest
        Details of the last one.
    others
        Details of those before, as far as the next line names them.
    count
        Number of those before.
    """

    newest: dict[str, object]
    others: list[dict[str, object]] = field(default_factory=list)
    count: int = 0


@dataclass(kw_only=True, slots=True)
class Failures:
    """Failures of one kind that go on.

    Parameters
    ----------
    due
        Second since boot as of which the next line is written.
    written
        Second of the last line.
    causes
        Causes of which a line was written at once.
    left_out
        Those since the last line, None without any.
    """

    due: int
    written: int
    causes: set[str] = field(default_factory=set)
    left_out: LeftOut | None = None


def encode_line(host: str, step: EventKind, details: dict[str, object]) -> bytes:
    """Return an event of now as a line, without its end."""
    line: dict[str, object] = {
        "time": read_wall_ms(),
        "host": host,
        "step": step.value,
    }
    line.update((k, v) for k, v in details.items() if v is not None)
    if step in _BOOT_KINDS:
        line["boot_ms"] = read_boot_ms()
    return json.dumps(line, separators=(",", ":"), default=str).encode()


class Journal:
    """Non-blocking writer of one host's events, with a limit on their rate.

    Parameters
    ----------
    host
        Name of the host, written on every line.
    descriptor
        File descriptor to write to; standard output by default.
    """

    def __init__(self, *, host: str, descriptor: int | None = None) -> None:
        self.host = host
        self.descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self.descriptor, False)
        self.buffer = bytearray()
        self.omitted = 0
        self.second = 0
        self.wall_offset = read_wall_offset_ms()
        # Lines of served requests in this second.
        self.served = 0
        self.failures: dict[EventKind, Failures] = {}
        # Called once lines of failures have been written.
        self.after_failures: Callable[[], None] | None = None
        # Bytes of lines other than served requests since promotions were written again.
        self.bytes_since_repeat = 0

    def record(self, step: EventKind, **details: object) -> None:
        """Write an event, or only count it when its kind is over its rate.

        The first failure of a kind, and of each cause, is written at once. A line each
        `LATER_PERIOD_S` names those that follow, or sooner once it is full, but at most
        one a second.
        """
        self._observe_second()
        if step in _FAILURES or step in _SAMPLED:
            details = {name: _shorten(value) for name, value in details.items()}
        if step in _FAILURES:
            self._record_failure(step, details)
        elif step in _SAMPLED and self.served >= LINES_PER_S:
            self.omitted += 1
        else:
            self.served += step in _SAMPLED
            self._write(step, details)

    def _record_failure(self, step: EventKind, details: dict[str, object]) -> None:
        failures = self.failures.setdefault(
            step, Failures(due=self.second + FIRST_PERIOD_S, written=self.second)
        )
        cause = _find_cause(details)
        if cause not in failures.causes and len(failures.causes) < CAUSES_AT_ONCE:
            failures.causes.add(cause)
            self._write(step, details)
            self._end_failures()
            return
        if failures.written < self.second and _is_full(failures):
            self._write_left_out(step, failures)
            self._end_failures()
        _leave_out(failures, {"time": read_wall_ms(), **details})

    def record_left_out(self) -> None:
        """Write the failures that were left out, in a line of each kind."""
        for step, failures in list(self.failures.items()):
            self._write_left_out(step, failures)

    def _write_left_out(self, step: EventKind, failures: Failures) -> None:
        left_out, failures.left_out = failures.left_out, None
        failures.written = self.second
        failures.due = self.second + LATER_PERIOD_S
        if left_out is None:
            return
        counted: dict[str, object] = {"count": left_out.count or None}
        named = {"others": left_out.others or None}
        self._write(step, counted | left_out.newest | named)

    def _write_due_failures(self) -> None:
        due = [
            (step, failures)
            for step, failures in self.failures.items()
            if failures.due <= self.second or _is_full(failures)
        ]
        for step, failures in due:
            quiet_until = failures.written + LATER_PERIOD_S
            if failures.left_out is not None:
                self._write_left_out(step, failures)
            elif quiet_until <= self.second:
                # They have ended: the next one is written at once.
                del self.failures[step]
            else:
                failures.due = quiet_until
        if due:
            self._end_failures()

    def _end_failures(self) -> None:
        if self.after_failures is not None:
            self.after_failures()

    def _observe_second(self) -> None:
        second = read_boot_ms() // 1000
        if second == self.second:
            return
        self.second = second
        self.served = 0
        if self.omitted:
            omitted, self.omitted = self.omitted, 0
            self._write(EventKind.LINES_OMITTED, {"lines": omitted})
        self._write_due_failures()

    def _write(self, step: EventKind, details: dict[str, object]) -> None:
        self._observe_clock()
        self._append(step, details)

    def _append(self, step: EventKind, details: dict[str, object]) -> bool:
        """Add a line to the buffer; return False if it is omitted."""
        data = encode_line(self.host, step, details) + b"\n"
        if len(self.buffer) + len(data) > BUFFER_BYTES:
            self.omitted += 1
            return False
        self.buffer += data
        if step is not EventKind.REQUEST_SERVED:
            self.bytes_since_repeat += min(len(data), SHOWN_BYTES)
        self._drain()
        return True

    def _observe_clock(self) -> None:
        """Record a step of the time of day since the last line."""
        offset = read_wall_offset_ms()
        stepped_ms = offset - self.wall_offset
        is_stepped = abs(stepped_ms) > STEP_MS
        # A step whose line is omitted is reported with the next line.
        if not is_stepped or self._append(
            EventKind.CLOCK_STEPPED, {"stepped_ms": stepped_ms}
        ):
            self.wall_offset = offset

    def flush(self) -> None:
        """Write what is due, and as much of the buffer as is accepted now."""
        self._observe_second()
        self._drain()

    def _drain(self) -> None:
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone: the error cannot be reported anywhere.
                self.buffer.clear()
                return
            del self.buffer[:written]


def _shorten(value: object) -> object:
    """Return a value without the end of a text that a client made long."""
    if isinstance(value, str) and len(value) > LONGEST_TEXT:
        return value[:LONGEST_TEXT]
    return value


def _find_cause(details: dict[str, object]) -> str:
    """Return the code of a failure and why it came, without names and figures."""
    why = str(details.get("detail") or details.get("why") or "")
    return f"{details.get('code')} {_NAMES.sub('', why.partition(',')[0])}"


def _leave_out(failures: Failures, details: dict[str, object]) -> None:
    """Keep a failure for the next line of its kind."""
    left_out = failures.left_out
    if left_out is None:
        failures.left_out = LeftOut(newest=details)
        return
    if not _is_full(failures):
        left_out.others.append(left_out.newest)
    left_out.newest = details
    left_out.count += 1


def _is_full(failures: Failures) -> bool:
    """Return whether the next line of a kind can name no further failure."""
    left_out = failures.left_out
    return left_out is not None and len(left_out.others) >= FAILURES_PER_LINE - 1
