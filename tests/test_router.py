"""Routing of requests whose outcome is unknown."""

import pytest

from apricotshore.decisions.membership import Member, MemberState
from apricotshore.decisions.ownership import Ring
from apricotshore.requests import Action, Outcome, Reply, Request
from apricotshore.services.router import Router
from apricotshore.verdicts import Failure, Reason, Verdict


class FakeMembers:
    def get_ring(self):
        return Ring(hosts=["me"])

    def find(self, host):
        return Member(
            host=host,
            address="a:1",
            data_centre="d",
            incarnation=1,
            life=MemberState.ALIVE,
        )


def fail(verdict, reason):
    return Outcome(failure=Failure(verdict=verdict, reason=reason))


LOST = fail(Verdict.MAY_HAVE_RUN, Reason.LOST_CONNECTION)


def make_router(answers):
    async def serve(request, origin):
        return answers[request.action]

    return Router(
        local_host="me",
        members=FakeMembers(),
        links=None,
        serve_locally=serve,
        offer_locally=lambda database: None,
    )


def make_write(request_id="r1"):
    return Request(
        caller="c",
        database="d",
        session="s",
        sql="INSERT",
        action=Action.WRITE,
        fingerprint="f",
        kind="k",
        request_id=request_id,
        deadline_ms=200,
    )


@pytest.mark.parametrize(
    ("answer", "verdict"),
    [
        (fail(Verdict.NOT_RUN, Reason.CANCELLED), Verdict.NOT_RUN),
        (fail(Verdict.NOT_RUN, Reason.LOST_CONNECTION), Verdict.MAY_HAVE_RUN),
        (fail(Verdict.NOT_RUN, Reason.DEADLINE), Verdict.MAY_HAVE_RUN),
        (fail(Verdict.NOT_RUN, Reason.OVERLOAD), Verdict.MAY_HAVE_RUN),
        (fail(Verdict.NOT_RUN, Reason.CALLER_REFUSED), Verdict.MAY_HAVE_RUN),
    ],
)
async def test_only_a_cancelled_request_is_reported_not_run(answer, verdict):
    router = make_router({Action.WRITE: LOST, Action.RESOLVE: answer})
    routed = await router.route(make_write(), None)
    assert routed.outcome.failure.verdict is verdict


async def test_unresolved_request_that_ran_gets_its_recorded_outcome():
    ran = Outcome(reply=Reply(affected_rows=1, duplicate=True))
    router = make_router({Action.WRITE: LOST, Action.RESOLVE: ran})
    routed = await router.route(make_write(), None)
    assert routed.outcome.reply.duplicate


async def test_outcome_of_a_request_without_an_id_stays_unknown():
    router = make_router({Action.WRITE: LOST})
    routed = await router.route(make_write(request_id=""), None)
    assert routed.outcome.failure.verdict is Verdict.MAY_HAVE_RUN
