"""A caller that has sent a part of a line, as its host stops, found in a review."""

import pytest

from apricotshore.shutdown import BALANCER_DELAY_MS

from .stopping_host import StoppingHost, stepping

PART = b"QUERY p RE"


@pytest.fixture
def loop(monkeypatch):
    with stepping(monkeypatch) as loop:
        yield loop


def measure_stop(host: StoppingHost) -> int:
    """Stop a host and return how long it took, in milliseconds."""
    host.finish()
    return host.loop.now_ms - host.drain.began_at


def test_part_of_a_statement_holds_a_host_without_work(loop):
    """An idle session with a few bytes kept its host up to nine tenths of the grace."""
    host = StoppingHost(loop)
    raw = host.open()
    host.ask(raw, b"QUERY r READ k\r\n")
    raw.unread += PART
    assert measure_stop(host) < BALANCER_DELAY_MS + 1_000


def test_part_of_a_start_holds_a_host_without_work(loop):
    """A connection that never started kept its host up to the end of the flush."""
    host = StoppingHost(loop)
    host.connect(b"STARTUP sh")
    assert measure_stop(host) < BALANCER_DELAY_MS + 1_000
