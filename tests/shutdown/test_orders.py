"""Orders of statements, turns of the event loop and the phases of a stop.

Whatever the order, a statement that was read whole is answered whole before its
connection is closed, and nothing begins once the exit is decided.
"""

from collections.abc import Callable

import pytest

from apricotshore import shutdown
from apricotshore.pooling import callers
from apricotshore.pooling.callers import Callers
from apricotshore.shutdown import find_last_answer
from tests.pooling.callers_of_organisations import make_keys

from .order_search import find_faults
from .stepping import SteppedLoop
from .stopping_host import TICK_MS, StoppingHost, stepping

START = b"STARTUP shop u1\r\n"
READ = b"QUERY r READ k\r\n"
WRITE = b"QUERY w WRITE a b\r\n"
COMMIT = b"QUERY c COMMIT\r\n"
SET = b"QUERY s SET a b\r\n"
# Waits for room; there is room for one of them.
LARGE = b"QUERY l READ " + b"x" * 20_000 + b"\r\n"
ROOM_FOR_ONE = 130_000
PART = b"QUERY p RE"
KEY = "k1"
FAULTS_SHOWN = 3
# Just before the listener has waited long enough for the last answers to leave.
NEARLY_CLOSED_MS = 235


@pytest.fixture
def loop(monkeypatch):
    with stepping(monkeypatch) as loop:
        yield loop


# -- events --


def sending(sent: bytes, most: int = 2) -> Callable[[StoppingHost], bool]:
    """Return the event that the first caller sends something, up to some times."""

    def send(host: StoppingHost) -> bool:
        raw = host.sockets[0]
        if raw.is_closed or (raw.read + raw.unread).count(sent) >= most:
            return False
        raw.unread += sent
        return True

    return send


def connect(host: StoppingHost) -> bool:
    if host.raw.is_closed or len(host.sockets) > 1:
        return False
    host.connect(START + READ)
    return True


def turn(host: StoppingHost) -> bool:
    if not host.loop.has_ready:
        return False
    host.loop.turn()
    return True


def signal(host: StoppingHost) -> bool:
    if host.drain.began_at is not None:
        return False
    host.host_shutdown.begin()
    return True


def tick(host: StoppingHost) -> bool:
    if host.drain.began_at is None:
        return False
    host.host_shutdown.go_on()
    return True


def answer(host: StoppingHost) -> bool:
    if all(answer.done() for answer in host.server.running):
        return False
    host.answer()
    return True


def pass_time(host: StoppingHost) -> bool:
    if host.find_next_moment() is None:
        return False
    host.pass_time()
    return True


def freeze(host: StoppingHost) -> bool:
    if host.find_next_moment() is None:
        return False
    host.freeze()
    return True


def wait_for_timer(host: StoppingHost) -> bool:
    """Let time pass to the next timer, which is due in the next turn."""
    return not host.is_gone and host.loop.run_to_timer()


def wait_until_nearly_closed(host: StoppingHost) -> bool:
    nearly_at = host.exiting_at + NEARLY_CLOSED_MS
    if host.is_gone or host.loop.now_ms >= nearly_at:
        return False
    host.loop.run_until(nearly_at)
    return True


def load(host: StoppingHost) -> bool:
    if host.readiness.is_loaded:
        return False
    host.readiness.has_awaited_entry = True
    return True


def withdraw(host: StoppingHost) -> bool:
    if not host.configuration.organisations["a"].keys:
        return False
    host.configuration = make_keys(("a",))
    host.callers.apply(host.configuration)
    return True


STOP = {"turn": turn, "tick": tick, "signal": signal, "answer": answer}
STOP |= {"pass": pass_time}
READS = {"send": sending(READ)}


# -- hosts --


def open_one(loop: SteppedLoop, **fields) -> StoppingHost:
    host = StoppingHost(loop, **fields)
    host.open()
    return host


def change_session(loop: SteppedLoop) -> StoppingHost:
    host = open_one(loop)
    host.ask(host.sockets[0], SET)
    return host


def begin_transaction(loop: SteppedLoop) -> StoppingHost:
    host = open_one(loop)
    host.ask(host.sockets[0], b"QUERY b BEGIN\r\n")
    return host


def fill_gate(loop: SteppedLoop, host: StoppingHost | None = None) -> StoppingHost:
    """Have a second caller's large statement run, so that another has to wait."""
    host = host or open_one(loop, statements=ROOM_FOR_ONE)
    host.connect(START.replace(b"u1", KEY.encode()) + LARGE)
    while loop.has_ready:
        loop.turn()
    assert host.server.running
    assert host.intake.gate.taken
    return host


def open_with_key(loop: SteppedLoop) -> StoppingHost:
    host = StoppingHost(loop, statements=ROOM_FOR_ONE)
    host.configuration = make_keys(("a", KEY))
    host.callers.apply(host.configuration)
    host.open(KEY)
    return host


def start_loading(loop: SteppedLoop) -> StoppingHost:
    host = StoppingHost(loop)
    host.readiness.has_awaited_entry = False
    host.connect(START + READ)
    while loop.has_ready:
        loop.turn()
    return host


def go_to_exit(host: StoppingHost, sent: bytes = b"") -> StoppingHost:
    """Let a stop come to its last answers; the first caller may go on to send."""
    host.host_shutdown.begin()
    last_answer = find_last_answer(host.drain)
    while host.loop.now_ms + TICK_MS < last_answer:
        host.loop.run_until(host.loop.now_ms + TICK_MS)
        host.host_shutdown.go_on()
        if sent:
            host.ask(host.sockets[0], sent)
    host.exiting_at = last_answer
    return host


def check_orders(loop, make, events, depth, least=1) -> None:
    """Check that no order of events has a fault, and that enough of them were run."""
    found, runs = [], 0
    for order, faults in find_faults(loop, lambda: make(loop), events, depth):
        runs += 1
        if faults:
            found.append((order, faults))
    assert not found, (len(found), found[:FAULTS_SHOWN])
    assert runs >= least, runs


# -- the former logic --


def close_idle_by_cancel(self: Callers) -> None:
    for session, task in list(self.sessions.items()):
        if not session.idle:
            continue
        if shutdown.should_abort_transactions(self.drain, callers.read_boot_ms()):
            session.abort_transaction("the host stops")
        if session.should_close():
            task.cancel()


@pytest.mark.parametrize(
    ("make", "statement"), [(open_one, READ), (fill_gate, LARGE)], ids=["idle", "gate"]
)
def test_search_overlooks_the_cuts_of_the_former_logic(
    loop, monkeypatch, make, statement
):
    monkeypatch.setattr(Callers, "close_idle", close_idle_by_cancel)
    events = STOP | {"send": sending(statement)}
    found = list(find_faults(loop, lambda: make(loop), events, 5))
    cut = [order for order, faults in found if "a statement counts as cut" in faults]
    assert ("signal", "pass", "send") in cut


# -- orders --


def test_statement_is_cut_as_an_idle_session_is_closed(loop):
    check_orders(loop, open_one, STOP | READS | {"connect": connect}, 8, 500)


@pytest.mark.parametrize("grace_ms", [600, 2_600, 5_200])
def test_statement_is_cut_in_a_short_grace(loop, grace_ms):
    events = STOP | READS | {"connect": connect}
    check_orders(loop, lambda x: open_one(x, grace_ms=grace_ms), events, 6, 200)


def test_statement_is_cut_after_a_freeze(loop):
    check_orders(loop, open_one, STOP | READS | {"freeze": freeze}, 6, 200)


def test_statement_longer_than_the_grace_is_cut(loop):
    events = STOP | {"read": sending(READ, 1), "write": sending(WRITE, 1)}
    check_orders(loop, lambda x: open_one(x, timeout_ms=9_000), events, 6, 200)


def test_statement_is_cut_after_a_change_of_its_session(loop):
    events = STOP | READS | {"set": sending(SET)}
    check_orders(loop, change_session, events, 6, 200)


def test_statement_is_cut_amid_a_transaction(loop):
    events = STOP | {"write": sending(WRITE, 1), "commit": sending(COMMIT, 1)}
    check_orders(loop, begin_transaction, events, 8, 200)


def test_statement_is_cut_as_its_transaction_has_idled_too_long(loop):
    events = STOP | {"write": sending(WRITE, 1), "timer": wait_for_timer}
    check_orders(loop, begin_transaction, events, 6, 100)


def test_statement_is_cut_as_it_waits_at_the_gate(loop):
    check_orders(loop, fill_gate, STOP | {"send": sending(LARGE)}, 7, 200)


def test_statement_is_dropped_as_its_key_is_withdrawn(loop):
    events = {"turn": turn, "answer": answer, "withdraw": withdraw} | READS
    check_orders(loop, open_with_key, events | {"timer": wait_for_timer}, 6, 100)


def test_statement_at_the_gate_is_dropped_as_its_key_is_withdrawn(loop):
    events = {"turn": turn, "withdraw": withdraw, "timer": wait_for_timer}
    events |= {"send": sending(LARGE, 1), "read": sending(READ, 1), "answer": answer}
    check_orders(loop, lambda x: fill_gate(x, open_with_key(x)), events, 5, 100)


def test_caller_is_cut_as_it_waits_to_be_admitted(loop):
    events = STOP | {"connect": connect, "load": load}
    check_orders(loop, start_loading, events, 6, 100)


@pytest.mark.parametrize(
    ("make", "sent"),
    [(begin_transaction, b""), (change_session, SET)],
    ids=["aborted transaction", "changed session"],
)
def test_statement_is_cut_by_the_exit(loop, make, sent):
    """A session that stays open up to the exit reads on until it is cancelled."""
    events = {"turn": turn, "timer": wait_for_timer, "send": sending(READ, 1)}
    events["nearly closed"] = wait_until_nearly_closed
    check_orders(loop, lambda x: go_to_exit(make(x), sent), events, 9, 5)


def test_part_of_a_line_counts_as_a_statement_that_was_cut(loop):
    events = {"turn": turn, "tick": tick, "signal": signal, "pass": pass_time}
    check_orders(loop, open_one, events | {"send": sending(PART, 1)}, 5, 20)
