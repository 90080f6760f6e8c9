"""Response times of one server's reads, apart from the reads that it sheds.

A read that is shed goes on to another server at once. So a server that sheds load but
answers soon is no reason to leave the data centre; one whose answers come late is.
"""

from dataclasses import dataclass

SMOOTHING = 0.35


@dataclass(kw_only=True, slots=True)
class ServerTimes:
    """Reads of one host at one server.

    Parameters
    ----------
    answered_ms
        Smoothed response time of the reads that were answered, None before any.
    answered_at
        When the last one was answered, in milliseconds since boot.
    shed
        Smoothed share of reads that the server rejected as full.
    size
        Smoothed size of an answer, in bytes.
    """

    answered_ms: float | None = None
    answered_at: int = 0
    shed: float = 0.0
    size: float = 0.0


def observe_answer(times: ServerTimes, took_ms: float, size: int, now: int) -> None:
    """Record an answered read.

    Parameters
    ----------
    times
        Reads at the server; changed in place.
    took_ms
        Response time.
    size
        Size of the answer, in bytes.
    now
        Milliseconds since boot.
    """
    if times.answered_ms is None:
        times.answered_ms, times.size = took_ms, size
    times.answered_ms += SMOOTHING * (took_ms - times.answered_ms)
    times.size += SMOOTHING * (size - times.size)
    times.shed -= SMOOTHING * times.shed
    times.answered_at = now


def observe_full(times: ServerTimes) -> None:
    """Record a read that the server rejected as full."""
    times.shed += SMOOTHING * (1.0 - times.shed)


def find_age(times: ServerTimes, now: int) -> int | None:
    """Return how long ago a read was answered, None without any, in milliseconds."""
    return None if times.answered_ms is None else now - times.answered_at
