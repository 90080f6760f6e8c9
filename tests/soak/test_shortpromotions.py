"""Promotions below a known end are found in a host's log and metrics."""

import os

import pytest
from aioprometheus import Registry, render

from apricotshore.identifiers import GroupId
from apricotshore.pooling.journal import EventKind, Journal
from apricotshore.pooling.metrics import PoolingMetrics
from apricotshore.pooling.promotion_line import record_promotion
from standins.ports import find_free_port
from tests.pooling.test_promotion_summaries import make_promotion

from .model import Checker
from .run import Soak
from .shortpromotions import list_short_counts, list_short_promotions, read_metrics


def make_page(counts: dict[str, int]) -> str:
    metrics = PoolingMetrics(registry=Registry())
    for group, count in counts.items():
        metrics.short_promotions.set({"group": GroupId(group)}, count)
        metrics.changes.set({"group": GroupId(group), "reason": "leaving"}, 3)
    return render(metrics.registry, ["text/plain"])[0].decode()


def write_log(path, shorts: list[int]) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    journal = Journal(host="h0", descriptor=descriptor)
    journal.record(EventKind.STOPPED, sessions=0)
    for short in shorts:
        record_promotion(journal, make_promotion(short=short))
    journal.record(EventKind.ERROR, why="short")


def test_line_with_a_shortfall_is_found_once_among_others(tmp_path):
    path = tmp_path / "h0.log"
    write_log(path, [0, 12, 0, 12, 3])
    # A process that is killed may leave its last line cut off.
    with path.open("a") as log:
        log.write('{"time":1,"host":"h0","step":"promotion","group":"g9","short":7,"t')
    found = list_short_promotions(path.read_text().splitlines())
    assert [line.partition(',"to"')[0] for line in found] == [
        '"step":"promotion","group":"hazi66b","short":12',
        '"step":"promotion","group":"hazi66b","short":3',
        '"step":"promotion","group":"g9","short":7,"t',
    ]


def test_counts_that_are_not_zero_are_found_by_their_group():
    assert list_short_counts(make_page({"g0": 0, "g1": 0})) == []
    assert list_short_counts(make_page({"g0": 0, "g1": 2})) == ['group="g1" 2']


async def test_host_without_an_answer_has_no_page():
    assert await read_metrics(find_free_port()) is None


class Host:
    """A host that has only a log and a page of metrics."""

    name = "h0"
    is_running = True
    metrics_port = 9


@pytest.mark.parametrize(
    ("shorts", "counts", "expected"),
    [
        ([0], {"g0": 0}, []),
        ([12], {"g0": 0}, ['"group":"hazi66b","short":12']),
        ([], {"g0": 1}, ['group="g0" 1']),
    ],
)
async def test_soak_is_broken_by_a_short_promotion(
    tmp_path, monkeypatch, shorts, counts, expected
):
    async def read(port: int) -> str:
        return make_page(counts)

    monkeypatch.setattr("tests.soak.run.read_metrics", read)
    write_log(tmp_path / "h0.log", shorts)
    soak = Soak.__new__(Soak)
    soak.folder, soak.hosts, soak.checker = tmp_path, [Host()], Checker()
    await soak.check_short_counts()
    soak.check_short_promotions()
    violations = soak.checker.violations
    assert len(violations) == len(expected)
    for violation, text in zip(violations, expected, strict=True):
        assert " SHORT: h0 " in violation and text in violation
