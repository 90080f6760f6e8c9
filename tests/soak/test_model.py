"""Servers of the model that learn a promotion in their own time."""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from . import changes
from .model import (
    EARLIER_ENTRIES,
    EARLIER_LEARNING_S,
    EARLIER_TERMS,
    LONG_LEARNING_S,
    ROLL_BACK_S,
    Checker,
    Entry,
    Group,
    Leeway,
    SentStatement,
    Server,
    TargetStops,
)
from .run import EARLIER_HOLDER, REAL_LEEWAY, Soak
from .servers import Connection, LineServer
from .store import LEASES, Store

WAIT_S = 1.0
STATUS_TERM, STATUS_PAUSED, STATUS_BUSY = 1, 3, 5
LAX = replace(REAL_LEEWAY, leads_until_learnt=True)


class Clock:
    """A clock that only the test moves."""

    def __init__(self) -> None:
        self.at_s = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.at_s


@pytest.fixture
def clock(monkeypatch):
    """Give the model a clock that only the test moves."""
    stopped = Clock()
    monkeypatch.setattr("tests.soak.model.now", stopped)
    monkeypatch.setattr("tests.soak.servers.now", stopped)
    return stopped


def make_group(leeway: Leeway, seed: int = 1) -> Group:
    """Return a group of three servers, the first of which leads."""
    return Group(
        name="g",
        zones=["a", "b", "c"],
        checker=Checker(),
        random=random.Random(seed),
        leeway=leeway,
    )


def promote_slowly(group: Group, name: str, learning_s: dict[str, float]) -> None:
    """Promote a server, and have each of the others learn after a given time."""
    group.promote(name)
    for other, delay_s in learning_s.items():
        group.servers[other].learns_at = group.promoted_at + delay_s


def make_line_server(group: Group, name: str) -> LineServer:
    """Return a server of the line protocol, which does not listen."""
    return LineServer(
        group=group,
        server=group.servers[name],
        checker=group.checker,
        connections=10,
        random=random.Random(1),
    )


class Transport:
    """Transport of a connection that nobody reads."""

    def __init__(self) -> None:
        self.is_aborted = False

    def abort(self) -> None:
        """Remember that the connection was reset."""
        self.is_aborted = True


def make_connection() -> Connection:
    """Return a connection to a server."""
    transport = Transport()
    writer = SimpleNamespace(
        transport=transport, is_closing=lambda: transport.is_aborted
    )
    return Connection(number=1, reader=asyncio.StreamReader(), writer=writer)


def start_write(server: LineServer, connection: Connection) -> asyncio.Task:
    """Start a statement that writes; its answer is the result."""
    server.checker.statements["1-1"] = SentStatement(
        session=1,
        operation=1,
        text="WRITE i1 d",
        in_transaction=False,
        first_byte_at=0.0,
        staleness_s=None,
        own_position=None,
        values={},
    )
    return asyncio.create_task(server._run(connection, "1-1", "WRITE i1 d"))


async def ask(server: LineServer, text: str) -> tuple[list[str], str]:
    """Return the fields of the row and the status line for a command."""
    rows, status_line = await server._run(make_connection(), "-", text)
    return (rows[0].split() if rows else []), status_line


async def commit(group: Group, name: str, write: str) -> bool:
    """Commit at a server, and return whether a replica acknowledged it."""
    task = asyncio.create_task(group.commit(group.servers[name], (write,)))
    await asyncio.sleep(0)
    group.advance()
    return await asyncio.wait_for(task, WAIT_S)


def deafen(group: Group, *names: str) -> None:
    """Have only these servers receive nothing."""
    for server in group.servers.values():
        server.receive_paused = server.name in names


def show_terms(group: Group) -> list[int]:
    """Return the terms that the servers show."""
    return [s.term for s in group.servers.values()]


# -- terms --


def test_all_learn_at_once_by_default(clock):
    group = make_group(Leeway())
    group.promote("g-2")
    assert show_terms(group) == [2, 2, 2]


def test_each_server_learns_in_its_own_time(clock):
    group = make_group(REAL_LEEWAY)
    promote_slowly(group, "g-2", {"g-1": 0.3, "g-3": 0.1})
    assert show_terms(group) == [1, 2, 1]
    clock.at_s += 0.2
    group.advance()
    assert show_terms(group) == [1, 2, 2]
    clock.at_s += 0.2
    group.advance()
    assert show_terms(group) == [2, 2, 2]


def test_draws_at_most_the_longest_learning():
    group = make_group(REAL_LEEWAY)
    drawn = [group._draw_learning() for _ in range(500)]
    assert max(drawn) <= LONG_LEARNING_S[1]
    assert sum(d < 0.1 for d in drawn) > 350


def test_server_that_is_down_learns_when_it_is_back(clock):
    group = make_group(REAL_LEEWAY)
    group.servers["g-1"].up = False
    promote_slowly(group, "g-2", {"g-1": 0.1, "g-3": 0.1})
    clock.at_s += 0.4
    group.advance()
    assert show_terms(group) == [1, 2, 2]
    group.restart(group.servers["g-1"])
    assert show_terms(group) == [2, 2, 2]
    assert not group.servers["g-1"].is_primary


def test_second_promotion_is_learnt_by_those_that_missed_the_first(clock):
    group = make_group(REAL_LEEWAY)
    promote_slowly(group, "g-2", {"g-1": 0.3, "g-3": 0.3})
    clock.at_s += 0.05
    promote_slowly(group, "g-3", {"g-1": 0.3, "g-2": 0.1})
    assert show_terms(group) == [1, 2, 3]
    clock.at_s += 0.4
    group.advance()
    assert show_terms(group) == [3, 3, 3]
    assert [s.is_primary for s in group.servers.values()] == [False, False, True]


async def test_new_primary_has_a_log_of_the_old_term_until_it_commits(clock):
    group = make_group(REAL_LEEWAY)
    assert await commit(group, "g-1", "w1")
    group.promote("g-2")
    server = make_line_server(group, "g-2")
    assert server._position() == "1.1"
    assert (await ask(server, "STATUS"))[0][:3] == ["primary", "2", "1.1"]
    clock.at_s += 0.5
    group.advance()
    assert await commit(group, "g-2", "w2")
    assert server._position() == "2.2"


async def test_group_starts_at_a_term_and_number(clock):
    leeway = replace(REAL_LEEWAY, first_term=11, first_number=3000)
    group = make_group(leeway)
    assert await commit(group, "g-1", "w1")
    assert group.servers["g-1"].received_position == (11, 3000)
    group.promote("g-2")
    assert group.term == 12


def test_next_term_is_above_all_servers_or_the_platforms_own():
    for is_above, expected in ((True, 10), (False, 2)):
        group = make_group(replace(REAL_LEEWAY, terms_above_servers=is_above))
        group.step_down(group.servers["g-1"], 9)
        group.promote("g-2")
        assert group.term == group.servers["g-2"].term == expected


async def test_server_that_joins_follows_the_newest_primary(clock):
    group = make_group(REAL_LEEWAY)
    deafen(group, "g-2")
    assert await commit(group, "g-1", "w")
    group.promote("g-2")
    new = Server(name="g-4", zone="a", log=list(group.servers["g-1"].log), applied=1)
    group.admit(new)
    assert new.term == new.followed_term == 2
    assert new.log == []
    assert new.applied == 0


def show_positions(group: Group) -> list[tuple[int, int]]:
    """Return the positions that the servers have received."""
    return [s.received_position for s in group.servers.values()]


def test_groups_with_an_earlier_life_differ_in_terms_lengths_and_replicas():
    leeway = replace(REAL_LEEWAY, has_earlier_life=True)
    groups = [make_group(leeway, seed) for seed in range(50)]
    terms = {g.term for g in groups}
    lengths = [len(g.leader.log) for g in groups]
    assert (min(terms), max(terms)) == EARLIER_TERMS
    assert EARLIER_ENTRIES[0] <= min(lengths) < max(lengths) <= EARLIER_ENTRIES[1]
    for group in groups:
        first, second, last = show_positions(group)
        assert first == second >= last
        assert first[1] == len(group.leader.log)
    assert any(g.servers["g-3"].term < g.term for g in groups)
    assert any(len(g.servers["g-3"].log) == len(g.leader.log) for g in groups)


async def test_replica_that_is_behind_in_an_earlier_life_learns_and_catches_up(clock):
    leeway = replace(REAL_LEEWAY, has_earlier_life=True)
    groups = (make_group(leeway, seed) for seed in range(50))
    group = next(g for g in groups if g.servers["g-3"].term < g.term)
    group.advance()
    assert show_positions(group)[2] < group.leader.received_position
    clock.at_s += EARLIER_LEARNING_S
    group.advance()
    assert len(set(show_terms(group))) == len(set(show_positions(group))) == 1
    length = len(group.leader.log)
    assert await commit(group, "g-1", "w")
    assert group.leader.received_position == (group.term, length + 1)


def test_replica_that_is_behind_in_an_earlier_life_lacks_acknowledged_commits():
    leeway = replace(REAL_LEEWAY, has_earlier_life=True)
    groups = (make_group(leeway, seed) for seed in range(50))
    group = next(g for g in groups if g.servers["g-3"].term < g.term)
    missing = len(group.leader.log) - len(group.servers["g-3"].log)
    group.promote("g-3")
    (violation,) = group.checker.violations
    assert f"LOST: g-3 became primary of term {group.term}" in violation
    assert f"without {missing}:" in violation


def test_leases_of_an_earlier_life_are_open_or_closed(tmp_path):
    soak = Soak(
        seed=1,
        hosts=0,
        groups=20,
        callers=0,
        connections=1,
        restores=False,
        releases=False,
        changes="",
        fault_pause_s=0.0,
        folder=tmp_path,
        leeway={"has_earlier_life": True},
    )
    soak._write_earlier_leases()
    leases = [item["spec"] for item in soak.store.objects[LEASES].values()]
    assert len(leases) == 20
    assert {lease["open"] for lease in leases} == {True, False}
    assert {lease["holder"] for lease in leases} == {EARLIER_HOLDER}


# -- what runs, and connections that are closed --

FINISHING = replace(REAL_LEEWAY, commits_after_step_down=True, work_s=(0.05, 0.05))


async def test_statement_that_runs_at_the_step_down_is_numbered_when_stored():
    group = make_group(FINISHING)
    server = make_line_server(group, "g-1")
    running = start_write(server, make_connection())
    await asyncio.sleep(0.01)
    row, _ = await ask(server, "STEPDOWN 2")
    assert (row[0], row[2], row[STATUS_BUSY]) == ("replica", "0.0", "1")
    group.leader.log.append(make_entry(group))
    replicating = asyncio.create_task(group.replicate())
    assert (await asyncio.wait_for(running, WAIT_S))[1].startswith("COMPLETE")
    replicating.cancel()
    (known,) = group.acknowledged
    assert known.entry.position == (1, 2)
    assert known.after_step_down


def make_entry(group: Group) -> Entry:
    """Return an entry that a primary stored first."""
    return Entry(term=group.term, index=1, writes=("first",), committed_at=0.0)


async def test_statement_that_runs_until_its_server_learns_is_refused():
    group = make_group(FINISHING)
    server = make_line_server(group, "g-1")
    running = start_write(server, make_connection())
    await asyncio.sleep(0.01)
    promote_slowly(group, "g-2", {"g-1": 0.0, "g-3": 0.0})
    group.advance()
    assert (await asyncio.wait_for(running, WAIT_S))[1].startswith("ERROR")
    assert group.leaders[1].log == []


async def test_only_what_stores_a_commit_takes_the_time_of_one():
    group = make_group(replace(REAL_LEEWAY, store_s=(1.0, 1.0)))
    server, connection = make_line_server(group, "g-1"), make_connection()
    assert server._choose_work(connection, "READ") == REAL_LEEWAY.work_s
    assert server._choose_work(connection, "COMMIT") == REAL_LEEWAY.work_s
    assert server._choose_work(connection, "WRITE") == (1.0, 1.0)
    connection.transaction = "plain"
    assert server._choose_work(connection, "WRITE") == REAL_LEEWAY.work_s
    connection.writes.append("1-1")
    assert server._choose_work(connection, "COMMIT") == (1.0, 1.0)
    server.leeway = REAL_LEEWAY
    assert server._choose_work(connection, "COMMIT") == REAL_LEEWAY.work_s


async def test_commit_that_waits_keeps_its_slot_after_the_step_down():
    group = make_group(replace(FINISHING, work_s=(0.0, 0.0)))
    server = make_line_server(group, "g-1")
    waiting = start_write(server, make_connection())
    await asyncio.sleep(0.02)
    row, _ = await ask(server, "STEPDOWN 2")
    assert (row[0], row[2], row[STATUS_BUSY]) == ("replica", "1.1", "1")
    assert not waiting.done()
    await asyncio.sleep(0.1)
    group.advance()
    assert (await asyncio.wait_for(waiting, WAIT_S))[1].startswith("COMPLETE")
    assert server.running == 0
    assert group.acknowledged[0].after_step_down


@pytest.mark.parametrize("way", ["closed", "reset"])
@pytest.mark.parametrize("work_s", [0.0, 0.5])
async def test_closed_connection_ends_its_statement_without_an_answer(way, work_s):
    group = make_group(replace(FINISHING, work_s=(work_s, work_s)))
    server = make_line_server(group, "g-1")
    connection = make_connection()
    statement = start_write(server, connection)
    await asyncio.sleep(0.02)
    assert server.running == 1
    if way == "closed":
        connection.reader.feed_eof()
    else:
        connection.writer.transport.abort()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(statement, 0.1)
    assert server.running == 0
    # What was stored may stay, but nobody was told.
    assert len(group.leader.log) == (not work_s)
    await asyncio.sleep(0.1)
    group.advance()
    assert group.acknowledged == []


# -- the former primary --


async def test_strict_former_primary_loses_the_lead_at_the_effect(clock):
    group = make_group(REAL_LEEWAY)
    deafen(group, "g-2", "g-3")
    waiting = asyncio.create_task(group.commit(group.servers["g-1"], ("w",)))
    await asyncio.sleep(0)
    promote_slowly(group, "g-2", {"g-1": 0.3, "g-3": 0.3})
    deafen(group)
    group.advance()
    assert not await asyncio.wait_for(waiting, WAIT_S)
    server = make_line_server(group, "g-1")
    assert (await ask(server, "BEGIN"))[1] == "ERROR READONLY"
    assert (await ask(server, "STATUS"))[0][:2] == ["replica", "1"]
    assert group.checker.violations == []


async def test_lax_former_primary_leads_until_it_learns(clock):
    group = make_group(LAX)
    promote_slowly(group, "g-2", {"g-1": 0.3, "g-3": 0.3})
    server = make_line_server(group, "g-1")
    assert (await ask(server, "BEGIN"))[1] == "COMPLETE -"
    assert await commit(group, "g-1", "w")
    (violation,) = group.checker.violations
    assert " LATE-ACK: g-2 was primary of term 2, without 1: (1, 1) w" in violation
    assert "by g-1 with g-3" in violation
    clock.at_s += 0.4
    group.advance()
    assert (await ask(server, "BEGIN"))[1] == "ERROR BUSY"
    clock.at_s += ROLL_BACK_S[1]
    assert (await ask(server, "BEGIN"))[1] == "ERROR READONLY"
    assert group.servers["g-1"].log == group.servers["g-3"].log == []


async def test_commit_that_the_new_primary_has_may_be_acknowledged_late(clock):
    group = make_group(LAX)
    deafen(group, "g-3")
    waiting = asyncio.create_task(group.commit(group.servers["g-1"], ("w",)))
    await asyncio.sleep(0)
    group.advance()
    promote_slowly(group, "g-2", {"g-1": 0.3, "g-3": 0.3})
    assert await asyncio.wait_for(waiting, WAIT_S)
    assert group.checker.violations == []
    (known,) = group.acknowledged
    assert known.entry in group.leader.log


@pytest.mark.parametrize("by_position", [True, False])
async def test_higher_position_of_a_later_term_acknowledges_if_so_chosen(
    clock, by_position
):
    group = make_group(replace(REAL_LEEWAY, acknowledges_by_position=by_position))
    deafen(group, "g-2", "g-3")
    waiting = asyncio.create_task(group.commit(group.servers["g-1"], ("old",)))
    await asyncio.sleep(0)
    promote_slowly(group, "g-2", {"g-1": 0.1, "g-3": 0.1})
    deafen(group)
    clock.at_s += 0.2
    group.advance()
    assert await commit(group, "g-2", "new")
    assert await asyncio.wait_for(waiting, WAIT_S) == by_position
    assert len(group.checker.violations) == by_position
    assert [e.writes for e in group.servers["g-1"].log] == [("new",)]


async def test_replica_that_has_learnt_receives_only_from_the_new_primary(clock):
    group = make_group(LAX)
    promote_slowly(group, "g-2", {"g-1": 0.3, "g-3": 0.0})
    group.advance()
    waiting = asyncio.create_task(group.commit(group.servers["g-1"], ("old",)))
    assert await commit(group, "g-2", "new")
    assert [e.writes for e in group.servers["g-3"].log] == [("new",)]
    clock.at_s += 0.4
    group.advance()
    assert not await asyncio.wait_for(waiting, WAIT_S)
    assert group.checker.violations == []


async def test_replica_that_has_not_learnt_receives_nothing_new(clock):
    group = make_group(LAX)
    promote_slowly(group, "g-2", {"g-1": 0.0, "g-3": 0.3})
    group.advance()
    assert await commit(group, "g-2", "new")
    clock.at_s += 0.1
    group.advance()
    assert [e.writes for e in group.servers["g-1"].log] == [("new",)]
    assert group.servers["g-3"].log == []
    clock.at_s += 0.4
    group.advance()
    assert [e.writes for e in group.servers["g-3"].log] == [("new",)]


async def test_loss_without_the_times_of_the_orders_before_it(clock):
    group = make_group(REAL_LEEWAY)
    deafen(group, "g-2")
    assert await commit(group, "g-1", "early")
    clock.at_s += 1.0
    group.accept("g-3")
    clock.at_s += 1.0
    assert await commit(group, "g-1", "late")
    second = group.accept("g-2")
    clock.at_s += 1.0
    group.promote("g-2", second)
    (violation,) = group.checker.violations
    assert "(1, 1) by g-1 with g-3, at 1000.000, 3.000 s before the effect" in violation
    assert "(1, 2) by g-1 with g-3, at 1002.000, 1.000 s before the effect" in violation
    assert violation.endswith(
        "; 1 after the first order of another than g-1: g-3 accepted at 1001.000, "
        "no effect, g-2 accepted at 1002.000, effect at 1003.000 with term 2"
    )


async def test_earlier_order_that_took_effect_is_missing_in_a_loss(clock):
    group = make_group(REAL_LEEWAY)
    deafen(group, "g-2")
    assert await commit(group, "g-1", "w")
    first, second = group.accept("g-3"), group.accept("g-2")
    group.promote("g-3", first)
    clock.at_s += 1.0
    group.promote("g-2", second)
    (violation,) = group.checker.violations
    assert violation.endswith(
        "; 0 after the first order of another than g-1: "
        "g-3 accepted at 1000.000, effect at 1000.000 with term 2, "
        "g-2 accepted at 1000.000, effect at 1001.000 with term 3"
    )


async def test_commit_that_the_promoted_server_lacks_is_lost(clock):
    group = make_group(REAL_LEEWAY)
    deafen(group, "g-2")
    assert await commit(group, "g-1", "w")
    group.promote("g-2")
    (violation,) = group.checker.violations
    assert "LOST: g-2 became primary of term 2 with (0, 0), without 1:" in violation


# -- roll-back --


async def test_server_that_rolls_back_is_busy_for_a_moment(clock):
    group = make_group(REAL_LEEWAY)
    deafen(group, "g-2")
    assert await commit(group, "g-1", "w")
    promote_slowly(group, "g-2", {"g-1": 0.0, "g-3": 0.1})
    behind = make_line_server(group, "g-3")
    assert (await ask(behind, "STATUS"))[1] == "COMPLETE -"
    assert len(behind.server.log) == 1
    clock.at_s += 0.2
    group.advance()
    assert behind.server.log == []
    for text in ("STATUS", "PAUSE 9", "BEGIN READ"):
        assert (await ask(behind, text))[1] == "ERROR BUSY"
    assert behind.server.paused_term == 0
    clock.at_s += ROLL_BACK_S[1]
    assert (await ask(behind, "STATUS"))[1] == "COMPLETE -"


async def test_server_that_rolls_nothing_back_is_not_busy(clock):
    group = make_group(REAL_LEEWAY)
    assert await commit(group, "g-1", "w")
    promote_slowly(group, "g-2", {"g-1": 0.0, "g-3": 0.0})
    group.advance()
    assert (await ask(make_line_server(group, "g-3"), "STATUS"))[1] == "COMPLETE -"


# -- pauses and step-downs --


@pytest.mark.parametrize("ends", [True, False])
def test_learning_ends_a_pause_if_so_chosen(clock, ends):
    leeway = replace(REAL_LEEWAY, learning_ends_pauses=ends)
    group = make_group(leeway)
    paused = group.servers["g-3"]
    group.pause(paused, 2)
    promote_slowly(group, "g-2", {"g-1": 0.0, "g-3": 0.2})
    group.advance()
    assert paused.paused_term == 2
    clock.at_s += 0.3
    group.advance()
    assert paused.paused_term == (0 if ends else 2)


@pytest.mark.parametrize("end", ["resume", "restart", "promote"])
def test_pause_ends_with(clock, end):
    group = make_group(replace(REAL_LEEWAY, learning_ends_pauses=False))
    paused = group.servers["g-3"]
    group.pause(paused, 2)
    assert paused.paused_term == 2
    getattr(group, end)("g-3" if end == "promote" else paused)
    assert paused.paused_term == 0


def test_pause_goes_by_the_servers_own_term(clock):
    group = make_group(REAL_LEEWAY)
    promote_slowly(group, "g-2", {"g-1": 0.3, "g-3": 0.3})
    group.pause(group.servers["g-3"], 2)
    assert group.servers["g-3"].paused_term == 2
    group.pause(group.servers["g-2"], 9)
    assert group.servers["g-2"].paused_term == 0


async def test_paused_server_receives_nothing(clock):
    group = make_group(REAL_LEEWAY)
    group.pause(group.servers["g-2"], 2)
    assert await commit(group, "g-1", "w")
    assert group.acknowledged[0].receivers == ("g-3",)
    assert group.servers["g-2"].log == []


@pytest.mark.parametrize("raises", [True, False])
async def test_step_down_raises_the_term_if_so_chosen(clock, raises):
    group = make_group(replace(REAL_LEEWAY, step_down_raises_term=raises))
    server = make_line_server(group, "g-1")
    row, _ = await ask(server, "STEPDOWN 5")
    assert row[0] == "replica"
    assert row[STATUS_TERM] == ("5" if raises else "1")
    row, _ = await ask(server, "PAUSE 5")
    assert row[STATUS_PAUSED] == ("0" if raises else "5")


@pytest.mark.parametrize("raises", [True, False])
async def test_pause_raises_the_term_if_so_chosen(clock, raises):
    group = make_group(replace(REAL_LEEWAY, pause_raises_term=raises))
    row, _ = await ask(make_line_server(group, "g-2"), "PAUSE 5")
    assert row[STATUS_TERM] == ("5" if raises else "1")
    assert row[STATUS_PAUSED] == "5"


def test_step_down_of_a_term_that_is_not_higher_changes_nothing():
    group = make_group(replace(REAL_LEEWAY, first_term=4))
    group.step_down(group.servers["g-1"], 4)
    assert group.servers["g-1"].is_primary


def test_server_that_leads_again_after_a_crash_has_its_old_term():
    group = make_group(REAL_LEEWAY)
    former = group.servers["g-1"]
    group.step_down(former, 2)
    former.up = False
    group.restart(former)
    assert former.is_primary
    assert former.term == 1


# -- slots, late commands and the platform --


async def test_command_is_refused_when_no_slot_is_free():
    group = make_group(REAL_LEEWAY)
    server = make_line_server(group, "g-1")
    for _ in range(REAL_LEEWAY.slots):
        await server.slots.acquire()
    for text in ("STATUS", "PAUSE 2", "RESUME", "STEPDOWN 2"):
        assert (await ask(server, text))[1] == "ERROR BUSY"
    assert group.servers["g-1"].is_primary
    server.slots.release()
    assert (await ask(server, "STEPDOWN 2"))[0][0] == "replica"


async def test_slow_command_keeps_its_slot_until_its_answer():
    leeway = replace(REAL_LEEWAY, command_s=(0.2, 0.2), late_command_share=0.0)
    group = make_group(replace(leeway, late_answer_share=0.0))
    server = make_line_server(group, "g-1")
    started_at = asyncio.get_running_loop().time()
    asked = asyncio.create_task(ask(server, "STEPDOWN 2"))
    while group.leader.is_primary:
        await asyncio.sleep(0.005)
    assert server.slots._value == group.leeway.slots - 1
    assert (await asked)[0][0] == "replica"
    assert asyncio.get_running_loop().time() - started_at >= 0.19


@pytest.mark.parametrize("counts", [True, False])
async def test_status_counts_itself_if_so_chosen(counts):
    leeway = replace(REAL_LEEWAY, status_counts_itself=counts)
    row, _ = await ask(make_line_server(make_group(leeway), "g-1"), "STATUS")
    assert row[STATUS_BUSY] == str(int(counts))


async def test_command_takes_no_slot_by_default():
    server = make_line_server(make_group(Leeway()), "g-1")
    for _ in range(Leeway().slots):
        await server.slots.acquire()
    assert (await ask(server, "STATUS"))[1] == "COMPLETE -"


async def test_late_answer_comes_after_the_command(monkeypatch):
    monkeypatch.setattr("tests.soak.servers.LATE_S", (0.3, 0.3))
    group = make_group(replace(REAL_LEEWAY, late_answer_share=1.0))
    asked = asyncio.create_task(ask(make_line_server(group, "g-1"), "STEPDOWN 2"))
    await asyncio.sleep(0.02)
    assert not group.servers["g-1"].is_primary
    assert not asked.done()
    assert (await asked)[0][0] == "replica"


async def send_late_command(group: Group) -> None:
    """Send a step-down that is carried out late, and reset its connection."""
    server = make_line_server(group, "g-1")
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"STARTUP g me g-1\r\n")
    await reader.readuntil(b"\r\n")
    writer.write(b"QUERY - STEPDOWN 2\r\n")
    await asyncio.sleep(0.02)
    writer.transport.abort()


async def test_late_command_is_carried_out_after_a_reset(monkeypatch):
    monkeypatch.setattr("tests.soak.servers.LATE_S", (0.3, 0.3))
    group = make_group(replace(REAL_LEEWAY, late_command_share=1.0))
    await send_late_command(group)
    assert group.servers["g-1"].is_primary
    await asyncio.sleep(0.5)
    assert not group.servers["g-1"].is_primary


async def test_late_command_is_dropped_by_a_crash(monkeypatch):
    monkeypatch.setattr("tests.soak.servers.LATE_S", (0.3, 0.3))
    group = make_group(replace(REAL_LEEWAY, late_command_share=1.0))
    await send_late_command(group)
    group.servers["g-1"].up = False
    group.restart(group.servers["g-1"])
    await asyncio.sleep(0.5)
    assert group.servers["g-1"].is_primary


async def promote(store: Store, name: str, token: int) -> int:
    """Request a promotion, and return the status of the answer."""
    headers = {"Fencing-Token": str(token), "Lease-Holder": "h"}
    request = SimpleNamespace(headers=headers)
    body = {"service": "g", "id": name}
    return (await store._handle_promotion(request, body)).status


def make_store(leeway: Leeway, promotion_s: float = 0.02) -> Store:
    """Return a store whose promotions take effect soon."""
    group = make_group(replace(leeway, promotion_s=(promotion_s, promotion_s)))
    return Store(groups={"g": group}, checker=group.checker, random=random.Random(1))


@pytest.mark.parametrize("promotes", [True, False])
async def test_primary_that_stepped_down_is_promoted_again_if_so_chosen(promotes):
    leeway = replace(
        REAL_LEEWAY, promotes_stepped_down=promotes, late_promotion_share=0.0
    )
    store = make_store(leeway)
    group = store.groups["g"]
    group.step_down(group.servers["g-1"], 2)
    assert await promote(store, "g-1", 1) == 200
    await asyncio.sleep(0.2)
    assert group.servers["g-1"].is_primary == promotes
    assert group.promotions == promotes


@pytest.mark.parametrize(
    ("stops", "received"),
    [
        (TargetStops.AT_CALL, (0, 0, 0)),
        (TargetStops.AT_ACCEPTANCE, (1, 1, 1)),
        (TargetStops.AT_EFFECT, (1, 2, 2)),
    ],
)
async def test_target_stops_receiving_at(stops, received):
    store = make_store(
        replace(
            REAL_LEEWAY,
            own_delays=False,
            target_stops=stops,
            acceptance_s=(0.1, 0.1),
            late_promotion_share=0.0,
        ),
        promotion_s=0.2,
    )
    group, lengths = store.groups["g"], []
    asked = asyncio.create_task(promote(store, "g-2", 1))
    for _ in range(2):
        await asyncio.sleep(0.05)
        assert await commit(group, "g-1", "w")
        lengths.append(len(group.servers["g-2"].log))
        await asked
    await asyncio.sleep(0.3)
    assert group.leader.name == "g-2"
    assert (*lengths, len(group.leader.log)) == received


async def test_target_of_a_refused_call_receives_again():
    leeway = replace(REAL_LEEWAY, own_delays=False, late_promotion_share=0.0)
    store = make_store(replace(leeway, target_stops=TargetStops.AT_CALL))
    assert await promote(store, "g-2", 2) == 200
    assert await promote(store, "g-3", 1) == 409
    assert not store.groups["g"].servers["g-3"].is_ordered


async def test_newer_token_takes_no_effect_back():
    store = make_store(replace(REAL_LEEWAY, late_promotion_share=0.0))
    assert await promote(store, "g-2", 1) == 200
    assert await promote(store, "g-1", 2) == 200
    assert await promote(store, "g-3", 1) == 409
    await asyncio.sleep(0.2)
    assert store.groups["g"].leader.name == "g-2"


async def test_promotion_is_answered_late_but_takes_effect(monkeypatch):
    monkeypatch.setattr("tests.soak.store.LATE_PROMOTION_S", (0.4, 0.4))
    store = make_store(replace(REAL_LEEWAY, late_promotion_share=1.0))
    asked = asyncio.create_task(promote(store, "g-2", 1))
    await asyncio.sleep(0.2)
    assert store.groups["g"].leader.name == "g-2"
    assert not asked.done()
    assert await asked == 200


async def test_lease_that_was_left_to_others_stops_no_faults_at_holders(monkeypatch):
    names = iter(["", "left-by:h0", "h0"])
    hosts = []

    async def record(cluster, host, hit, rng):
        hosts.append(host.name)

    monkeypatch.setattr(changes, "find_holder", lambda cluster, group: next(names))
    monkeypatch.setattr(changes, "_record_hit", record)
    monkeypatch.setattr(changes, "HIT_SHARES", (1.1,))
    monkeypatch.setattr(changes, "HIT_AFTER_S", (0.0, 0.0))
    cluster = SimpleNamespace(hosts=[SimpleNamespace(name="h0")])
    releases = SimpleNamespace(random=random.Random(1), cluster=cluster)
    async with asyncio.TaskGroup() as tasks:
        await changes._hit_holders(releases, None, [record], tasks)
    assert hosts == ["h0"]
