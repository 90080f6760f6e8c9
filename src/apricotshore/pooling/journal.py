"""Structured log of a host: one JSON object per line, written without blocking."""

import json
import os
import sys
from enum import Enum

from ..services.clock import read_boot_ms, read_wall_ms

BUFFER_BYTES = 262_144
LINES_PER_S = 60
FAILURE_LINES_PER_S = 120


class EventKind(Enum):
    """Kind of event that a line reports."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    STORE_LOST = "store-lost"
    STORE_BACK = "store-back"
    STORE_RESTORED = "store-restored"
    WATCH_RESTARTED = "watch-restarted"
    CONFIGURATION_APPLIED = "configuration-applied"
    CONFIGURATION_IGNORED = "configuration-ignored"
    CONFIGURATION_REFUSED = "configuration-refused"
    SERVER_LISTED = "server-listed"
    SERVER_GONE = "server-gone"
    SERVER_RECREATED = "server-reborn"
    ENTRY_REFUSED = "entry-refused"
    PRIMARY_FOUND = "lead-found"
    PRIMARY_LOST = "lead-lost"
    PRIMARY_SILENT = "lead-silent"
    PRIMARY_PROOF = "lead-proof"
    PRIMARY_REPLACED = "lead-replaced"
    PRIMARY_CHANGE = "handover"
    HOSTS_LISTED = "hosts-listed"
    RELAY_FAILED = "holder-failed"
    DETOUR_FAILED = "detour-failed"
    REQUEST_SERVED = "request-served"
    REQUEST_RETRIED = "request-retried"
    REQUEST_FAILED = "request-failed"
    CALLER_REFUSED = "caller-refused"
    TRANSACTION_ENDED = "transaction-ended"
    LINES_OMITTED = "lines-omitted"
    ERROR = "error"


_SAMPLED = frozenset({EventKind.REQUEST_SERVED, EventKind.REQUEST_RETRIED})
_FAILURES = frozenset(
    {
        EventKind.REQUEST_FAILED,
        EventKind.CALLER_REFUSED,
        EventKind.TRANSACTION_ENDED,
        EventKind.RELAY_FAILED,
        EventKind.DETOUR_FAILED,
    }
)


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
        self.counts = {EventKind.REQUEST_SERVED: 0, EventKind.REQUEST_FAILED: 0}

    def record(self, step: EventKind, **details: object) -> None:
        """Write an event, or only count it when its kind is over its rate."""
        if not self._admit(step):
            self.omitted += 1
            return
        self._write(step, details)

    def _admit(self, step: EventKind) -> bool:
        second = read_boot_ms() // 1000
        if second != self.second:
            self.second = second
            self.counts = {EventKind.REQUEST_SERVED: 0, EventKind.REQUEST_FAILED: 0}
            if self.omitted:
                omitted, self.omitted = self.omitted, 0
                self._write(EventKind.LINES_OMITTED, {"lines": omitted})
        if step in _SAMPLED:
            self.counts[EventKind.REQUEST_SERVED] += 1
            return self.counts[EventKind.REQUEST_SERVED] <= LINES_PER_S
        if step in _FAILURES:
            self.counts[EventKind.REQUEST_FAILED] += 1
            return self.counts[EventKind.REQUEST_FAILED] <= FAILURE_LINES_PER_S
        return True

    def _write(self, step: EventKind, details: dict[str, object]) -> None:
        line = {"time": read_wall_ms(), "host": self.host, "step": step.value}
        line.update((k, v) for k, v in details.items() if v is not None)
        data = json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"
        if len(self.buffer) + len(data) > BUFFER_BYTES:
            self.omitted += 1
            return
        self.buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
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
