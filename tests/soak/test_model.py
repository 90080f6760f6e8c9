"""Servers of the model that learn a promotion in their own time."""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from .model import LONG_LEARNING_S, ROLL_BACK_S, Checker, Group, Leeway, Server
from .run import REAL_LEEWAY
from .servers import Connection, LineServer
from .store import Store

WAIT_S = 1.0
STATUS_TERM, STATUS_PAUSED = 1, 3
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


def make_group(leeway: Leeway) -> Group:
    """Return a group of three servers, the first of which leads."""
    return Group(
        name="g",
        zones=["a", "b", "c"],
        checker=Checker(),
        random=random.Random(1),
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
    writer = SimpleNamespace(transport=Transport())
    return Connection(number=1, reader=None, writer=writer)


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


def make_store(leeway: Leeway) -> Store:
    """Return a store whose promotions take effect soon."""
    group = make_group(replace(leeway, promotion_s=(0.02, 0.02)))
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
