import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotshore.requests import Action
from apricotshore.statements import StatementError, read_statement


@pytest.mark.parametrize(
    ("sql", "action"),
    [
        ("SELECT 1", Action.READ),
        ("  select * from t /* kind='balance' */", Action.READ),
        ("SELECT * FROM t FOR UPDATE", Action.WRITE),
        ("WITH x AS (SELECT 1) DELETE FROM t", Action.WRITE),
        ("insert into t values ('; /* no comment */')", Action.WRITE),
        ("START TRANSACTION", Action.BEGIN),
        ("COMMIT", Action.COMMIT),
        ("FLUSH TABLES", None),
        ("", None),
    ],
)
def test_statement_is_classified_by_action(sql, action):
    assert read_statement(sql).action is action


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT 1 /* never closed",
        "SELECT 1; DELETE FROM t",
        "SELECT 1 /*! ; DELETE FROM t */",
        "SELECT 1 /* deadline_ms='soon' */",
        "SELECT '" + "x" * (1 << 20) + "'",
    ],
)
def test_invalid_statement_is_refused(sql):
    with pytest.raises(StatementError):
        read_statement(sql)


def test_tags_are_read_from_comments():
    tags = read_statement(
        "INSERT INTO t VALUES (1) /* kind='delivery',request_id='a%2Fb',"
        "idempotent='no',deadline_ms='250' */"
    ).tags
    assert tags.kind == "delivery"
    assert tags.request_id == "a/b"
    assert tags.idempotent is False
    assert tags.deadline_ms == 250


def test_fingerprint_ignores_literals():
    one = read_statement("SELECT a FROM t WHERE b IN (1, 2) AND c = 'x'")
    two = read_statement("select a from t where b in (3,4,5) and c = 'it''s'")
    assert one.fingerprint == two.fingerprint


@given(st.text(max_size=200))
def test_any_text_is_classified_or_refused(text):
    with contextlib.suppress(StatementError):
        read_statement(text)
