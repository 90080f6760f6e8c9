"""Statement execution against a scripted connection that fails at a given step."""

import pytest

from apricotshore.decisions.retry import (
    WriteStage,
    find_write_verdict,
    may_resend_write,
)
from apricotshore.groups import LogPosition
from apricotshore.requests import Action, Request
from apricotshore.services import executor
from apricotshore.services.backends import (
    LostConnectionError,
    StatementError,
    StatementResult,
)
from apricotshore.services.executor import Progress, RequestFailedError
from apricotshore.verdicts import Reason, Verdict

RESULT = StatementResult(columns=(), rows=(), affected_rows=1, last_insert_id=7)


class ScriptedConnection:
    """Returns scripted results and fails at a given statement."""

    def __init__(self, *, lose_at=None, durable=1, duplicate=False, outcome=None):
        self.term = 3
        self.lose_at = lose_at
        self.durable = durable
        self.duplicate = duplicate
        self.outcome = outcome
        self.sent = []

    async def run(self, sql, timeout_s):
        self.sent.append(sql)
        if self.lose_at is not None and sql.startswith(self.lose_at):
            raise LostConnectionError("cut")
        if sql.startswith("CALL group_commit_wait"):
            return StatementResult(
                columns=("term", "position", "durable"),
                rows=((3, 42, self.durable),),
                affected_rows=0,
                last_insert_id=0,
            )
        if self.duplicate and sql.startswith("INSERT INTO apricotshore_request"):
            raise StatementError(executor.DUPLICATE_KEY, "duplicate")
        if sql.startswith("SELECT outcome"):
            rows = (self.outcome,) if self.outcome else ()
            return StatementResult(
                columns=(), rows=rows, affected_rows=0, last_insert_id=0
            )
        return RESULT


def make_request(action=Action.WRITE, request_id="r1"):
    return Request(
        caller="c",
        database="d",
        session="s",
        sql="UPDATE t SET a = 1",
        action=action,
        fingerprint="f",
        kind="k",
        request_id=request_id,
    )


async def write(connection, progress=None):
    return await executor.run_write(
        connection, make_request(), "s1", 1.0, progress or Progress(), 0
    )


async def resolve(connection, progress=None):
    resolve_request = make_request(Action.RESOLVE)
    progress = progress or Progress()
    return await executor.resolve(connection, resolve_request, "s1", progress, 0)


@pytest.mark.parametrize(
    ("lose_at", "verdict", "resend"),
    [
        ("BEGIN", Verdict.NOT_RUN, True),
        ("INSERT INTO apricotshore_request", Verdict.NOT_RUN, True),
        ("UPDATE t", Verdict.NOT_RUN, False),
        ("UPDATE apricotshore_request", Verdict.NOT_RUN, False),
        ("COMMIT", Verdict.MAY_HAVE_RUN, False),
        ("CALL group_commit_wait", Verdict.MAY_HAVE_RUN, False),
    ],
)
async def test_verdict_of_a_write_that_loses_its_connection(lose_at, verdict, resend):
    progress = Progress()
    with pytest.raises(LostConnectionError):
        await write(ScriptedConnection(lose_at=lose_at), progress)
    assert find_write_verdict(progress.stage) is verdict
    assert may_resend_write(progress.stage) is resend


async def test_write_is_acknowledged_only_when_durable():
    reply = await write(ScriptedConnection())
    assert reply.log_position == LogPosition(term=3, position=42)
    with pytest.raises(RequestFailedError) as error:
        await write(ScriptedConnection(durable=0))
    assert error.value.failure.verdict is Verdict.MAY_HAVE_RUN


async def test_duplicate_gets_the_first_outcome_and_does_not_run():
    connection = ScriptedConnection(duplicate=True, outcome=("ran", 5, 9))
    reply = await write(connection)
    assert reply.duplicate and reply.affected_rows == 5
    assert "UPDATE t SET a = 1" not in connection.sent


@pytest.mark.parametrize("lose_at", ["ROLLBACK", "SELECT outcome", "CALL group"])
async def test_duplicate_that_loses_its_connection_may_have_run(lose_at):
    # Found in a live run: the duplicate was reported as not run, although the
    # first request had been recorded and may have run.
    for run in (write, resolve):
        progress = Progress()
        connection = ScriptedConnection(duplicate=True, lose_at=lose_at)
        with pytest.raises(LostConnectionError):
            await run(connection, progress)
        assert find_write_verdict(progress.stage) is Verdict.MAY_HAVE_RUN


async def test_duplicate_of_a_cancelled_request_did_not_run():
    connection = ScriptedConnection(duplicate=True, outcome=("cancelled", 0, 0))
    with pytest.raises(RequestFailedError) as error:
        await write(connection)
    assert error.value.failure.verdict is Verdict.NOT_RUN


async def test_duplicate_whose_outcome_is_not_durable_may_have_run():
    connection = ScriptedConnection(duplicate=True, outcome=("ran", 1, 1), durable=0)
    with pytest.raises(RequestFailedError) as error:
        await write(connection)
    assert error.value.failure.verdict is Verdict.MAY_HAVE_RUN


async def test_unresolved_request_is_cancelled_durably_before_it_is_reported_not_run():
    connection = ScriptedConnection()
    with pytest.raises(RequestFailedError) as error:
        await resolve(connection)
    assert error.value.failure.verdict is Verdict.NOT_RUN
    assert error.value.failure.reason is Reason.CANCELLED
    assert any("'cancelled'" in sql for sql in connection.sent)
    assert connection.sent[-1].startswith("CALL group_commit_wait")
    with pytest.raises(RequestFailedError) as error:
        await resolve(ScriptedConnection(durable=0))
    assert error.value.failure.verdict is Verdict.MAY_HAVE_RUN


async def test_read_at_an_unconfirmed_primary_is_not_answered():
    read = make_request(Action.READ, request_id="")
    with pytest.raises(LostConnectionError):
        await executor.run_primary_read(
            ScriptedConnection(durable=0), read, "s1", 1.0, Progress()
        )


def test_stages_are_ordered_as_a_write_passes_them():
    assert sorted(WriteStage) == list(WriteStage)
