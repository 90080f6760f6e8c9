"""A host tells of a server that it orders below an end that is known."""

import json
import os

import pytest
from aioprometheus import Registry

from apricotshore.decisions import (
    change_targets,
    primary_change,
    promotion_order,
    silent_primary,
)
from apricotshore.decisions.change_attempt import Attempt
from apricotshore.decisions.change_members import MemberStatus
from apricotshore.decisions.commit_barrier import BarrierProof
from apricotshore.decisions.log_floor import LogFloor
from apricotshore.identifiers import GroupId, ServerId, Term
from apricotshore.pooling import change_phases
from apricotshore.pooling.journal import Journal
from apricotshore.pooling.metrics import PoolingMetrics
from standins.in_memory import GROUP, ModelGroup, ModelPlatform
from tests.soak.excerpt import LINE_CHARACTERS, list_told

from .support import ModelHost, log_position, running, wait_until, writing
from .test_change_records import find_phases, keep_journal
from .test_promotion_summaries import HOST, make_promotion, write

S1, S2, S3 = (ServerId(f"s{number}") for number in (1, 2, 3))
FAR_END = 10_000
GROUP_NAME = "lima89b"
PLANNERS = (change_targets, primary_change, promotion_order, silent_primary)


@pytest.fixture
def one_host(tmp_path):
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    return model, host, keep_journal(host, tmp_path / "host-0.log")


def make_attempt(ends: dict[ServerId, int], **details) -> Attempt:
    attempt = Attempt(from_term=Term(1), started_at=0, replaced=S1, **details)
    for server, position in ends.items():
        attempt.statuses[server] = MemberStatus(
            log_position=log_position(1, position),
            term=Term(1),
            paused_term=Term(2),
            is_primary=False,
        )
    return attempt


def order(host: ModelHost, attempt: Attempt, target: ServerId) -> None:
    change_phases.record_order(host.group, attempt, target, BarrierProof.HOSTS)


def list_promotions(read) -> list[dict]:
    return [r.details for r in read() if r.step.value == "promotion"]


def test_order_below_the_end_of_another_log_is_told_at_once(one_host):
    _, host, read = one_host
    order(host, make_attempt({S2: 3_109, S3: 3_097}), S3)
    (told,) = list_promotions(read)
    assert list(told.items())[:3] == [
        ("group", GROUP),
        ("short", 12),
        ("to", "s3@1.3097"),
    ]
    assert host.group.changes.short_promotions == 1


def test_order_below_the_floor_of_an_earlier_change_is_told_at_once(one_host):
    _, host, read = one_host
    floor = LogFloor(end=log_position(1, 3_109), holder=S2)
    order(host, make_attempt({S3: 3_097}, floor=floor), S3)
    assert [told["short"] for told in list_promotions(read)] == [12]


def test_order_of_the_longest_log_has_no_shortfall(one_host):
    _, host, read = one_host
    order(host, make_attempt({S2: 3_109, S3: 3_097}), S2)
    assert list_promotions(read) == []
    change_phases.end_promotion(host.group, "settled")
    (told,) = list_promotions(read)
    assert "short" not in told
    assert host.group.changes.short_promotions == 0


def test_repeated_order_with_a_shortfall_is_told_and_counted_once(one_host):
    _, host, read = one_host
    for longest in (3_109, 3_109, 3_200):
        order(host, make_attempt({S2: longest, S3: 3_097}), S3)
    assert [told["short"] for told in list_promotions(read)] == [12]
    order(host, make_attempt({S2: 3_200, S3: 3_200}), S3)
    change_phases.end_promotion(host.group, "settled")
    assert list_promotions(read)[-1]["short"] == 103
    assert host.group.changes.short_promotions == 1


def test_short_order_of_another_server_is_counted_beside_the_first(one_host):
    _, host, read = one_host
    order(host, make_attempt({S2: 3_109, S3: 3_200}), S2)
    order(host, make_attempt({S2: 3_300, S3: 3_200}), S3)
    rows = [(told["to"], told["by"], told["short"]) for told in list_promotions(read)]
    # The shortfall comes before the line of the promotion that it ends.
    assert [(to[:2], by.split("+")[1], short) for to, by, short in rows] == [
        ("s2", "open", 91),
        ("s3", "open", 100),
        ("s2", "replaced", 91),
    ]
    assert host.group.changes.short_promotions == 2


async def test_shortfall_is_told_before_the_order_is_sent(one_host, monkeypatch):
    model, host, read = one_host
    for planner in PLANNERS:
        monkeypatch.setattr(planner, "may_lead", lambda attempt, server: True)
    async with running(host, short_promotions=1), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        floor = LogFloor(end=log_position(1, FAR_END), holder=ServerId("s9"))
        host.changer.lease.floor = floor
        host.mark_leaving(S1)
        await wait_until(lambda: model.promotions)
        await wait_until(lambda: find_phases(read(), "ended"))
    records = read()
    (promoting, *_) = find_phases(records, "promoting")
    first, *_, last = [r for r in records if r.step.value == "promotion"]
    assert records.index(first) < records.index(promoting)
    position = int(str(promoting.details["mark"]).split(".")[1])
    assert first.details["short"] == last.details["short"] == FAR_END - position


async def test_run_of_hosts_fails_on_a_short_promotion(one_host):
    _, host, _ = one_host
    with pytest.raises(AssertionError, match="1 short promotions"):
        async with running(host):
            host.group.changes.short_promotions += 1


def test_short_promotions_are_counted_at_the_metrics_address(one_host):
    _, host, _ = one_host
    metrics = PoolingMetrics(registry=Registry())
    metrics.refresh([host.group], 0, 0)
    assert metrics.short_promotions.get({"group": GROUP}) == 0
    order(host, make_attempt({S2: 3_109, S3: 3_097}), S3)
    metrics.refresh([host.group], 0, 0)
    assert metrics.short_promotions.get({"group": GROUP}) == 1


@pytest.mark.parametrize("length", [len(GROUP_NAME), 40, 200])
def test_shortfall_survives_the_cut_of_a_line(tmp_path, length):
    promotion = make_promotion(short=12, group=GroupId("g" * length))
    _, line = write(tmp_path / "log", [promotion])
    assert json.loads(line[:LINE_CHARACTERS])["short"] == 12
    assert length > len(GROUP_NAME) or list_told([line])


def test_line_of_a_shortfall_is_written_whatever_came_before(tmp_path):
    path = tmp_path / "log"
    journal = Journal(host=HOST, descriptor=os.open(path, os.O_WRONLY | os.O_CREAT))
    for number in range(300):
        change_phases.record_promotion(journal, make_promotion(short=number + 1))
    shorts = [json.loads(line)["short"] for line in path.read_text().splitlines()]
    assert shorts == list(range(1, 301))
