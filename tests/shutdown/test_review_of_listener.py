"""The listener's stop beside callers that send nothing whole, found in a review."""

from .test_listener import LONG_WITHIN_S, listening, measure


async def test_half_a_start_holds_the_stop_of_an_idle_host():
    """One silent connection kept a process without sessions up to the flush's end."""
    async with listening() as bed:
        bed.connect(b"STARTUP sh")
        began = measure()
        await bed.listener.stop(LONG_WITHIN_S)
        assert measure() - began < 1
