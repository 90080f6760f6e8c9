"""Figures of rate limits in the model fleet, for docs/design/rate-limits.md.

``PYTHONPATH=src:. python -m tests.limits.figures [HOSTS ...]``
"""

import sys

from .model import LARGE, TINY, Fleet, make_organisation

START_MS = 20_000
DELAY_MS = 12
MID = make_organisation("mid", 20, 20)
SHORT = make_organisation("short", 184, 18)
ALL = [make_organisation(LARGE, 184, 184), SHORT, MID, make_organisation(TINY, 1, 1)]


def start_fleet(hosts: int, seed: int = 1, organisations=ALL) -> Fleet:
    fleet = Fleet(seed=seed, organisations=organisations, delay_ms=DELAY_MS)
    for number in range(hosts):
        fleet.start(f"h{number}")
    fleet.run_until(START_MS)
    return fleet


def show_service(hosts: int, part: float, seconds: int) -> None:
    """Print what is refused below the limit, and the messages."""
    fleet = start_fleet(hosts)
    before, end = fleet.messages, fleet.now + seconds * 1_000
    for organisation in ALL:
        fleet.drive(organisation.organisation, organisation.rate_per_s * part, end)
    fleet.run_until(end)
    refused = ", ".join(
        f"{o.organisation} {len(fleet.refused[o.organisation])}"
        f"/{fleet.asked[o.organisation]}"
        for o in ALL
    )
    messages = (fleet.messages - before) / seconds
    print(f"{hosts} hosts, {part} of the limits: refused {refused}; {messages:.0f}/s")


def show_idle(hosts: int) -> None:
    fleet = start_fleet(hosts)
    before = fleet.messages
    fleet.run_until(fleet.now + 10_000)
    print(f"{hosts} hosts, no operations: {(fleet.messages - before) / 10:.0f}/s")


def show_excess(hosts: int, seconds: int) -> None:
    """Print what an organisation runs that asks for 6 times its limit."""
    fleet = start_fleet(hosts)
    end = fleet.now + seconds * 1_000
    before = fleet.messages
    for organisation in (LARGE, TINY):
        rate = fleet.organisations[organisation].rate_per_s
        fleet.drive(organisation, 6 * rate, end)
    fleet.run_until(end)
    for organisation in (LARGE, TINY):
        ran = len(fleet.ran[organisation]) / seconds
        room = -fleet.find_excess(organisation)
        print(f"{hosts} hosts, 6 times: {organisation} runs {ran:.2f}/s, ", end="")
        print(f"fullest window {room:.0f} below the bound")
    print(f"{hosts} hosts, 6 times: {(fleet.messages - before) / seconds:.0f}/s")


def show_move(hosts: int) -> None:
    """Print the time until a host gets nine tenths of the rate that moved to it."""
    fleet = start_fleet(hosts)
    one, other = fleet.list_running()[:2]
    moved, end = fleet.now + 10_000, fleet.now + 20_000
    fleet.drive(LARGE, 1_000, end, lambda: one if fleet.now < moved else other)
    fleet.run_until(end)
    times = fleet.by_host[other.name]
    for began in range(moved, end, 50):
        if sum(began <= t < began + 1_000 for t in times) >= 0.9 * 184:
            print(f"{hosts} hosts: demand moved, 90 % after {began - moved} ms")
            return


def show_death(hosts: int, seed: int) -> None:
    """Print for how long operations are refused after the allocator was killed."""
    fleet = start_fleet(hosts, seed)
    end = fleet.now + 15_000
    fleet.drive(LARGE, 90, end)
    fleet.run_until(fleet.now + 5_000)
    killed_at = fleet.now
    fleet.kill(fleet.list_running()[0].limits.choice.home[0])
    fleet.run_until(end)
    refused = fleet.refused[LARGE]
    span = f"{min(refused) - killed_at} to {max(refused) - killed_at} ms after it"
    print(f"{hosts} hosts, allocator killed, half the limit: {len(refused)}, {span}")


def main() -> None:
    for hosts in [int(text) for text in sys.argv[1:]] or [6, 86]:
        show_idle(hosts)
        for part in (0.1, 0.5, 0.9):
            show_service(hosts, part, 30)
        show_excess(hosts, 60)
        show_move(hosts)
        for seed in (1, 2, 3):
            show_death(hosts, seed)


if __name__ == "__main__":
    main()
