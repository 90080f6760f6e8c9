import json
import os

from apricotshore.pooling.journal import (
    BUFFER_BYTES,
    FAILURE_LINES_PER_S,
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
    for number in range(FAILURE_LINES_PER_S * 2):
        journal.record(EventKind.REQUEST_FAILED, request=str(number))
    monkeypatch.setattr("apricotshore.pooling.journal.read_boot_ms", lambda: 6_000)
    journal.record(EventKind.STOPPED)
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert len(lines) == FAILURE_LINES_PER_S + 2
    assert json.loads(lines[-2])["lines"] == FAILURE_LINES_PER_S


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
