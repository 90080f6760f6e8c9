"""Random numbers that tell the processes of one host apart."""

from random import SystemRandom

PROCESS_BITS = 48


def draw_process() -> int:
    """Return a random number for a process, other than 0."""
    return SystemRandom().getrandbits(PROCESS_BITS) | 1
