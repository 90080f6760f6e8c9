"""Statements that ended without a whole answer, and what hosts say of them.

A cut counts as RULES.md has it under "Draining and shutdown", or more: neither a
server that broke off nor a timeout excuses one, as a host can answer in both cases.
"""

import json
import time
from collections.abc import Iterable
from dataclasses import dataclass

from .callers import Record, Unanswered
from .faultlog import FaultLog
from .fleet import APPLY_S, GRACE_S, Host
from .model import Checker, now

# The host may not have read a statement that was sent this shortly before the end.
LOSS_SLACK_S = 0.2
# A stop counts as planned work until this long after its grace.
AFTER_GRACE_S = 1.0
STARTED = "started"
STOPPED = "stopped"
REQUEST_CUT = "request-cut"


@dataclass(frozen=True, kw_only=True)
class ToldCut:
    """A line of a host's log that tells of cuts.

    Parameters
    ----------
    since, until
        Between which the cuts came, in seconds of the soak's clock.
    line
        The line.
    """

    since: float
    until: float
    line: str


def check_cuts(record: Record, fault_log: FaultLog, checker: Checker) -> None:
    """Add a violation for each statement that was cut without an excuse."""
    for lost in record.unanswered:
        age_s = lost.ended_at - lost.sent_at
        reached = lost.request in checker.reached
        if not reached and (
            age_s <= LOSS_SLACK_S or not _is_beside_planned_work(lost, fault_log)
        ):
            continue
        if fault_log.find_unplanned(lost.host, lost.sent_at, lost.ended_at):
            continue
        place = "reached a server" if reached else "reached no server"
        stop = fault_log.find_stop(lost.host, lost.ended_at, GRACE_S + AFTER_GRACE_S)
        after = f", {lost.ended_at - stop.began_at:.3f} s after SIGTERM" if stop else ""
        checker.add_violation(
            "DRAIN",
            f"{lost.request} at {lost.host}, sent {lost.sent_at:.3f}, "
            f"cut {age_s:.3f} s later{after}, {place}",
        )


def _is_beside_planned_work(lost: Unanswered, fault_log: FaultLog) -> bool:
    window_s = GRACE_S + AFTER_GRACE_S
    if fault_log.find_stop(lost.host, lost.ended_at, window_s):
        return True
    return fault_log.find_reload(lost.host, lost.sent_at, APPLY_S) is not None


def check_told_cuts(host: Host, fault_log: FaultLog, checker: Checker) -> None:
    """Add a violation for each line of a host's log that tells of unexcused cuts."""
    lines = (host.folder / f"{host.name}.log").read_text().splitlines()
    for cut in list_told_cuts(lines, time.time() - now()):
        if not fault_log.find_unplanned(host.name, cut.since, cut.until):
            checker.add_violation("CUT", f"{host.name} {cut.line}")


def list_told_cuts(lines: Iterable[str], clock_ahead_s: float) -> list[ToldCut]:
    """Return the lines that tell of cuts.

    Parameters
    ----------
    lines
        Log of a host.
    clock_ahead_s
        What the clock of the log is ahead of the soak's.
    """
    started = 0.0
    told = []
    for line in lines:
        if f'"step":"{STARTED}"' in line:
            started = json.loads(line)["time"] / 1000 - clock_ahead_s
        if f'"step":"{STOPPED}"' not in line and f'"step":"{REQUEST_CUT}"' not in line:
            continue
        row = json.loads(line)
        until = row["time"] / 1000 - clock_ahead_s
        if row["step"] == REQUEST_CUT:
            since = until - row.get("took_ms", 0) / 1000
            told.append(ToldCut(since=since, until=until, line=line))
        elif row.get("cut"):
            # It counts the cuts of the whole process.
            told.append(ToldCut(since=started, until=until, line=line))
    return told


def check_exits(host: Host, fault_log: FaultLog, checker: Checker) -> None:
    """Add a violation for each process that ended otherwise than it should."""
    for code in host.crash_codes:
        checker.add_violation("EXIT", f"{host.name} exited unexpectedly with {code}")
    for at in host.overdue:
        if not fault_log.is_frozen(host.name, at):
            checker.add_violation(
                "GRACE", f"{host.name} still ran {GRACE_S} s after SIGTERM, at {at:.3f}"
            )
