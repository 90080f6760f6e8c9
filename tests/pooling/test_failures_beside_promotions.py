"""Promotions stay in the end of a host's log while its requests fail."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

import pytest

from apricotshore.identifiers import GroupId, ServerId
from apricotshore.pooling import promotion_summary
from apricotshore.pooling.host import HOUSEKEEPING_S, PoolingHost
from apricotshore.pooling.journal import LATER_PERIOD_S, EventKind
from apricotshore.pooling.promotion_line import record_promotion
from apricotshore.pooling.promotion_summary import Promotion
from apricotshore.pooling.trace import explain_request, read_records
from standins.in_memory import GROUP
from tests.soak.excerpt import cut_excerpt, list_told

from .support import wait_until
from .test_host import running_host
from .test_promotion_summaries import make_end, make_promotion

FAILURES_PER_S = 40
LOAD_S = 20
# Promotions of the load, in seconds before its end, and whether they had an effect.
PROMOTIONS = (
    ("hywi53a", "i-7cafce6e", 10.0, True),
    ("vyra66c", "i-c10d983a", 6.4, False),
    ("vyra66c", "i-9779139a", 6.3, True),
)
CAUSES = (
    {"code": "overloaded", "detail": "no primary, retry-after-ms=190"},
    {"code": "overloaded", "detail": "no free connection to the primary"},
    {"code": "unknown-outcome", "detail": "no answer in time"},
)
# Other kinds of failures that go on at the same time, each once a second.
OTHER_KINDS = (EventKind.CALLER_REFUSED, EventKind.DETOUR_FAILED)


@dataclass(kw_only=True)
class Load:
    """Failed requests of a host, and promotions amid them, by a clock of their own.

    Parameters
    ----------
    host
        The host.
    path
        Its log.
    now
        Milliseconds since boot.
    promoted_at
        When the last promotion was.
    """

    host: PoolingHost
    path: Path
    now: int = 1_000_000
    promoted_at: int = 0

    def play(self, causes: int, kinds: tuple[EventKind, ...]) -> list[int]:
        """Play the load; return the lengths that the log has after the promotions."""
        lengths = []
        housekeeping_ms = int(HOUSEKEEPING_S * 1_000)
        step_ms = 1_000 // FAILURES_PER_S
        end = self.now + LOAD_S * 1_000
        due = [(end - int(before * 1_000), *rest) for *rest, before, _ in PROMOTIONS]
        effects = [has_effect for *_, has_effect in PROMOTIONS]
        requests = 0
        while self.now < end:
            if due and due[0][0] <= self.now:
                self.promote(*due.pop(0)[1:], has_effect=effects.pop(0))
            details = CAUSES[requests % causes]
            self.fail(EventKind.REQUEST_FAILED, request=f"r{requests}", **details)
            requests += 1
            if self.now % 1_000 < step_ms:
                for kind in kinds:
                    self.fail(kind, server="i-13dc293e", why="overloaded" * 20)
            if self.now % housekeeping_ms < step_ms:
                self.host.write_due_lines()
            self.now += step_ms
            if not due and self.now - self.promoted_at > housekeeping_ms:
                lengths.append(self.path.stat().st_size)
        return lengths

    def fail(self, kind: EventKind, **details: str) -> None:
        self.host.journal.record(kind, database="tajy59jo", took_ms=193, **details)

    def promote(self, group: str, target: str, *, has_effect: bool) -> None:
        """Record a promotion as a change does that ends now."""
        ordered = self.make_promotion(group, target, has_effect)
        self.promoted_at = self.now
        promotions = self.host.groups[GROUP].promotions
        promotion_summary.begin(promotions, ordered)
        outcome = "settled" if has_effect else "without-effect"
        ended = promotion_summary.end(promotions, outcome)
        assert ended is not None
        record_promotion(self.host.journal, ended)

    def make_promotion(self, group: str, target: str, has_effect: bool) -> Promotion:
        return make_promotion(
            group=GroupId(group),
            target=make_end(ServerId(target), 3_115),
            effect_ms=1_017 if has_effect else None,
            ordered_at=self.now,
        )


@pytest.fixture
def load_of(tmp_path, monkeypatch):
    """Return what makes a load of a host that writes to a file."""

    def make(host: PoolingHost) -> Load:
        path = tmp_path / "host.log"
        load = Load(host=host, path=path)
        for module in ("journal", "host"):
            name = f"apricotshore.pooling.{module}.read_boot_ms"
            monkeypatch.setattr(name, lambda: load.now)
        host.journal.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
        host.journal.host = "front-lisboa-a-1"
        return load

    return make


def list_targets(text: str) -> set[str]:
    return {told.target for told in list_told(cut_excerpt(text.splitlines()))}


TARGETS = {target for _, target, *_ in PROMOTIONS}
loads = pytest.mark.parametrize(
    ("causes", "kinds"), [(1, ()), (len(CAUSES), ()), (len(CAUSES), OTHER_KINDS)]
)


@loads
async def test_promotions_are_in_the_last_lines_of_a_host_killed_at_any_time(
    load_of, causes, kinds
):
    async with running_host() as (host, _):
        await wait_until(lambda: GROUP in host.groups)
        load = load_of(host)
        lengths = load.play(causes, kinds)
        data = load.path.read_bytes()
    missing = [n for n in lengths if list_targets(data[:n].decode()) != TARGETS]
    assert len(lengths) > 5 * FAILURES_PER_S
    assert missing == [], f"{len(missing)} of {len(lengths)}"


@loads
async def test_promotions_are_in_the_last_lines_of_a_host_that_stops(
    load_of, causes, kinds
):
    async with running_host() as (host, _):
        await wait_until(lambda: GROUP in host.groups)
        load = load_of(host)
        load.play(causes, kinds)
    assert list_targets(load.path.read_text()) == TARGETS


async def test_failures_that_go_on_are_a_line_in_three_seconds(load_of):
    async with running_host() as (host, _):
        await wait_until(lambda: GROUP in host.groups)
        load = load_of(host)
        load.play(1, ())
        lines = load.path.read_text().splitlines()
    failed = [line for line in lines if '"step":"request-failed"' in line]
    assert len(failed) <= 2 + LOAD_S // LATER_PERIOD_S


async def test_requests_that_failed_before_a_stop_are_found_by_their_ids(load_of):
    async with running_host() as (host, _):
        await wait_until(lambda: GROUP in host.groups)
        load = load_of(host)
        load.play(len(CAUSES), OTHER_KINDS)
    records = list(read_records(load.path.read_text().splitlines()))
    for number in range(0, LOAD_S * FAILURES_PER_S):
        (told,) = [r for r in records if r.details.get("request") == f"r{number}"]
        assert told.details["detail"] == CAUSES[number % len(CAUSES)]["detail"]
    last = f"r{LOAD_S * FAILURES_PER_S - 1}"
    assert [r.details["request"] for r in explain_request(records, last)][-1] == last


async def test_requests_that_failed_three_seconds_before_a_kill_are_found(load_of):
    async with running_host() as (host, _):
        await wait_until(lambda: GROUP in host.groups)
        load = load_of(host)
        load.play(1, ())
        records = list(read_records(load.path.read_text().splitlines()))
    found = {r.details.get("request") for r in records}
    kept = (LOAD_S - LATER_PERIOD_S) * FAILURES_PER_S
    assert {f"r{number}" for number in range(kept)} <= found


async def test_lines_of_tasks_that_end_late_leave_promotions_last(load_of):
    async def end_late(host: PoolingHost) -> None:
        try:
            await asyncio.sleep(60)
        finally:
            for number in range(5):
                host.journal.record(EventKind.ERROR, why="x" * 300, number=number)
            host.journal.record(EventKind.REQUEST_FAILED, request="r1", code="x")
            host.journal.record(EventKind.REQUEST_FAILED, request="r2", code="x")

    async with running_host() as (host, _):
        await wait_until(lambda: GROUP in host.groups)
        load = load_of(host)
        host.add_future(end_late(host))
        await asyncio.sleep(0)
        for group, target, _, has_effect in PROMOTIONS:
            load.promote(group, target, has_effect=has_effect)
    text = load.path.read_text()
    steps = [record.step for record in read_records(text.splitlines())]
    assert steps[-len(PROMOTIONS) :] == [EventKind.PROMOTION] * len(PROMOTIONS)
    assert list_targets(text) == TARGETS
    assert {"r1", "r2"} <= {
        record.details.get("request") for record in read_records(text.splitlines())
    }
