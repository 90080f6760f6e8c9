"""Model of hosts and servers in three regions: ``python -m tests.spillovermodel``."""

import heapq
import itertools
import random
import statistics
from collections import Counter
from dataclasses import dataclass, field

from apricotshore import spillover
from apricotshore.decisions import placement, wait_queue
from apricotshore.decisions.placement import Distance, ServerLoad
from apricotshore.identifiers import ServerId
from apricotshore.spillover import Candidate, Prices, ServerTimes, Shares

REGIONS, HOSTS, SLOTS, QUEUE = 3, 30, 5, 24
RATE_PER_S, RUN_MS = 100, 16_000
CREST_MS = range(4_000, 9_000)
ONE_WAY_MS = (0.1, 12.0)
ANSWER_BYTES, OBJECTIVE_MS, PAUSE_MS = 2_048, 400, 20
SCENES = ("calm", "crest", "sheds", "one data centre")


@dataclass(kw_only=True)
class Server:
    """A server whose slots take reads from a queue of limited length."""

    shed: float
    limit: int
    slots: list[float] = field(default_factory=lambda: [0.0] * SLOTS)
    queued: list[float] = field(default_factory=list)

    def take(self, now: float, chance: random.Random) -> float | None:
        """Return when a read is answered, None when it is shed."""
        self.queued = [begins for begins in self.queued if begins > now]
        if chance.random() < self.shed or len(self.queued) >= self.limit:
            return None
        begins = max(now, heapq.heappop(self.slots))
        self.queued.append(begins)
        ends = begins + chance.uniform(8, 40)
        heapq.heappush(self.slots, ends)
        return ends


@dataclass(kw_only=True)
class Host:
    """A host in one region."""

    region: int
    candidates: list[Candidate]
    shares: Shares = field(default_factory=Shares)

    def rank(self, policy: str, prices: Prices, now: int) -> list[Candidate]:
        if policy == "today":
            loads = [candidate.load for candidate in self.candidates]
            order = placement.rank_readers(loads, None, now)
            by_server = {c.load.server: c for c in self.candidates}
            return [by_server[load.server] for load in order]
        tiers = spillover.list_tiers(self.candidates, None, now)
        spillover.update(self.shares, tiers, OBJECTIVE_MS, prices, now)
        return spillover.rank_readers(self.shares, self.candidates, tiers, None, now)


@dataclass(kw_only=True)
class Result:
    """What callers got, and what left the data centre."""

    took_ms: list[float] = field(default_factory=list)
    refused: int = 0
    left_bytes: int = 0
    # Reads that left the data centre, by half seconds.
    left: Counter[int] = field(default_factory=Counter)

    @property
    def in_time(self) -> float:
        within = sum(took <= OBJECTIVE_MS for took in self.took_ms)
        return within / (len(self.took_ms) + self.refused)

    @property
    def swing(self) -> float:
        """Mean change of the reads that leave, from one half second to the next."""
        left = [self.left[half] for half in range(RUN_MS // 500)]
        return statistics.mean(abs(b - a) for a, b in itertools.pairwise(left))

    @property
    def mean_ms(self) -> float:
        return sum(self.took_ms) / len(self.took_ms)


def make_host(number: int) -> Host:
    region = number % REGIONS
    candidates = [
        Candidate(
            load=ServerLoad(
                server=ServerId(f"s{other}"),
                distance=Distance.SAME_DATA_CENTRE if other == region
                else Distance.REMOTE,
                slots=SLOTS,
            ),
            times=ServerTimes(),
        )
        for other in range(REGIONS)
    ]  # fmt: skip
    return Host(region=region, candidates=candidates)


def list_arrivals(scene: str, chance: random.Random) -> list[tuple[float, int]]:
    """Return when reads arrive and at which hosts."""
    arrivals = []
    for region in range(REGIONS):
        now = 0.0
        while now < RUN_MS:
            is_crest = scene == "crest" and region == 0 and int(now) in CREST_MS
            now += chance.expovariate(RATE_PER_S * (2.5 if is_crest else 1) / 1_000)
            home = 0 if scene == "one data centre" else region
            host = chance.randrange(HOSTS // REGIONS) * REGIONS + home
            arrivals.append((now, host))
    return arrivals


def play(
    policy: str, scene: str, prices: Prices, seed: int = 1, queue: int = QUEUE
) -> Result:
    """Play reads until all are answered or refused."""
    chance = random.Random(seed)
    hosts = [make_host(number) for number in range(HOSTS)]
    servers = [
        Server(shed=0.5 * (scene == "sheds" and s == 0), limit=queue)
        for s in range(REGIONS)
    ]
    result = Result()
    events: list[tuple[float, int, str, tuple]] = []

    def push(at: float, what: str, *details) -> None:
        heapq.heappush(events, (at, next(numbers), what, details))

    numbers = itertools.count()
    for at, host in list_arrivals(scene, chance):
        push(at, "offer", hosts[host], at, [])

    def offer(now: float, host: Host, began: float, left: list[Candidate]) -> None:
        order = left or host.rank(policy, prices, int(now))
        candidate, rest = order[0], order[1:]
        is_far = candidate.load.distance is not Distance.SAME_DATA_CENTRE
        candidate.load.outstanding += 1
        result.left_bytes += is_far * 200
        push(now + ONE_WAY_MS[is_far], "arrive", host, began, candidate, rest, now)

    def arrive(now, host, began, candidate, rest, sent) -> None:
        is_far = candidate.load.distance is not Distance.SAME_DATA_CENTRE
        ends = servers[int(candidate.load.server[1:])].take(now, chance)
        back = (now if ends is None else ends) + ONE_WAY_MS[is_far]
        result.left_bytes += is_far * (ANSWER_BYTES if ends is not None else 100)
        result.left[int(began) // 500] += is_far and ends is not None
        push(back, "answer", host, began, candidate, rest, sent, ends is None)

    def answer(now, host, began, candidate, rest, sent, is_shed) -> None:
        candidate.load.outstanding -= 1
        placement.observe_answer(candidate.load, now - sent, int(now))
        if not is_shed:
            times = candidate.times
            spillover.observe_answer(times, now - sent, ANSWER_BYTES, int(now))
            result.took_ms.append(now - began)
            return
        placement.observe_full(candidate.load, int(now))
        spillover.observe_full(candidate.times)
        if rest:
            offer(now, host, began, rest)
        elif now - began >= wait_queue.limit_retries(OBJECTIVE_MS, 10_000):
            result.refused += 1
        else:
            push(now + PAUSE_MS, "offer", host, began, [])

    handlers = {"offer": offer, "arrive": arrive, "answer": answer}
    while events:
        now, _, what, details = heapq.heappop(events)
        handlers[what](now, *details)
    return result


def main() -> None:
    """Print what callers get and what leaves, for each scene and queue of a server."""
    variants = [("today", Prices())]
    for hop, kib in ((0, 0), (10, 2), (50, 10), (200, 40)):
        prices = Prices(hop_ms=hop, kib_ms=kib)
        variants.append((f"hop {hop}, KiB {kib}", prices))
    for scene, queue in itertools.product(SCENES, (QUEUE, 4 * QUEUE)):
        for name, prices in variants:
            runs = [play(name, scene, prices, seed, queue) for seed in (1, 2, 3)]
            means = [
                statistics.mean(values)
                for values in zip(
                    *((r.in_time, r.mean_ms, r.left_bytes / 1_024, r.swing, r.refused)
                    for r in runs), strict=True
                )
            ]  # fmt: skip
            print(f"{scene:16}{queue:3} {name:17}", end="")
            print("{:.4f} in time {:6.1f} ms {:6.0f} KiB, swing {:4.1f}, refused {:.0f}"
                  .format(*means))  # fmt: skip


if __name__ == "__main__":
    main()
