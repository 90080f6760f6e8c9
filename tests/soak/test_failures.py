"""What a failed run of the soak tells."""

from .failures import print_failure
from .run import Result


def make_result(folder, violations: list[str]) -> Result:
    return Result(
        seed=1,
        violations=violations,
        served=10,
        promotions=1,
        restarts=0,
        injected=["0.0+1.00 kill"],
        folder=folder,
    )


def test_failed_run_tells_faults_notes_and_lines_of_its_group_alone(tmp_path, capsys):
    (tmp_path / "notes.txt").write_text("1 order of g0-1 by h0\n1 order of g1-1\n")
    (tmp_path / "h0.log").write_text(
        '{"step":"handover","group":"g0"}\n{"step":"handover","group":"g1"}\n'
        '{"step":"request-served","group":"g0"}\n'
    )
    print_failure(make_result(tmp_path, ["9.0 WAITS: g0 has no primary"]))
    told = capsys.readouterr().out.splitlines()
    assert told == [
        "9.0 WAITS: g0 has no primary",
        "0.0+1.00 kill",
        "-- notes",
        "1 order of g0-1 by h0",
        "-- h0.log",
        '{"step":"handover","group":"g0"}',
    ]


def test_run_without_a_violation_tells_nothing(tmp_path, capsys):
    print_failure(make_result(tmp_path, []))
    assert capsys.readouterr().out == ""
