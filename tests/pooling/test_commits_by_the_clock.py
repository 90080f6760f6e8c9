"""Commits that a former primary still acknowledges when a promotion takes effect.

A statement that runs at the step-down ends nevertheless, and a commit that waits for a
replica goes on waiting. The effect of a promotion ends all pauses, and the other
servers learn of it some time later: until then one delivers and the other acknowledges.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from apricotshore.identifiers import ServerId, StoreEra
from apricotshore.pooling.ports import ConnectionLostError
from standins.in_memory import GROUP, ModelGroup, ModelPlatform, StopsReceiving

from .support import (
    CALLERS_PER_HOST,
    Commits,
    ModelHost,
    committing,
    running,
    wait_until,
    write,
)

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))
LEARN_S = 0.15
PROMOTE_S = 0.6
CALL_S = 0.02
SLOTS = 3
# Statements that can run beside a command.
RUNNING = SLOTS - 1
# Time that a change may take, and for late acknowledgements after it.
CHANGE_LIMIT_S = 8.0
SETTLE_S = 0.4
POLL_S = 0.002
# Commits before the change begins.
WARM_UP = 5
CUT_S = 0.1
HEAL_S = 0.3
LARGEST_OFFSET_S = 0.16

host_counts = pytest.mark.parametrize("count", [1, 3], ids=["one-host", "three-hosts"])
stops = pytest.mark.parametrize("stops", list(StopsReceiving), ids=lambda s: s.value)


@dataclass(kw_only=True)
class Scene:
    """A group with commits in progress, and the hosts in front of it."""

    model: ModelGroup
    platform: ModelPlatform
    hosts: list[ModelHost]
    commits: Commits | None = None
    watches: list[asyncio.Task[None]] = field(default_factory=list)

    @classmethod
    def make(cls, count: int) -> "Scene":
        model = ModelGroup.make()
        model.acknowledges_late = model.acknowledges_until_learnt = True
        model.promotion_resumes = model.checks_terms = True
        model.counts_statements = True
        for server in model.servers.values():
            server.learns_after_s = LEARN_S
        platform = ModelPlatform(group=model, promote_s=PROMOTE_S, call_s=CALL_S)
        names = [f"host-{n}" for n in range(count)]
        hosts = [ModelHost.make(name, model, platform) for name in names]
        for host in hosts:
            for name in names:
                if name != host.name:
                    host.add_other_host(name)
        return cls(model=model, platform=platform, hosts=hosts)

    @property
    def primary(self):
        return self.model.servers[S1]

    def cut_replicas(self, is_cut: bool) -> None:
        for name in (S2, S3):
            self.model.servers[name].partitioned = is_cut

    def leave(self) -> None:
        for host in self.hosts:
            host.mark_leaving(S1)

    def fall_silent(self) -> None:
        self.primary.unreachable_by = {host.name for host in self.hosts}

    def has_ended(self) -> bool:
        """Return whether a promotion took effect and its change is over."""
        lease = self.platform.leases.get((GROUP, StoreEra(self.platform.era)))
        is_open = lease is not None and lease.open
        return bool(self.model.promotions) and not is_open

    def when(self, condition: Callable[[], object], act: Callable[[], None]) -> None:
        """Act as soon as a condition holds."""

        async def watch() -> None:
            while not condition():
                await asyncio.sleep(POLL_S)
            act()

        self.watches.append(asyncio.create_task(watch()))

    async def end_change(self) -> None:
        """Wait for the end of the change, and check what became of the commits."""
        try:
            await wait_until(self.has_ended, CHANGE_LIMIT_S)
        except TimeoutError:
            pytest.fail(f"the change takes over {CHANGE_LIMIT_S} s: {self.describe()}")
        await asyncio.sleep(SETTLE_S)
        assert self.model.lost == [], self.describe()
        missing = self.commits.list_missing()
        assert missing == [], f"missing {missing}: {self.describe()}"

    def describe(self) -> str:
        return (
            f"orders {self.platform.orders}, promotions {self.model.promotions}, "
            f"lost {self.model.lost}, told {len(self.commits.told)}"
        )


@asynccontextmanager
async def playing(
    scene: Scene, *, statements: int | None = None
) -> AsyncIterator[None]:
    """Run hosts that commit, with a number of statements at once or one a caller."""
    writers, callers = scene.hosts, CALLERS_PER_HOST
    if statements is not None:
        writers = writers[:statements]
        callers = statements // len(writers)
    async with (
        running(*scene.hosts),
        committing(scene.model, writers, callers=callers) as commits,
    ):
        scene.commits = commits
        try:
            await wait_until(lambda: len(commits.told) > WARM_UP, CHANGE_LIMIT_S)
            yield
        finally:
            for watch in scene.watches:
                watch.cancel()


@host_counts
@pytest.mark.parametrize("heals", ["at-the-effect", "after-the-order", "never"])
async def test_commits_that_wait_for_a_replica_are_not_lost(count, heals):
    scene = Scene.make(count)

    def heal() -> None:
        scene.cut_replicas(False)

    def heal_soon() -> None:
        asyncio.get_running_loop().call_later(HEAL_S, heal)

    async with playing(scene):
        scene.cut_replicas(True)
        await asyncio.sleep(CUT_S)
        if heals == "at-the-effect":
            scene.when(lambda: scene.model.promotions, heal)
        elif heals == "after-the-order":
            scene.when(lambda: scene.platform.orders, heal_soon)
        scene.leave()
        await scene.end_change()


@host_counts
@stops
@pytest.mark.parametrize("run_s", [0.02, 0.2, 0.4, 0.8])
async def test_statements_that_run_at_the_step_down_are_not_lost(count, stops, run_s):
    scene = Scene.make(count)
    scene.model.stops_receiving = stops
    scene.model.slots = SLOTS
    async with playing(scene, statements=RUNNING):
        scene.model.run_s = run_s
        await asyncio.sleep(CUT_S)
        scene.leave()
        await scene.end_change()


@host_counts
@pytest.mark.parametrize("run_s", [0.02, 0.15, 0.25])
@pytest.mark.parametrize("offset_s", [0.0, 0.08, LARGEST_OFFSET_S])
async def test_former_primary_full_of_reads_loses_no_commit(count, run_s, offset_s):
    scene = Scene.make(count)
    scene.model.stops_receiving = StopsReceiving.ACCEPTANCE
    scene.model.slots = SLOTS

    def fill() -> None:
        scene.primary.refuses_commands = True

    async with playing(scene, statements=RUNNING):
        # The step-down meets the statements at different times of their run.
        await asyncio.sleep(offset_s)
        scene.model.run_s = run_s
        await asyncio.sleep(LARGEST_OFFSET_S - offset_s + CUT_S)
        scene.when(lambda: not scene.primary.is_primary, fill)
        scene.leave()
        await scene.end_change()


@host_counts
async def test_status_that_does_not_count_itself_hides_no_commit(count):
    scene = Scene.make(count)
    scene.model.status_counts_itself = False
    scene.model.stops_receiving = StopsReceiving.ACCEPTANCE
    async with playing(scene, statements=1):
        scene.model.run_s = 0.25
        await asyncio.sleep(CUT_S)
        scene.leave()
        await scene.end_change()


@host_counts
@stops
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_slow_answers_to_commands_lose_no_commit(count, stops, seed):
    scene = Scene.make(count)
    scene.model.stops_receiving = stops
    scene.model.random = Random(seed)
    async with playing(scene):
        scene.model.run_s = 0.1
        scene.model.command_delay_s = (0.1, 0.6)
        scene.leave()
        await scene.end_change()


def give_past(scene: Scene, lengths: tuple[int, int, int]) -> None:
    """Have a group begin in a late term, with long logs that end apart."""
    term = 11
    entries = [
        (n * term // max(lengths) or 1, n, f"past-{n}")
        for n in range(1, max(lengths) + 1)
    ]
    scene.model.term = term
    for server, length in zip(scene.model.servers.values(), lengths, strict=True):
        server.term = term
        server.log = entries[:length]
        server.applied = length
    # Replicas receive at different times.
    scene.model.servers[S2].receive_s = 0.06
    scene.model.servers[S3].receive_s = 0.02
    key = GROUP, StoreEra(scene.platform.era)
    scene.platform.leases[key] = replace(
        scene.platform.leases[key], holder="host-0/10.0.0.9:1/0badcafe", target=S2
    )


@host_counts
@pytest.mark.parametrize(
    "lengths", [(3400, 3390, 1000), (1385, 1000, 1384)], ids=["3400", "1385"]
)
@pytest.mark.parametrize("reason", ["leaving", "silent"])
@pytest.mark.parametrize("run_s", [0.0, 0.25])
async def test_group_with_a_past_loses_no_commit(count, lengths, reason, run_s):
    scene = Scene.make(count)
    give_past(scene, lengths)
    scene.model.stops_receiving = StopsReceiving.ACCEPTANCE
    scene.model.slots = SLOTS
    async with playing(scene, statements=RUNNING):
        scene.model.run_s = run_s
        await asyncio.sleep(CUT_S)
        if reason == "leaving":
            scene.leave()
        else:
            scene.fall_silent()
        await scene.end_change()


@host_counts
@stops
@pytest.mark.parametrize("run_s", [0.02, 0.8])
async def test_silent_primary_with_statements_loses_no_commit(count, stops, run_s):
    scene = Scene.make(count)
    scene.model.stops_receiving = stops
    scene.model.slots = SLOTS
    async with playing(scene, statements=RUNNING):
        scene.model.run_s = run_s
        await asyncio.sleep(CUT_S)
        scene.fall_silent()
        await scene.end_change()


@host_counts
@pytest.mark.parametrize("run_s", [0.02, 0.4])
async def test_primary_that_commits_keep_full_loses_none(count, run_s):
    scene = Scene.make(count)
    scene.model.stops_receiving = StopsReceiving.ACCEPTANCE
    scene.model.slots = SLOTS
    async with playing(scene):
        scene.model.run_s = run_s
        await asyncio.sleep(CUT_S)
        scene.leave()
        await scene.end_change()


async def test_closed_connection_gets_no_acknowledgement():
    scene = Scene.make(1)
    scene.cut_replicas(True)
    server = scene.model.list(scene.primary)
    link = await scene.hosts[0].dialer.dial(server, 1.0)
    waiting = asyncio.create_task(link.run([write()], None, CHANGE_LIMIT_S))
    await asyncio.sleep(CUT_S)
    link.close()
    with pytest.raises(ConnectionLostError) as lost:
        await asyncio.wait_for(waiting, CUT_S)
    assert lost.value.sent
    scene.cut_replicas(False)
    await asyncio.sleep(CUT_S)
    assert scene.model.acknowledged == []
