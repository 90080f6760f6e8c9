"""A change of primary loses no commit to what comes late: answers, commands, hosts.

Every order of a few events, for each family of failures seen on real processes.
"""

from collections.abc import Callable, Mapping

from apricotshore.decisions import lease
from apricotshore.queries import QueryKind

from .changemodel import FIRST
from .eventsearch import Event, find_loss
from .latechangemodel import LateChangeModel

S1, S2, S3 = FIRST
LONGEST = 100


def replace_until(
    model: LateChangeModel, is_reached: Callable[[LateChangeModel], bool], which: int = 0
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


LATE_COMMITS: Mapping[str, Event] = {
    "write": LateChangeModel.write,
    "s2 receives": lambda model: model.receive(S2),
    "s3 receives": lambda model: model.receive(S3),
    "step": take_step,
    "until it stepped down": lambda model: replace_until(model, has_stepped_down),
    "until ordered": lambda model: replace_until(model, is_requested),
    "promotion": LateChangeModel.finish_promotion,
}
STORED_LATE: Mapping[str, Event] = {
    **LATE_COMMITS,
    "s1 stores late": LateChangeModel.store_late,
}
LEADS_AGAIN: Mapping[str, Event] = {
    **LATE_COMMITS,
    "s1 leads again": LateChangeModel.lead_again,
}
