"""Encoding and decoding of the line protocol."""

import pytest
from apricotshore_platform import lines
from hypothesis import given
from hypothesis import strategies as st

from apricotshore.groups import Role
from apricotshore.identifiers import RequestId, Term
from apricotshore.queries import Answer, FailureCode, Query, QueryKind, TransactionState
from tests.pooling.support import log_position

TEXTS = [
    "BEGIN",
    "BEGIN READ",
    "COMMIT",
    "ROLLBACK",
    "READ 1a4",
    "WRITE 1a4 xkqp wnzd",
    "SET zone a b",
    "PREPARE s1 WRITE q2c",
    "PREPARE s1 READ q2c",
    "EXECUTE s1 1a4 xkqp",
]


@pytest.mark.parametrize("text", TEXTS)
def test_statement_reaches_the_server_with_id_and_text_unchanged(text):
    query = lines.decode_query(f"QUERY 5c0e {text}")
    assert lines.encode_query(query, None) == f"QUERY 5c0e {text}\r\n".encode()


@pytest.mark.parametrize(
    "text",
    ["", "BEGIN WORK", "READ", "READ a b", "WRITE a", "PREPARE s x y", "STATUS",
     "PAUSE 9", "PROMOTE", "RESET", "AFTER 1.2 READ a", "EXECUTE s1", "DEALLOC"],
)  # fmt: skip
def test_statement_not_allowed_to_callers_is_invalid(text):
    assert lines.decode_query(f"QUERY 5c0e {text}").kind is QueryKind.INVALID


@pytest.mark.parametrize("line", ["", "QUERY", "HELLO x", "QUERY a READ x\rREAD y"])
def test_line_that_is_not_a_statement_is_rejected(line):
    with pytest.raises(lines.LineError):
        lines.decode_query(line)


def test_position_precedes_a_read_and_internal_statements_carry_no_id():
    query = Query(kind=QueryKind.READ, request=RequestId("5c0e"), text="READ 1a4")
    encoded = lines.encode_query(query, log_position(3, 1207))
    assert encoded == b"QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"
    own = lines.encode_query(Query(kind=QueryKind.BEGIN), None)
    assert own == b"QUERY - BEGIN\r\n"
    pause = Query(kind=QueryKind.PAUSE, term=Term(4))
    assert lines.encode_query(pause, None) == b"QUERY - PAUSE 4\r\n"


def test_status_row_is_decoded_or_rejected():
    report = lines.decode_report("replica 3 3.1209 0 12 2 17")
    assert report is not None
    assert report.role is Role.REPLICA
    assert (report.term, report.received, report.paused_term) == (
        3,
        log_position(3, 1209),
        0,
    )
    for row in ("", "leader 3 3.1 0", "replica x 3.1 0", "replica 3 - 0", "replica 3"):
        assert lines.decode_report(row) is None


def test_answers_are_encoded_as_complete_lines():
    answer = Answer(rows=("a", "b"), receipt="7.1f3", log_position=log_position(3, 9))
    assert lines.encode_answer(answer) == (
        b"ROW a\r\nROW b\r\nCOMPLETE 7.1f3\r\nREADY I 3.9\r\n"
    )
    failed = Answer(
        failure=FailureCode.ROLLED_BACK,
        detail="lost\r\nROW x",
        state=TransactionState.FAILED,
    )
    assert lines.encode_answer(failed) == (
        b"ERROR ABORTED lost  ROW x\r\nREADY E -\r\n"
    )


def test_every_failure_has_a_name_on_the_wire():
    unnamed = {code for code in FailureCode if code not in lines.ERROR_NAMES}
    assert unnamed == {FailureCode.UNKNOWN}


@given(st.text(max_size=60))
def test_any_line_is_decoded_or_rejected(text):
    try:
        query = lines.decode_query(text)
    except lines.LineError:
        return
    assert b"\n" not in lines.encode_query(query, None)[:-2]


def test_shape_with_spaces_has_a_name_without_spaces():
    query = lines.decode_query("QUERY 5c0e PREPARE s1 WRITE a b")
    assert query.shape is not None
    assert query.shape.shape == "a b"
    assert " " not in query.shape.name
