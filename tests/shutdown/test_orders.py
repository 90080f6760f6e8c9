"""Orders of statements, turns of the event loop and the phases of a stop."""

import pytest

from .order_search import find_faults
from .stopping_host import StoppingHost, stepping

START = b"STARTUP shop u1\r\n"
READ = b"QUERY r READ k\r\n"
MOST_STATEMENTS = 2


@pytest.fixture
def loop(monkeypatch):
    with stepping(monkeypatch) as loop:
        yield loop


def send(host: StoppingHost, statement: bytes = READ) -> bool:
    raw = host.sockets[0]
    sent = len(raw.unread) + len(raw.read)
    if raw.is_closed or sent > len(START) + MOST_STATEMENTS * len(statement):
        return False
    raw.unread += statement
    return True


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
    if not host.server.running:
        return False
    host.answer()
    return True


def pass_time(host: StoppingHost) -> bool:
    if host.find_next_moment() is None:
        return False
    host.pass_time()
    return True


EVENTS = {
    "send": send,
    "connect": connect,
    "turn": turn,
    "tick": tick,
    "signal": signal,
    "answer": answer,
    "pass": pass_time,
}


def open_one(loop):
    host = StoppingHost(loop)
    host.open()
    return host


def test_statement_of_a_stopping_host_is_cut(loop):
    import time

    began = time.time()
    n = 0
    bad = {}
    for order, faults in find_faults(loop, lambda: open_one(loop), EVENTS, 6):
        n += 1
        if faults:
            bad.setdefault(tuple(faults), order)
    print(n, time.time() - began)
    for f, o in bad.items():
        print(f, o)
    assert not bad
