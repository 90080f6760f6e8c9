"""Every promotion can be told from the last lines that the users' record shows."""

import json
import os

import pytest

from apricotshore.decisions.change_attempt import Attempt
from apricotshore.decisions.change_members import MemberStatus
from apricotshore.decisions.commit_barrier import BarrierProof
from apricotshore.identifiers import GroupId, ServerId, Term
from apricotshore.pooling import promotion_summary
from apricotshore.pooling.journal import EventKind, Journal
from apricotshore.pooling.promotion_line import (
    LONGEST_LINE,
    REPEAT_MS,
    record_promotion,
    repeat_latest,
)
from apricotshore.pooling.promotion_summary import (
    MAX_KEPT,
    EndSource,
    LogEnd,
    Promotion,
    Promotions,
)
from tests.soak.excerpt import EXCERPT_BYTES, cut_excerpt

from .support import log_position

HOST = "front-braga-a-2"
GROUP = GroupId("hazi66b")
TARGET, FORMER, OTHER, FOURTH = (
    ServerId(f"i-{name}") for name in ("36c1a564", "2b7802e3", "4073ce8d", "e5706918")
)


def make_end(server: ServerId, number: int, source=EndSource.STATED) -> LogEnd:
    return LogEnd(server=server, end=log_position(9, number), source=source)


def make_promotion(**details) -> Promotion:
    known = {
        "group": GROUP,
        "target": make_end(TARGET, 3289),
        "former": make_end(FORMER, 3291),
        "proof": "server",
        "others": (make_end(OTHER, 3288),),
        "reason": "unfinished",
        "ordered_at": 0,
        "order_ms": 1_240,
        "effect_ms": 1_111,
        "outcome": "settled",
    }
    return Promotion(**{**known, **details})


def write(path, promotions, host: str = HOST) -> list[str]:
    """Return the lines of promotions, after a line of a host that has stopped."""
    journal = Journal(host=host, descriptor=os.open(path, os.O_WRONLY | os.O_CREAT))
    journal.record(EventKind.STOPPED, sessions=0)
    for promotion in promotions:
        record_promotion(journal, promotion)
    return path.read_text().splitlines()


def test_summary_names_the_deciding_figures_first(tmp_path):
    _, line = write(tmp_path / "log", [make_promotion()])
    assert line[line.index('"step"') :].startswith(
        '"step":"promotion","group":"hazi66b","to":"i-36c1a564@9.3289",'
        '"lost":"i-2b7802e3@9.3291","by":"server 1240+1111 unfini",'
        '"held":"i-4073ce8d-1"'
    )


def test_reason_of_a_planned_change_has_room(tmp_path):
    _, line = write(tmp_path / "log", [make_promotion(reason="leaving", order_ms=240)])
    assert json.loads(line)["by"] == "server 240+1111 leaving"


def test_both_others_of_a_group_of_four_are_named(tmp_path):
    others = (make_end(OTHER, 3289), make_end(FOURTH, 3288))
    promotion = make_promotion(others=others, order_ms=240, proof="hosts")
    _, line = write(tmp_path / "log", [promotion])
    assert json.loads(line)["held"] == "4073ce8d=,e5706918-1"


@pytest.mark.parametrize(
    ("details", "key", "value"),
    [
        ({"former": make_end(FORMER, 9, EndSource.OTHERS)}, "lost", "i-2b7802e3~9.9"),
        ({"former": LogEnd(server=FORMER)}, "lost", "i-2b7802e3?"),
        ({"former": LogEnd(server=None)}, "lost", "none?"),
        ({"others": ()}, "held", "none"),
        ({"others": (LogEnd(server=OTHER),)}, "held", "i-4073ce8d?"),
        (
            {"others": (make_end(OTHER, 3289, EndSource.NOT_PAUSED),)},
            "held",
            "i-4073ce8d!=",
        ),
        ({"others": (make_end(OTHER, 3291),)}, "held", "i-4073ce8d+2"),
        (
            {"others": (LogEnd(server=OTHER, end=log_position(8, 1)),)},
            "held",
            "i-4073ce8d?8.1",
        ),
        (
            {"others": (), "effect_ms": None, "outcome": "open"},
            "by",
            "server 1240+open unfinished",
        ),
        (
            {"effect_ms": None, "outcome": "lease lost"},
            "by",
            "server 1240+lease-lost",
        ),
        (
            {
                "group": GroupId("g"),
                "others": (),
                "reason": "silent",
                "former": LogEnd(server=None),
                "orders": 2,
                "outcome": "unsettled",
            },
            "by",
            "server 1240+1111 silent x2 unsettled",
        ),
    ],
)
def test_summary_says_what_is_not_known(tmp_path, details, key, value):
    _, line = write(tmp_path / "log", [make_promotion(**details)])
    assert json.loads(line)[key] == value


@pytest.mark.parametrize("count", range(8))
@pytest.mark.parametrize("number", [9, 3289, 4_000_000_000])
@pytest.mark.parametrize("is_paused", [True, False])
def test_summary_is_whole_within_its_length(tmp_path, count, number, is_paused):
    source = EndSource.STATED if is_paused else EndSource.NOT_PAUSED
    others = tuple(
        make_end(ServerId(f"i-4073ce8{n}"), number - n % 2, source)
        for n in range(count)
    )
    ends = {
        "target": make_end(TARGET, number),
        "former": make_end(FORMER, number + 1),
        "others": others,
        "outcome": "lease lost",
    }
    _, line = write(tmp_path / "log", [make_promotion(**ends)])
    assert len(line) <= LONGEST_LINE < 190
    row = json.loads(line)
    assert row["lost"] == f"i-2b7802e3@9.{number + 1}"
    assert row["by"].startswith("server 1240+1111")
    assert (row["held"] == "none") == (count == 0)
    if count and number < 4_000_000_000:
        assert "4073ce8" in row["held"]


@pytest.mark.parametrize("length", [19, 40, 200])
def test_line_of_long_names_keeps_its_length(tmp_path, length):
    target, former, other = (ServerId(letter * length) for letter in "abc")
    long_ends = {
        "target": make_end(target, 4_000_000_000),
        "former": make_end(former, 4_000_000_000),
        "others": (make_end(other, 1),),
    }
    _, line = write(tmp_path / "log", [make_promotion(**long_ends)], "h" * 20)
    assert len(line) <= LONGEST_LINE
    row = json.loads(line)
    assert f"{target}@9.4000000000".startswith(row["to"])
    assert length > 19 or row["lost"] == f"{former}@9.4000000000"


def test_server_that_is_not_paused_is_named_first(tmp_path):
    others = (make_end(OTHER, 3289), make_end(FOURTH, 3288, EndSource.NOT_PAUSED))
    _, line = write(tmp_path / "log", [make_promotion(others=others)])
    assert json.loads(line)["held"] == "e5706918!-1,+1"


def test_last_promotions_fill_no_more_than_an_excerpt(tmp_path):
    histories = [
        Promotions(
            ended=[make_promotion(ordered_at=10 * n + g) for n in range(MAX_KEPT)],
            under_way=make_promotion(ordered_at=1_000) if g == 1 else None,
        )
        for g in range(3)
    ]
    latest = promotion_summary.list_latest(histories)
    assert [p.ordered_at for p in latest] == [30, 31, 32, 1_000]
    lines = write(tmp_path / "log", latest)
    assert len((tmp_path / "log").read_bytes()) < EXCERPT_BYTES
    noise = ['{"time":1,"host":"h","step":"caller-refused","why":"no route"}'] * 50
    assert cut_excerpt([*noise, *lines])[-len(lines) :] == lines


def make_histories() -> list[Promotions]:
    """Return the promotions of three groups, of which the last ordered as usual."""
    short, usual = make_promotion(ordered_at=2, short=12), make_promotion(ordered_at=1)
    without = make_promotion(ordered_at=0, effect_ms=None, outcome="without-effect")
    return [
        Promotions(ended=[without], under_way=None),
        Promotions(ended=[usual], under_way=short),
        Promotions(ended=[make_promotion(ordered_at=10 + n) for n in range(4)]),
    ]


def test_promotions_that_matter_most_are_the_last_of_all_groups(tmp_path):
    latest = promotion_summary.list_latest(make_histories())
    assert [p.ordered_at for p in latest] == [10, 11, 12, 13, 0, 2]
    lines = write(tmp_path / "log", latest)
    shown = "".join(cut_excerpt(lines))
    assert '"short":12' in shown and "+without-effect" in shown


def test_promotions_that_matter_most_are_written_again_first(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    journal = Journal(host=HOST, descriptor=descriptor)
    for _ in range(2):
        journal.record(EventKind.ERROR, why="x" * 300)
    latest = promotion_summary.list_latest(make_histories())
    repeat_latest(journal, latest, REPEAT_MS - 1)
    rows = [json.loads(line) for line in read_promotions(tmp_path / "log")]
    assert [row.get("short") for row in rows] == [None, None, 12]
    assert "without-effect" in rows[1]["by"]


def read_promotions(path) -> list[str]:
    lines = path.read_text().splitlines()
    return [line for line in lines if '"step":"promotion"' in line]


@pytest.mark.parametrize(
    ("details", "matters"),
    [
        ({"effect_ms": None, "outcome": "without-effect"}, True),
        ({"effect_ms": None, "outcome": "unconfirmed"}, True),
        ({"effect_ms": None, "outcome": "replaced"}, True),
        ({"effect_ms": None, "outcome": "lease lost"}, True),
        ({"short": 1}, True),
        ({"effect_ms": None, "outcome": "open"}, False),
        ({"effect_ms": None, "outcome": "refused"}, False),
        ({"outcome": "settled"}, False),
    ],
)
def test_promotion_that_matters_outlives_later_ones_of_its_group(details, matters):
    promotions = Promotions(under_way=make_promotion(**details))
    promotion_summary.end(promotions, details.get("outcome", "settled"))
    for number in range(3 * MAX_KEPT):
        promotion_summary.begin(promotions, make_promotion(ordered_at=1 + number))
        promotion_summary.end(promotions, "settled")
    kept = promotion_summary.list_latest([promotions])
    assert [p.ordered_at for p in kept[:MAX_KEPT]] == [9, 10, 11, 12]
    assert [p.ordered_at for p in kept[MAX_KEPT:]] == [0] * matters


def test_promotions_that_matter_are_kept_in_a_bounded_number():
    promotions = Promotions()
    short = make_promotion(ordered_at=0, short=3)
    for promotion in (short, *[make_promotion(ordered_at=n) for n in range(1, 40)]):
        promotion_summary.begin(promotions, promotion)
        promotion_summary.end(promotions, "settled")
    for number in range(40, 80):
        unseen = make_promotion(ordered_at=number, effect_ms=None)
        promotion_summary.begin(promotions, unseen)
        promotion_summary.end(promotions, "unconfirmed")
    assert len(promotions.ended) == 2 * MAX_KEPT
    assert short.short in {p.short for p in promotions.ended}


def test_promotions_are_written_again_for_a_while_once_other_lines_follow(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    journal = Journal(host=HOST, descriptor=descriptor)
    latest = [make_promotion(ordered_at=1_000 * n) for n in range(4)]

    def repeat(now: int) -> int:
        before = (tmp_path / "log").read_text().count('"step":"promotion"')
        repeat_latest(journal, latest, now)
        after = (tmp_path / "log").read_text().count('"step":"promotion"')
        return after - before

    journal.record(EventKind.STARTED)
    assert repeat(4_000) == 0
    for _ in range(20):
        journal.record(EventKind.REQUEST_SERVED, request="r" * 200)
    assert repeat(4_000) == 0
    for _ in range(2):
        journal.record(EventKind.ERROR, why="x" * 300)
    assert repeat(2_000 + REPEAT_MS - 1) == 2
    assert repeat(2_000 + REPEAT_MS - 1) == 0
    for _ in range(2):
        journal.record(EventKind.ERROR, why="x" * 300)
    assert repeat(2_000 + REPEAT_MS) == 1


# -- what is learnt of a change --


def make_attempt(**details) -> Attempt:
    attempt = Attempt(from_term=Term(9), started_at=1_000, replaced=FORMER, **details)
    attempt.pause_term = Term(10)
    ends = ((TARGET, 3289, 10), (OTHER, 3288, 10), (FOURTH, 3287, 0))
    for server, number, paused in ends:
        attempt.statuses[server] = MemberStatus(
            log_position=log_position(9, number),
            term=Term(9),
            paused_term=Term(paused),
            is_primary=False,
        )
    return attempt


def describe(attempt: Attempt, target: ServerId = TARGET) -> Promotion:
    return promotion_summary.describe_order(
        group=GROUP,
        attempt=attempt,
        members=(TARGET, FORMER, OTHER, ServerId("i-00000005")),
        target=target,
        proof=BarrierProof.HOSTS,
        reason="silent",
        now=1_240,
    )


def test_order_of_a_silent_primary_takes_its_end_from_the_others():
    ordered = describe(make_attempt())
    assert ordered.former == make_end(FORMER, 3289, EndSource.OTHERS)
    assert ordered.target == make_end(TARGET, 3289)
    assert ordered.order_ms == 240
    assert ordered.others == (
        LogEnd(server=ServerId("i-00000005")),
        make_end(OTHER, 3288),
        make_end(FOURTH, 3287, EndSource.NOT_PAUSED),
    )


def test_order_after_a_step_down_has_the_end_that_was_stated():
    ordered = describe(make_attempt(final_end=log_position(9, 3291)))
    assert ordered.former == make_end(FORMER, 3291)


def observe(promotions: Promotions, phase: str, **details) -> Promotion | None:
    return promotion_summary.observe_phase(promotions, GROUP, phase, details, 5_000)


def test_repeated_order_is_one_promotion():
    promotions = Promotions()
    assert promotion_summary.begin(promotions, make_promotion(ordered_at=1)) is None
    again = make_promotion(ordered_at=9, order_ms=2_000, former=LogEnd(server=FORMER))
    assert promotion_summary.begin(promotions, again) is None
    # An earlier order may still take effect.
    assert observe(promotions, "promotion-refused") is None
    ended = observe(promotions, "ended", outcome="unsettled")
    assert (ended.ordered_at, ended.order_ms, ended.orders) == (1, 1_240, 2)
    assert ended.former == LogEnd(server=FORMER)


def answer(promotions: Promotions, server: ServerId, received: str) -> None:
    observe(promotions, "answered", server=server, received=received)


def test_end_that_is_stated_only_after_the_order_is_told_as_that(tmp_path):
    promotions = Promotions()
    ends = {
        "former": make_end(FORMER, 3289, EndSource.OTHERS),
        "others": (LogEnd(server=OTHER), make_end(FOURTH, 3289)),
        "group": GroupId("g"),
    }
    promotion_summary.begin(promotions, make_promotion(**ends))
    for server, received in (
        (FORMER, "9.3290"),
        (FORMER, "9.3295"),
        (FORMER, "9.3292"),
        (FORMER, "10.3300"),
        (OTHER, "9.3291"),
        (FOURTH, "9.3300"),
        (TARGET, "9.3300"),
    ):
        answer(promotions, server, received)
    observe(promotions, "answered", server=OTHER, command="resume")
    ended = observe(promotions, "ended", outcome="settled")
    row = json.loads(write(tmp_path / "log", [ended])[-1])
    assert row["to"] == "i-36c1a564@9.3289"
    assert row["lost"] == "i-2b7802e3*9.3295"
    assert row["held"] == "i-4073ce8d*+2,i-e5706918="


def test_refused_order_ends_before_that_of_another_server():
    promotions = Promotions()
    promotion_summary.begin(promotions, make_promotion(outcome="open"))
    assert observe(promotions, "promotion-refused").outcome == "refused"
    other = make_promotion(target=make_end(OTHER, 1), outcome="open")
    assert promotion_summary.begin(promotions, other) is None
    assert promotions.under_way == other


def test_order_of_another_server_ends_the_former_one():
    promotions = Promotions()
    promotion_summary.begin(promotions, make_promotion(outcome="open"))
    other = make_promotion(target=make_end(OTHER, 1), outcome="open")
    ended = promotion_summary.begin(promotions, other)
    assert (ended.target.server, ended.outcome) == (TARGET, "replaced")


def test_order_that_only_raises_the_token_is_a_promotion_of_its_own():
    promotions = Promotions()
    observe(promotions, "fencing", server=TARGET, token=1)
    ended = observe(promotions, "ended", outcome="settled")
    assert (ended.target.server, ended.proof) == (TARGET, promotion_summary.FENCE)
    promotion_summary.begin(promotions, make_promotion(outcome="open"))
    observe(promotions, "fencing", server=TARGET, token=1)
    assert promotions.under_way.orders == 2
