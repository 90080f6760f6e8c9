"""Tests that the history checker detects the violation of each guarantee."""

import pytest

from apricotshore.load import Operation, Stored, Verdicts, check_history
from apricotshore.load.history import Work


def make_operation(number, work, verdict=Verdicts.RAN, **more):
    tag = more.pop("tag", f"t{number}")
    return Operation(
        number=number,
        stream="s",
        kind="k",
        session="one",
        host=0,
        work=work,
        arrived_s=number,
        ended_s=number + 0.5,
        verdict=verdict,
        tag=tag,
        echo=more.pop("echo", tag),
        **more,
    )


def test_valid_history_has_no_findings():
    operations = [
        make_operation(1, Work.ENTRY, sequence=1),
        make_operation(2, Work.BALANCE, sequence=1),
        make_operation(3, Work.PAIR),
        make_operation(4, Work.ENTRY, Verdicts.NOT_RUN, sequence=2),
        make_operation(5, Work.ENTRY, Verdicts.MAY_HAVE_RUN, sequence=3),
    ]
    stored = [
        Stored(note="t1", count=1),
        Stored(note="t3/a", count=1),
        Stored(note="t3/b", count=1),
        Stored(note="t5", count=1),
    ]
    assert check_history(operations, stored).count() == 0


@pytest.mark.parametrize(
    ("guarantee", "operations", "stored"),
    [
        ("lost", [make_operation(1, Work.ENTRY)], []),
        ("doubled", [make_operation(1, Work.ENTRY)], [Stored(note="t1", count=2)]),
        (
            "ran_after_all",
            [make_operation(1, Work.ENTRY, Verdicts.NOT_RUN)],
            [Stored(note="t1", count=1)],
        ),
        (
            "split",
            [make_operation(1, Work.PAIR, Verdicts.MAY_HAVE_RUN)],
            [Stored(note="t1/a", count=1)],
        ),
        (
            "stale",
            [
                make_operation(1, Work.ENTRY, sequence=1),
                make_operation(2, Work.BALANCE, sequence=0),
            ],
            [Stored(note="t1", count=1)],
        ),
        (
            "went_back",
            [
                make_operation(1, Work.BALANCE, sequence=4),
                make_operation(2, Work.BALANCE, sequence=3),
            ],
            [],
        ),
        ("misdelivered", [make_operation(1, Work.LOOKUP, echo="t9")], []),
        ("strange", [], [Stored(note="t1", count=1)]),
    ],
)
def test_each_violation_is_found(guarantee, operations, stored):
    assert getattr(check_history(operations, stored), guarantee)
