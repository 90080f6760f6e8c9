"""Seeded faults on a model fleet whose organisations ask for 6 times their limits."""

from random import Random

from .model import LARGE, TINY, Fleet, make_organisation

MAX_HOSTS = 24
EXCESS_FACTOR = 6


def play_faults(seed: int, seconds: int) -> tuple[Fleet, float]:
    """Play random faults; return the fleet and the largest sum of shares seen."""
    rng = Random(seed)
    large = make_organisation(LARGE, 184, rng.choice([1, 18, 184]))
    tiny = make_organisation(TINY, 1, 1)
    delay_ms = rng.choice([1, 3, 24])
    fleet = Fleet(seed=seed, organisations=[large, tiny], delay_ms=delay_ms)
    spread_ms = rng.choice([1, 6_000])
    for number in range(rng.choice([1, 2, 3, 4, 6, 9, 12])):
        at = rng.randrange(spread_ms)
        fleet.at(at, None, lambda name=f"h{number}": fleet.start(name))
    fleet.loss = rng.choice([0, 0, 0.02, 0.2])
    fleet.late = rng.choice([0, 0, 0.01, 0.1])
    fleet.run_until(rng.choice([0, 3_000, 25_000]))
    end = seconds * 1_000
    demand = _Demand(fleet, rng)
    fleet.drive(LARGE, 184 * EXCESS_FACTOR, end, demand.choose)
    fleet.drive(TINY, EXCESS_FACTOR, end, demand.choose)
    largest = 0.0
    while fleet.now < end:
        step_ms = int(rng.expovariate(1 / 1_200)) + 1
        fleet.run_until(min(end, fleet.now + step_ms))
        _disturb(fleet, rng, demand)
        largest = max(largest, fleet.sum_shares())
    return fleet, largest


class _Demand:
    """Clients that prefer one host, which changes."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.preferred = 0

    def choose(self):
        running = self.fleet.list_running()
        if not running:
            return None
        if self.preferred and self.rng.random() < 0.7:
            return running[self.preferred % len(running)]
        return self.rng.choice(running)


def _disturb(fleet: Fleet, rng: Random, demand: _Demand) -> None:
    names = list(fleet.processes)
    running = [p.name for p in fleet.list_running()]
    actions = [_cut_hosts, _cut_hosts, _join_hosts, _join_hosts, _cut_store]
    actions += [_join_store, _move]
    actions += [_restart, _add] if names else []
    actions += [_kill, _freeze, _remove] if running else []
    rng.choice(actions)(fleet, rng, demand, names, running)


def _kill(fleet, rng, demand, names, running):
    fleet.kill(rng.choice(running))


def _restart(fleet, rng, demand, names, running):
    fleet.start(rng.choice(names))


def _add(fleet, rng, demand, names, running):
    if len(names) < MAX_HOSTS:
        for number in range(rng.choice([1, 1, 2, 6])):
            fleet.start(f"h{MAX_HOSTS + len(names) + number}")


def _freeze(fleet, rng, demand, names, running):
    fleet.freeze(rng.choice(running), rng.choice([200, 700, 1_500, 3_000, 9_000]))


def _remove(fleet, rng, demand, names, running):
    if rng.random() < 0.5:
        fleet.remove(rng.choice(running))


def _cut_hosts(fleet, rng, demand, names, running):
    sides = rng.choice([2, 2, 3])
    fleet.sides.update({name: rng.randrange(sides) for name in names})


def _join_hosts(fleet, rng, demand, names, running):
    fleet.sides.update(dict.fromkeys(names, 0))


def _cut_store(fleet, rng, demand, names, running):
    part = rng.choice([0.3, 0.6, 1])
    fleet.store_cut = {name for name in names if rng.random() < part}


def _join_store(fleet, rng, demand, names, running):
    fleet.store_cut = set()


def _move(fleet, rng, demand, names, running):
    demand.preferred = rng.randrange(MAX_HOSTS)
    if rng.random() < 0.15:
        fleet.restore_store()
