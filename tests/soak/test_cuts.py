"""Which statements without a whole answer count as cut."""

import signal
import subprocess
import sys

import pytest

from .callers import Record, Unanswered
from .cuts import check_cuts, check_exits, list_told_cuts
from .faultlog import RELOAD, FaultLog
from .fleet import GRACE_S, survives
from .model import Checker
from .test_run import make_host

STOPPED_AT = 100.0


def make_fault_log(kind: str = "stop", planned: bool = True) -> FaultLog:
    fault_log = FaultLog()
    fault = fault_log.begin(kind, "h0", planned=planned)
    fault.began_at, fault.ended_at = STOPPED_AT, STOPPED_AT + GRACE_S
    return fault_log


def list_violations(
    fault_log: FaultLog, *, sent_s: float, age_s: float, reached: bool
) -> list[str]:
    """Return the violations for a statement sent some time after the stop began."""
    sent_at = STOPPED_AT + sent_s
    lost = Unanswered(
        host="h0", request="1-1", sent_at=sent_at, ended_at=sent_at + age_s
    )
    checker = Checker(reached={"1-1"} if reached else set())
    check_cuts(Record(unanswered=[lost]), fault_log, checker)
    return checker.violations


@pytest.mark.parametrize("sent_s", [-0.3, 0.1, 2.9, 5.4, 6.9])
def test_cut_statement_that_reached_a_server_counts_at_any_age(sent_s):
    fault_log = make_fault_log()
    for age_s in (0.0, 0.1, 0.3):
        assert list_violations(fault_log, sent_s=sent_s, age_s=age_s, reached=True)


def test_cut_statement_that_reached_no_server_counts_beyond_the_slack():
    fault_log = make_fault_log()
    assert not list_violations(fault_log, sent_s=1.0, age_s=0.19, reached=False)
    assert list_violations(fault_log, sent_s=1.0, age_s=0.21, reached=False)
    # The stop counts until a second after its grace.
    assert list_violations(fault_log, sent_s=6.0, age_s=0.9, reached=False)
    assert not list_violations(fault_log, sent_s=6.0, age_s=1.1, reached=False)


def test_cut_statement_beside_a_reload_counts_beyond_the_slack():
    fault_log = make_fault_log(RELOAD)
    assert list_violations(fault_log, sent_s=2.9, age_s=0.3, reached=False)
    assert not list_violations(fault_log, sent_s=3.1, age_s=0.3, reached=False)


def test_unplanned_disruption_excuses_until_it_has_been_over_for_the_window():
    fault_log = make_fault_log("freeze", planned=False)
    over_s = GRACE_S + 5.0
    assert not list_violations(fault_log, sent_s=1.0, age_s=0.3, reached=True)
    assert not list_violations(fault_log, sent_s=over_s - 0.1, age_s=0.3, reached=True)
    assert list_violations(fault_log, sent_s=over_s + 0.1, age_s=0.3, reached=True)


def test_lines_of_cuts_are_told_with_the_time_of_the_cut():
    cut = '{"time":20500,"host":"h0","step":"request-cut","took_ms":300}'
    stopped = '{"time":20600,"host":"h0","step":"stopped","cut":1,"stopping_ms":5400}'
    lines = [
        '{"time":11000,"host":"h0","step":"started"}',
        cut,
        stopped,
        '{"time":30000,"host":"h0","step":"stopped","cut":0,"stopping_ms":3000}',
    ]
    first, second = list_told_cuts(lines, 10.0)
    assert (first.line, second.line) == (cut, stopped)
    assert (first.since, first.until) == pytest.approx((10.2, 10.5))
    assert (second.since, second.until) == pytest.approx((1.0, 10.6))


def test_process_that_needs_the_kill_counts_unless_it_was_frozen_just_before(tmp_path):
    host = make_host("h0", tmp_path)
    host.crash_codes.append(1)
    host.overdue.append(STOPPED_AT + GRACE_S)
    for kind, rules in (("stop", ["EXIT", "GRACE"]), ("freeze", ["EXIT"])):
        checker = Checker()
        check_exits(host, make_fault_log(kind, planned=kind == "stop"), checker)
        assert [v.split()[1].rstrip(":") for v in checker.violations] == rules


def test_process_survives_a_signal_that_it_handles():
    program = (
        "import signal; signal.signal(signal.SIGHUP, signal.SIG_IGN); print(1); input()"
    )
    command = [sys.executable, "-c", program]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        assert survives(process.pid, signal.SIGHUP)
        assert not survives(process.pid, signal.SIGTERM)
        process.kill()
