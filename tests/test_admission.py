"""Admission and scheduling of requests."""

from hypothesis import given
from hypothesis import strategies as st

from apricotshore.decisions import admission
from apricotshore.decisions.admission import (
    Assignment,
    Backlog,
    FlowId,
    Rejection,
    Ticket,
)
from apricotshore.verdicts import Verdict

SLOTS = {"s1": 3, "s2": 3}


def make_ticket(number, caller="a", kind="short", **more):
    values = {
        "number": number,
        "flow": FlowId(caller=caller, kind=kind),
        "weight": 4,
        "fingerprint": f"fp-{kind}",
        "declared_long": kind == "long",
        "arrived_at": 0,
        "deadline_at": 60_000,
    }
    return Ticket(**(values | more))


def run_round(backlog, now, servers=("s1", "s2")):
    return admission.assign(backlog, lambda ticket: servers, now)


def started(acts):
    return [act.ticket.number for act in acts if isinstance(act, Assignment)]


def test_slots_are_never_exceeded():
    backlog = Backlog(slots=dict(SLOTS))
    for number in range(20):
        assert admission.enqueue(backlog, make_ticket(number), 6, 0) is None
    assert len(started(run_round(backlog, 0))) == 6
    assert started(run_round(backlog, 1)) == []


def test_statement_of_an_open_transaction_needs_no_free_slot():
    # All slots may be occupied by requests that wait for the transaction's locks.
    backlog = Backlog(slots={"s1": 3})
    for number in range(5):
        admission.enqueue(backlog, make_ticket(number), 3, 0)
    run_round(backlog, 0, ("s1",))
    admission.enqueue(backlog, make_ticket(9, in_transaction=True), 3, 1)
    assert started(run_round(backlog, 1, ("s1",))) == [9]


def test_long_work_leaves_slots_for_short_work():
    backlog = Backlog(slots={"s1": 3})
    for number in range(5):
        admission.enqueue(backlog, make_ticket(number, kind="long"), 3, 0)
    run_round(backlog, 0, ("s1",))
    admission.enqueue(backlog, make_ticket(10), 3, 1)
    admission.enqueue(backlog, make_ticket(11), 3, 1)
    assert started(run_round(backlog, 1, ("s1",))) == [10, 11]


def test_mislabelled_long_work_is_limited_once_its_cost_is_known():
    backlog = Backlog(slots={"s1": 3})
    mislabelled = {"kind": "short", "fingerprint": "sly"}
    admission.enqueue(backlog, make_ticket(1, **mislabelled), 3, 0)
    run_round(backlog, 0, ("s1",))
    admission.finish(backlog, 1, 400)
    for number in range(2, 6):
        admission.enqueue(backlog, make_ticket(number, **mislabelled), 3, 400)
    assert len(started(run_round(backlog, 400, ("s1",)))) == 1


def test_request_that_cannot_meet_its_deadline_is_refused_before_it_runs():
    backlog = Backlog(slots={"s1": 1})
    failures = [
        admission.enqueue(backlog, make_ticket(n, deadline_at=100), 1, 0)
        for n in range(100)
    ]
    refused = [f for f in failures if f is not None]
    assert refused
    assert all(f.verdict is Verdict.NOT_RUN and f.retry_after_ms for f in refused)


def test_queued_request_is_refused_when_its_deadline_is_too_close():
    backlog = Backlog(slots={"s1": 1})
    admission.enqueue(backlog, make_ticket(1), 1, 0)
    admission.enqueue(backlog, make_ticket(2, deadline_at=50), 1, 0)
    run_round(backlog, 0, ("s1",))
    acts = run_round(backlog, 50, ("s1",))
    assert [a.ticket.number for a in acts if isinstance(a, Rejection)] == [2]


def test_weights_share_the_slots():
    backlog = Backlog(slots={"s1": 1})
    for number in range(400):
        heavy = number % 2 == 0
        ticket = make_ticket(
            number, kind="heavy" if heavy else "light", weight=8 if heavy else 2
        )
        admission.enqueue(backlog, ticket, 1, 0)
    served = []
    for now in range(100):
        for number in started(run_round(backlog, now * 5, ("s1",))):
            served.append(number)
            admission.finish(backlog, number, now * 5 + 5)
    heavy = sum(number % 2 == 0 for number in served)
    assert 70 <= heavy <= 90


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(["short", "long"])),
        max_size=60,
    ),
    st.lists(st.integers(1, 40), min_size=1, max_size=60),
)
def test_every_ticket_finishes_and_no_caller_starves(arrivals, run_times):
    backlog = Backlog(slots=dict(SLOTS))
    open_numbers = set()
    for number, (caller, kind) in enumerate(arrivals):
        ticket = make_ticket(number, caller=caller, kind=kind)
        if admission.enqueue(backlog, ticket, 6, 0) is None:
            open_numbers.add(number)
    now = 0
    for step in range(2_000):
        for act in run_round(backlog, now):
            if isinstance(act, Rejection):
                open_numbers.discard(act.ticket.number)
        assert len(backlog.running) <= 6
        running = sorted(backlog.running)
        if not running:
            break
        now += run_times[step % len(run_times)]
        admission.finish(backlog, running[0], now)
        open_numbers.discard(running[0])
    assert not open_numbers


def test_withdrawn_callers_queue_is_dropped():
    backlog = Backlog(slots={"s1": 1})
    for number in range(6):
        caller = "gone" if number % 2 else "kept"
        admission.enqueue(backlog, make_ticket(number, caller=caller), 1, 0)
    dropped = admission.cancel_queued(backlog, lambda t: t.flow.caller == "gone")
    assert [t.number for t in dropped] == [1, 3, 5]
    assert sum(admission.count_queued(backlog).values()) == 3
