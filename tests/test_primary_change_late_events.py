"""A change of primary loses no commit to what comes late: answers, commands, hosts.

Every order of a few events, for each family of failures seen on real processes.
"""

from collections.abc import Callable, Mapping

from apricotshore.decisions import lease
from apricotshore.queries import QueryKind

from .changemodel import FIRST, JOINING
from .eventsearch import Event, find_loss, find_losses
from .latechangemodel import LateChangeModel

S1, S2, S3 = FIRST
LONGEST = 100


def replace_until(
    model: LateChangeModel,
    is_reached: Callable[[LateChangeModel], bool],
    which: int = 0,
) -> None:
    """Run a planned change up to a state, or to its end."""
    if model.hosts[which].attempt is None:
        model.begin(which, must_step_down=True)
    for _ in range(LONGEST):
        if model.hosts[which].attempt is None or is_reached(model):
            return
        model.run_step(which)


def take_step(model: LateChangeModel, which: int = 0) -> None:
    if model.hosts[which].attempt is None:
        model.begin(which, must_step_down=True)
    model.run_step(which)


def has_stepped_down(model: LateChangeModel) -> bool:
    return not model.servers[S1].is_primary


def is_requested(model: LateChangeModel) -> bool:
    return bool(model.accepted)


def take_over(
    model: LateChangeModel, *, must_step_down: bool, until_ordered: bool
) -> None:
    """Have host b begin a change, if it may, and run it."""
    if model.hosts[1].attempt is None:
        model.begin(1, must_step_down=must_step_down)
    for _ in range(LONGEST):
        if model.hosts[1].attempt is None or (until_ordered and model.accepted):
            return
        model.run_step(1)


def replace_crashed(model: LateChangeModel, steps: int = LONGEST) -> None:
    """Run host a's change of a crashed primary up to its order."""
    if model.hosts[0].attempt is None:
        model.crash(S1)
        model.begin(0, must_step_down=False)
    for _ in range(steps):
        if model.hosts[0].attempt is None or model.accepted:
            return
        model.run_step(0)


def list_freezes(*, must_step_down: bool) -> dict[str, Event]:
    """Return the events of a holder that freezes while another takes over."""
    return {
        "a freezes": lambda model: model.freeze(0),
        "a wakes": lambda model: model.wake(0),
        "lease expires": lambda model: model.pass_time(lease.LEASE_MS),
        "b until ordered": lambda model: take_over(
            model, must_step_down=must_step_down, until_ordered=True
        ),
        "b until the end": lambda model: take_over(
            model, must_step_down=must_step_down, until_ordered=False
        ),
    }


WAITING: Mapping[str, Event] = {
    "write": LateChangeModel.write,
    "s2 receives": lambda model: model.receive(S2),
    "s3 receives": lambda model: model.receive(S3),
    "step": take_step,
    "until it stepped down": lambda model: replace_until(model, has_stepped_down),
    "until ordered": lambda model: replace_until(model, is_requested),
    "promotion": LateChangeModel.finish_promotion,
}
COMMITS: Mapping[str, Event] = {
    "commit with s2": lambda model: model.commit_with(S2),
    "commit with s3": lambda model: model.commit_with(S3),
    "promotion": LateChangeModel.finish_promotion,
}
CRASHED: Mapping[str, Event] = {
    **COMMITS,
    "step": lambda model: replace_crashed(model, 1),
    "until ordered": replace_crashed,
    "s1 is back": lambda model: model.come_back(S1),
}
LATE_COMMANDS: Mapping[str, Event] = {
    "late RESUME at s2": lambda model: model.deliver(QueryKind.RESUME, S2),
    "late RESUME at s3": lambda model: model.deliver(QueryKind.RESUME, S3),
    "late PAUSE at s2": lambda model: model.deliver(QueryKind.PAUSE, S2),
    "late PAUSE at s3": lambda model: model.deliver(QueryKind.PAUSE, S3),
    "late STEPDOWN": lambda model: model.deliver(QueryKind.STEP_DOWN, S1),
}
PLANNED: Mapping[str, Event] = {
    **COMMITS,
    "step": take_step,
    "until it stepped down": lambda model: replace_until(model, has_stepped_down),
    "until ordered": lambda model: replace_until(model, is_requested),
}


def leave_commands(model: LateChangeModel) -> LateChangeModel:
    """Put commands of two earlier changes on their way, whose holders were stopped."""
    for term in (2, 3):
        model.in_flight += [
            (QueryKind.PAUSE, S2, term),
            (QueryKind.PAUSE, S3, term),
            (QueryKind.STEP_DOWN, S1, term),
        ]
    model.in_flight += [(QueryKind.RESUME, S2, 0), (QueryKind.RESUME, S3, 0)]
    return model


def leave_order(model: LateChangeModel) -> LateChangeModel:
    """Leave an order for the server that leads now, which got no answer."""
    model.late.append((S1, 0))
    return model


def test_commit_that_waits_at_the_step_down_is_acknowledged_late():
    """Any one replica receives it after the step-down, and it is acknowledged then."""
    assert find_loss(LateChangeModel(), WAITING, 7) is None


def test_commit_that_is_stored_after_the_answer_to_the_step_down():
    """The end that the primary named isn't the end of its log."""
    events = {**WAITING, "s1 stores late": LateChangeModel.store_late}
    assert find_loss(LateChangeModel(), events, 7) is None


def test_former_primary_that_crashes_and_leads_again_before_the_effect():
    """It acknowledges with whoever receives; the target may receive nothing."""
    events = {**WAITING, "s1 leads again": LateChangeModel.lead_again}
    assert find_loss(LateChangeModel(), events, 7) is None


def test_target_that_was_replaced_by_another_receives_and_acknowledges():
    """The first target wasn't paused: it received a commit that was stored late."""
    model = LateChangeModel()
    model.write()
    replace_until(model, has_stepped_down)
    model.receive(S2)
    take_step(model)
    model.store_late()
    model.receive(S3)
    replace_until(model, is_requested)
    model.finish_promotion()
    assert model.acked == {1, 2}
    assert not model.lost


def test_late_commands_of_an_earlier_holder_amid_a_planned_change():
    """A RESUME, PAUSE or STEPDOWN of an earlier change arrives at any time."""
    model = leave_commands(LateChangeModel())
    assert find_loss(model, {**PLANNED, **LATE_COMMANDS}, 5) is None


def test_late_resume_loses_only_commits_that_its_server_acknowledges():
    """Where only pauses protect: a commit hung, or the primary crashed and returned."""
    for events in (WAITING, CRASHED):
        model = leave_commands(LateChangeModel())
        losses = list(find_losses(model, {**events, **LATE_COMMANDS}, 5))
        assert losses
        assert [o for o, end in losses if not end.lost <= end.acked_by_freed] == []


def test_restart_or_join_loses_only_commits_that_its_server_acknowledges():
    """No server reached the end: the pauses alone keep a waiting commit back."""
    events = {
        **WAITING,
        "s2 restarts": lambda model: model.restart(S2),
        "s4 joins": LateChangeModel.join,
        "s4 receives": lambda model: model.receive(JOINING),
    }
    losses = list(find_losses(LateChangeModel(), events, 6))
    assert losses
    assert [o for o, end in losses if not end.lost <= end.acked_by_freed] == []


def test_holder_that_wakes_amid_the_planned_change_of_the_next_holder():
    """It sends the one command or request that it meant to, with its old token."""
    events = {**PLANNED, **list_freezes(must_step_down=True)}
    assert find_loss(LateChangeModel(), events, 5) is None


def test_holder_that_wakes_while_a_commit_waits():
    """The same with a commit that is acknowledged after a step-down."""
    events = {**WAITING, **list_freezes(must_step_down=True)}
    assert find_loss(LateChangeModel(), events, 5) is None


def test_holder_that_wakes_amid_the_change_of_a_crashed_primary():
    """The crashed primary may be back at any time."""
    events = {**CRASHED, **list_freezes(must_step_down=False)}
    assert find_loss(LateChangeModel(), events, 6) is None


def test_former_primary_that_leads_again_by_an_old_order():
    """The order got no answer, and is carried out amid the next change."""
    events = {
        **WAITING,
        "s1 stores late": LateChangeModel.store_late,
        "old order": LateChangeModel.carry_out_late,
    }
    assert find_loss(leave_order(LateChangeModel()), events, 7) is None
