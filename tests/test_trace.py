import json
import os

import pytest

from apricotshore.pooling.change_story import order_records, tell_changes
from apricotshore.pooling.journal import (
    BUFFER_BYTES,
    CAUSES_AT_ONCE,
    FAILURES_PER_LINE,
    LATER_PERIOD_S,
    EventKind,
    Journal,
)
from apricotshore.pooling.trace import explain_request, read_records, select_records

from .test_cli import run_command

LINES = [
    '{"time":1000,"host":"a","step":"lead-silent","group":"g"}',
    '{"time":1500,"host":"b","step":"handover","group":"g","phase":"promoting"}',
    '{"time":1600,"host":"c","step":"lead-silent","group":"g"}',
    "noise",
    '  1.9 a {"time":1900,"host":"a","step":"request-failed","request":"r1"}',
    '{"time":9000,"host":"a","step":"lead-found","group":"g"}',
    '{"time":"x","host":"a","step":"unheard-of"}',
]


def test_request_is_explained_with_the_events_of_its_host():
    found = explain_request(read_records(LINES), "r1")
    assert [(r.time_ms, r.host) for r in found] == [
        (1000, "a"),
        (1500, "b"),
        (1900, "a"),
    ]


def test_records_are_selected_by_group_and_time():
    found = select_records(read_records(LINES), "g", 1_200, 9_000)
    assert [r.time_ms for r in found] == [1500, 1600, 9000]


def test_command_reads_files(tmp_path):
    path = tmp_path / "a.log"
    path.write_text("\n".join(LINES))
    done = run_command("trace", str(path), "--request", "r1")
    assert done.returncode == 0
    assert "request-failed request=r1" in done.stdout
    assert run_command("trace", str(path), "--request", "zz").returncode == 1


REVOCATION_LINES = [
    '{"time":100,"host":"b","step":"keyed-refused","proof_age_ms":4900}',
    '{"time":20000,"host":"a","step":"configuration-applied","version":7,'
    '"revoked":["0a1b2c3d"],"proof_age_ms":12}',
    '{"time":21000,"host":"b","step":"configuration-stale","proof_age_ms":4751}',
    '{"time":21200,"host":"b","step":"keyed-refused","proof_age_ms":4950,"others":'
    '[{"time":21100,"proof_age_ms":4850}]}',
    '{"time":22000,"host":"b","step":"configuration-applied","version":7,'
    '"revoked":["0a1b2c3d","ffffffff"],"proof_age_ms":9}',
    '{"time":23000,"host":"c","step":"started"}',
]


def test_revocation_of_a_key_is_shown_for_each_host(tmp_path):
    """Guards against a revocation that can't be traced to the hosts it reached."""
    path = tmp_path / "all.log"
    path.write_text("\n".join(REVOCATION_LINES))
    done = run_command("trace", str(path), "--key", "0A1B2C3D44")
    assert done.returncode == 0
    words = [line.split()[:3] for line in done.stdout.splitlines()]
    assert words == [
        ["20000", "a", "configuration-applied"],
        ["21000", "b", "configuration-stale"],
        ["21100", "b", "keyed-refused"],
        ["21200", "b", "keyed-refused"],
        ["22000", "b", "configuration-applied"],
        ["c", "has", "not"],
    ]
    assert run_command("trace", str(path), "--key", "00000000").returncode == 1


def test_stalled_reader_does_not_block_and_lines_stay_whole():
    reader, writer = os.pipe()
    journal = Journal(host="h", descriptor=writer)
    for number in range(20_000):
        journal.record(EventKind.PRIMARY_CHANGE, number=number, filler="x" * 60)
    assert journal.omitted > 0
    received = b""
    os.set_blocking(reader, False)
    while True:
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        journal.flush()
    for line in received.decode().splitlines():
        json.loads(line)


def test_failures_above_the_rate_limit_are_counted(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 5_000)
    journal = Journal(host="h", descriptor=writer)
    for number in range(FAILURES_PER_LINE * 2):
        journal.record(EventKind.REQUEST_FAILED, request=str(number))
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 6_000)
    journal.record(EventKind.STOPPED)
    lines = os.read(reader, 1 << 20).decode().splitlines()
    first, others, stopped = map(json.loads, lines)
    assert (first["request"], "count" in first) == ("0", False)
    assert others["request"] == str(FAILURES_PER_LINE * 2 - 1)
    # With the two that have these lines, these are all.
    assert others["count"] == FAILURES_PER_LINE * 2 - 2
    assert len(others["others"]) == FAILURES_PER_LINE - 1
    assert stopped["step"] == "stopped"
    assert journal.omitted == 0


def read_failures(journal, reader, monkeypatch, events):
    """Return the lines of failures that come at given milliseconds since boot."""
    for now, step, details in events:
        monkeypatch.setattr(
            "apricotshore.pooling.journal.read_boot_ms", lambda now=now: now
        )
        journal.record(step, **details)
    journal.record_left_out()
    return os.read(reader, 1 << 20).decode().splitlines()


def test_failures_of_a_kind_are_one_line_a_second(monkeypatch):
    reader, writer = os.pipe()
    journal = Journal(host="h", descriptor=writer)
    failed, refused = EventKind.REQUEST_FAILED, EventKind.CALLER_REFUSED
    events = [
        *((1_000 + n, failed, {"request": f"r{n}"}) for n in range(300)),
        (1_400, refused, {"database": "a"}),
        (1_500, refused, {"database": "b"}),
        *((2_000 + n, failed, {"request": f"s{n}"}) for n in range(3)),
        (3_100, refused, {"database": "c"}),
    ]
    rows = [
        json.loads(line) for line in read_failures(journal, reader, monkeypatch, events)
    ]
    assert [(r["step"], r.get("request"), r.get("count")) for r in rows] == [
        ("request-failed", "r0", None),
        ("caller-refused", None, None),
        ("request-failed", "r299", 298),
        ("caller-refused", None, None),
        ("request-failed", "s2", 2),
        ("caller-refused", None, None),
    ]
    databases = [r["database"] for r in rows if r["step"] == "caller-refused"]
    assert databases == ["a", "b", "c"]


def test_failures_that_go_on_are_one_line_in_three_seconds(monkeypatch):
    reader, writer = os.pipe()
    journal = Journal(host="h", descriptor=writer)
    seconds = 30
    events = [
        (1_000 * second + 999 * each, EventKind.REQUEST_FAILED, {"request": "r"})
        for second in range(1, seconds + 1)
        for each in (0, 1)
    ]
    lines = read_failures(journal, reader, monkeypatch, events)
    # The first at once, and the others from a second later.
    assert len(lines) <= 2 + seconds // LATER_PERIOD_S
    rows = list(read_records(lines))
    assert len(rows) == len(events)


@pytest.mark.parametrize("period_s", [1, 2, 3])
def test_single_failures_that_go_on_are_one_line_in_three_seconds(
    monkeypatch, period_s
):
    reader, writer = os.pipe()
    journal = Journal(host="h", descriptor=writer)
    seconds = 30
    events = [
        (1_000 * second, EventKind.REQUEST_FAILED, {"request": f"r{second}"})
        for second in range(1, seconds + 1, period_s)
    ]
    lines = read_failures(journal, reader, monkeypatch, events)
    assert len(lines) <= 2 + seconds // LATER_PERIOD_S
    found = {r.details["request"] for r in read_records(lines)}
    assert found == {details["request"] for _, _, details in events}


def test_failure_after_quiet_seconds_is_written_at_once(monkeypatch):
    reader, writer = os.pipe()
    journal = Journal(host="h", descriptor=writer)
    failed = EventKind.REQUEST_FAILED
    for now in (1_000, 1_500, 2_000, 5_000, 5_500):
        monkeypatch.setattr(
            "apricotshore.pooling.journal.read_boot_ms", lambda now=now: now
        )
        journal.flush()
    journal.record(failed, request="r1")
    assert [row["request"] for row in read_lines(reader)] == ["r1"]
    for now in (6_000, 7_000, 8_000):
        monkeypatch.setattr(
            "apricotshore.pooling.journal.read_boot_ms", lambda now=now: now
        )
        journal.flush()
    journal.record(failed, request="r2")
    assert [row["request"] for row in read_lines(reader)] == ["r2"]


def test_first_failure_of_each_cause_is_written_at_once(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 5_000)
    journal = Journal(host="h", descriptor=writer)
    no_primary = {"code": "overloaded", "detail": "no primary, retry-after-ms=190"}
    later = {"code": "overloaded", "detail": "no primary, retry-after-ms=480"}
    in_doubt = {"code": "unknown-outcome", "detail": "no answer in time"}
    cut = {"code": "unknown-outcome", "detail": "i-5f3cadb598 closed the connection"}
    also_cut = {"code": "unknown-outcome", "detail": "i-7e closed the connection"}
    causes = (no_primary, later, in_doubt, cut, also_cut)
    for number, details in enumerate(causes):
        journal.record(EventKind.REQUEST_FAILED, request=f"r{number}", **details)
    assert [row["request"] for row in read_lines(reader)] == ["r0", "r2", "r3"]


def test_failures_of_ever_new_causes_are_few_lines(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 5_000)
    journal = Journal(host="h", descriptor=writer)
    for number in range(60):
        words = "x" * number
        journal.record(EventKind.REQUEST_FAILED, request=str(number), detail=words)
    assert len(read_lines(reader)) == CAUSES_AT_ONCE
    journal.record_left_out()
    (left_out,) = read_lines(reader)
    assert left_out["count"] == 59 - CAUSES_AT_ONCE


@pytest.mark.parametrize("rate", [1, 39, 40, 100, FAILURES_PER_LINE])
def test_each_of_failures_that_go_on_is_found_by_its_id(monkeypatch, tmp_path, rate):
    path = tmp_path / "log"
    journal = Journal(host="h", descriptor=os.open(path, os.O_WRONLY | os.O_CREAT))
    requests = {f"r{n}" for n in range(20 * rate)}
    for number in range(20 * rate):
        now = 1_000 + 1_000 * number // rate
        monkeypatch.setattr(
            "apricotshore.pooling.journal.read_boot_ms", lambda now=now: now
        )
        journal.record(EventKind.REQUEST_FAILED, request=f"r{number}", code="x")
    journal.record_left_out()
    lines = path.read_text().splitlines()
    assert {r.details["request"] for r in read_records(lines)} == requests
    assert len(lines) <= 22


def test_count_is_in_front_of_what_is_cut_off(monkeypatch):
    reader, writer = os.pipe()
    journal = Journal(host="front-braga-a-2", descriptor=writer)
    details = {"request": "bf13de37c5febcd5", "detail": "x" * 200}
    events = [(1_000, EventKind.REQUEST_FAILED, details)] * 4
    line = read_failures(journal, reader, monkeypatch, events)[-1]
    assert '"count":2,"request":"bf13de37c5febcd5"' in line[:200]


def test_every_failed_request_is_found_by_its_id(monkeypatch):
    reader, writer = os.pipe()
    journal = Journal(host="h", descriptor=writer)
    details = {"database": "shop", "took_ms": 193, "code": "overloaded"}
    events = [
        (1_000 + n, EventKind.REQUEST_FAILED, {"request": f"r{n}", **details})
        for n in range(FAILURES_PER_LINE + 1)
    ]
    lines = read_failures(journal, reader, monkeypatch, events)
    assert len(lines) == 2
    for _, _, failure in events:
        found = explain_request(read_records(lines), failure["request"])
        (told,) = found
        assert {**told.details, "count": None} == {**failure, "count": None}
        assert (told.host, told.step) == ("h", EventKind.REQUEST_FAILED)
        assert told.time_ms > 0


def test_failures_left_out_are_written_without_another_event(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 5_000)
    journal = Journal(host="h", descriptor=writer)
    for number in range(3):
        journal.record(EventKind.REQUEST_FAILED, request=str(number))
    journal.flush()
    assert [r["request"] for r in read_lines(reader)] == ["0"]
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 6_000)
    journal.flush()
    assert [(r["request"], r["count"]) for r in read_lines(reader)] == [("2", 1)]


@pytest.mark.parametrize("others", ["1", "[1]", '[{"request":"r1"}]', "{}", "null"])
def test_odd_list_of_failures_costs_only_its_line(others):
    odd = '{"time":1,"host":"a","step":"request-failed","others":' + others + "}"
    found = list(read_records([odd, LINES[0]]))
    assert found[-1].time_ms == 1000


def make_stepped_journal(monkeypatch, offsets):
    """Return a journal that reads the offsets of the time of day in turn."""
    reader, writer = os.pipe()
    left = iter(offsets)
    monkeypatch.setattr(
        "apricotshore.pooling.journal.read_wall_offset_ms", lambda: next(left)
    )
    return reader, Journal(host="h", descriptor=writer)


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_step_of_the_time_of_day_is_recorded_before_the_next_line(monkeypatch):
    # Read once when the journal is made and once for each line.
    offsets = [1_000, 1_000, 6_000, 6_000, 6_250, 3_999]
    reader, journal = make_stepped_journal(monkeypatch, offsets)
    for _ in range(5):
        journal.record(EventKind.STOPPED)
    lines = read_lines(reader)
    assert [line.get("stepped_ms") for line in lines] == [
        None,
        5_000,
        None,
        None,
        None,
        -2_251,
        None,
    ]
    assert all("boot_ms" in line for line in lines if "stepped_ms" in line)


def test_boot_clock_is_on_lines_of_starts_and_changes_only(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 5_000)
    journal = Journal(host="h", descriptor=writer)
    journal.record(EventKind.STARTED)
    journal.record(EventKind.PRIMARY_CHANGE, phase="began")
    journal.record(EventKind.REQUEST_SERVED, request="r")
    assert [line.get("boot_ms") for line in read_lines(reader)] == [5_000, 5_000, None]


def test_steps_amid_a_stalled_reader_do_not_block(monkeypatch):
    reader, writer = os.pipe()
    offset = iter(range(0, 1 << 40, 1_000))
    monkeypatch.setattr(
        "apricotshore.pooling.journal.read_wall_offset_ms", lambda: next(offset) // 3
    )
    journal = Journal(host="h", descriptor=writer)
    for number in range(20_000):
        journal.record(EventKind.PRIMARY_CHANGE, number=number)
    assert journal.omitted > 0
    assert len(journal.buffer) <= BUFFER_BYTES
    os.close(reader)


def test_step_whose_line_is_omitted_is_recorded_later(monkeypatch):
    reader, journal = make_stepped_journal(monkeypatch, [0, 5_000, 5_000])
    monkeypatch.setattr("apricotshore.pooling.journal.BUFFER_BYTES", 0)
    journal.record(EventKind.STOPPED)
    assert journal.omitted == 2
    monkeypatch.setattr("apricotshore.pooling.journal.BUFFER_BYTES", BUFFER_BYTES)
    journal.record(EventKind.STOPPED)
    assert read_lines(reader)[0]["stepped_ms"] == 5_000


def line(time_ms, host, step="handover", **details):
    table = {"time": time_ms, "host": host, "step": step}
    if step == "handover":
        table["group"] = "g"
    return json.dumps({**table, **details}, separators=(",", ":"))


def make_change(start, host, holder):
    """Return the lines of a planned change that goes well."""
    return [
        line(start, host, phase="leased", holder=holder, revision=1, open=True),
        line(start + 1, host, phase="began", reason="leaving", replaced="s1"),
        line(start + 5, host, phase="yielded", server="s1", mark="1.9"),
        line(start + 9, host, phase="promoting", server="s2", mark="1.9"),
        line(start + 600, host, phase="settled", server="s2", received="2.1"),
        line(start + 601, host, phase="leased", holder=holder, open=False),
        line(start + 602, host, phase="ended", outcome="settled"),
    ]


def tell(lines):
    return tell_changes(read_records(lines), "g")


def find_marks(lines):
    return [told for told in tell(lines) if told.startswith("!!")]


def test_changes_of_a_group_are_told_in_order():
    lines = make_change(5_000, "b", "b/2") + make_change(1_000, "a", "a/1")
    lines.append(line(1_300, "c", "lead-found", group="g", server="s2"))
    lines.append(line(1_301, "c", "lead-found", group="other", server="s9"))
    lines.append(line(1_302, "c", "request-failed", group="g"))
    lines.append(line(500, "a", "started"))
    told = tell(lines)
    assert [int(each.split()[0]) for each in told] == [
        500,
        *(1_000, 1_001, 1_005, 1_009, 1_300, 1_600, 1_601, 1_602),
        *(5_000, 5_001, 5_005, 5_009, 5_600, 5_601, 5_602),
    ]
    assert "mark=1.9" in told[3]
    assert find_marks(lines) == []


def test_two_hosts_that_change_at_the_same_time_are_marked():
    lines = make_change(1_000, "a", "a/1") + make_change(1_007, "b", "b/2")
    marks = find_marks(lines)
    assert marks[:2] == [
        "!! overlap: b acts (leased) while a's change of 1001 goes on",
        "!! overlap: b begins a change while a's change of 1001 goes on",
    ]
    assert any("a acts (promoting) while b's change" in mark for mark in marks)


def test_resume_of_a_host_amid_the_change_of_another_is_marked():
    resume = line(1_100, "b", phase="answered", server="s3", command="resume")
    marks = find_marks([*make_change(1_000, "a", "a/1"), resume])
    assert marks == ["!! overlap: b resumes a server while a's change of 1001 goes on"]
    late = line(2_000, "b", phase="answered", server="s3", command="resume")
    assert find_marks([*make_change(1_000, "a", "a/1"), late]) == []


@pytest.mark.parametrize("is_open", [True, False])
def test_lease_written_over_that_of_another_amid_a_change_is_marked(is_open):
    over = {"holder": "a/1", "former": "b/2", "former_open": True}
    lines = make_change(1_000, "a", "a/1")
    lines.insert(4, line(1_500, "a", phase="leased", open=is_open, **over))
    assert find_marks(lines) == ["!! lease: a writes over that of b/2 (open)"]


def test_lease_released_by_a_host_that_does_not_hold_it_is_marked():
    over = {"holder": "a/1", "former": "b/2", "former_open": True}
    lines = [line(1_500, "a", phase="leased", open=False, **over)]
    assert find_marks(lines) == ["!! lease: a writes over that of b/2 (open)"]


def test_promotion_that_a_stopped_host_wrote_again_is_told_once():
    summary = {"group": "g", "to": "s2@1.9", "lost": "s1@1.9", "by": "hosts 9+600"}
    lines = make_change(1_000, "a", "a/1")
    lines.append(line(1_603, "a", "promotion", **summary))
    lines.append(line(5_000, "a", "stopped"))
    lines.append(line(5_001, "a", "promotion", **summary))
    lines.append(line(5_002, "a", "promotion", **{**summary, "by": "hosts 9+open"}))
    told = [text for text in tell(lines) if "promotion" in text]
    assert [text.split()[0] for text in told] == ["1603", "5002"]
    assert told[0].endswith("promotion group=g to=s2@1.9 lost=s1@1.9 by=hosts 9+600")


def test_promotion_with_a_shortfall_is_marked():
    summary = {"to": "s2@1.9", "lost": "s1@1.21", "by": "hosts 9+open"}
    lines = make_change(1_000, "a", "a/1")
    short = line(1_004, "a", "promotion", group="g", short=12, **summary)
    lines[3:3] = [short, short]
    assert find_marks(lines) == ["!! short: a orders s2@1.9, 12 entries behind"]


def test_lease_that_is_taken_over_is_marked_as_that():
    over = {"holder": "a/1", "former": "b/2", "open": True}
    open_one = line(1_500, "a", phase="leased", former_open=True, **over)
    assert find_marks([open_one]) == ["!! lease: a takes over the open one of b/2"]
    released = line(1_500, "a", phase="leased", former_open=False, **over)
    assert find_marks([released]) == []


def test_change_of_a_host_that_stopped_overlaps_with_none():
    lines = make_change(1_000, "a", "a/1")[:4]
    lines.append(line(1_020, "a", "stopped"))
    assert find_marks([*lines, *make_change(1_030, "b", "b/2")]) == []


def test_records_of_a_host_keep_their_order_when_its_clock_is_stepped():
    lines = [
        line(10_000, "a", "started", boot_ms=500),
        line(10_100, "a", phase="began", boot_ms=600),
        line(5_200, "a", "clock-stepped", stepped_ms=-5_000, boot_ms=700),
        line(5_300, "a", "lead-found", group="g"),
        line(5_400, "a", phase="ended", boot_ms=900),
        line(10_350, "b", "lead-found", group="g"),
        line(5_500, "a", "started", boot_ms=100),
        line(5_600, "a", "lead-found", group="g"),
    ]
    ordered = order_records(read_records(lines))
    assert [(r.host, r.time_ms) for r in ordered] == [
        ("a", 10_000),
        ("a", 10_100),
        ("a", 10_200),
        ("a", 10_300),
        ("b", 10_350),
        ("a", 10_400),
        ("a", 10_500),
        ("a", 10_600),
    ]


def test_rounding_of_the_clocks_does_not_swap_records():
    lines = [
        line(1_000, "a", phase="began", boot_ms=500),
        line(1_001, "a", phase="yielding", boot_ms=500),
        line(1_001, "a", "lead-lost", group="g"),
        line(1_001, "a", phase="yielded", boot_ms=501),
    ]
    found = order_records(read_records(lines))
    assert [r.details.get("phase") for r in found] == [
        "began",
        "yielding",
        None,
        "yielded",
    ]


def test_command_tells_the_changes_of_a_group(tmp_path):
    path = tmp_path / "a.log"
    lines = make_change(1_000, "a", "a/1") + make_change(1_007, "b", "b/2")
    path.write_text("\n".join(lines))
    done = run_command("trace", str(path), "--group", "g", "--changes")
    assert done.returncode == 0
    assert "!! overlap: b begins a change" in done.stdout
    without_group = run_command("trace", str(path), "--changes")
    assert without_group.returncode == 1
    assert "--changes needs a --group" in without_group.stderr
    missing = run_command("trace", str(path), "--group", "h", "--changes")
    assert missing.returncode == 1


def test_change_without_a_last_line_is_over_after_a_while():
    lines = make_change(1_000, "a", "a/1")[:4]
    assert find_marks([*lines, *make_change(30_900, "b", "b/2")])
    assert find_marks([*lines, *make_change(31_001, "b", "b/2")]) == []
