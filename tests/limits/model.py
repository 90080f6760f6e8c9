"""Model of a fleet under rate limits: virtual time, lossy links, a stale store.

Clocks of hosts differ. A frozen host handles what came meanwhile when it goes on. A
killed host's entry stays in the store. Nothing of it runs in real time.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId, OrganisationId, StoreEra
from apricotshore.limits import (
    Admitted,
    HostLimits,
    LimitSettings,
    derive_budgets,
    host_limits,
    measure_share,
)
from apricotshore.limits.allocator import list_missing, observe_ended
from apricotshore.limits.budget import find_bound
from apricotshore.limits.host_limits import Ask
from apricotshore.limits.messages import TokensReply
from apricotshore.routes import Organisation

SETTINGS = LimitSettings(window_ms=5_000, excess=0.1, slack=20)
TIMEOUT_MS = 150
WAIT_MS = 150
STALE_MS = 5_000
LIST_PERIOD_MS = 12_000
FIRST_LIST_PERIOD_MS = 3_000
LARGE = OrganisationId("large")
TINY = OrganisationId("tiny")


def make_organisation(name: str, rate: int, burst: int) -> Organisation:
    return Organisation(organisation=OrganisationId(name), rate_per_s=rate, burst=burst)


@dataclass(kw_only=True, eq=False)
class Process:
    """One process of a host."""

    name: HostId
    limits: HostLimits
    offset: int
    alive: bool = True
    frozen_until: int = 0
    flight: int = 0
    in_flight: bool = False
    waiters: list[tuple[OrganisationId, int]] = field(default_factory=list)
    lists: int = 0


class Fleet:
    """Hosts, links between them, the store's list of hosts, and clients' operations."""

    def __init__(
        self, *, seed: int, organisations: list[Organisation], delay_ms: int = 1
    ) -> None:
        self.rng = Random(seed)
        self.organisations = {o.organisation: o for o in organisations}
        self.delay_ms = delay_ms
        self.now = 0
        self.events: list[tuple[int, int, Process | None, Callable[[], None]]] = []
        self.serial = 0
        self.processes: dict[HostId, Process] = {}
        # Store: its list after each change.
        self.lists: list[tuple[int, dict[HostId, ListedHost]]] = [(-STALE_MS, {})]
        self.era = 1
        self.sides: dict[HostId, int] = defaultdict(int)
        self.store_cut: set[HostId] = set()
        self.loss = 0.0
        self.late = 0.0
        self.ran: dict[OrganisationId, list[int]] = defaultdict(list)
        self.asked: Counter[OrganisationId] = Counter()
        self.refused: dict[OrganisationId, list[int]] = defaultdict(list)
        self.retries: list[int] = []
        self.messages = 0
        self.by_host: dict[HostId, list[int]] = defaultdict(list)

    # -- time --

    def at(self, time: int, process: Process | None, work: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.events, (time, self.serial, process, work))

    def run_until(self, end: int) -> None:
        while self.events and self.events[0][0] <= end:
            time, serial, process, work = heapq.heappop(self.events)
            self.now = max(self.now, time)
            if process is not None and not process.alive:
                continue
            if process is not None and process.frozen_until > self.now:
                again = (process.frozen_until, serial, process, work)
                heapq.heappush(self.events, again)
                continue
            work()
        self.now = end

    # -- the store --

    def write_list(self, change: dict[HostId, ListedHost | None]) -> None:
        listed = {**self.lists[-1][1], **{h: e for h, e in change.items() if e}}
        for host, entry in change.items():
            if entry is None:
                listed.pop(host, None)
        self.lists.append((self.now, listed))

    def restore_store(self) -> None:
        """Lose all entries; hosts with access to the store write theirs again."""
        self.era += 1
        self.lists = [(self.now - STALE_MS, {})]
        for process in self.processes.values():
            self.at(
                self.now + self.rng.randrange(500, 4_000),
                process,
                lambda p=process: self._rewrite(p),
            )

    def _rewrite(self, process: Process) -> None:
        if process.name in self.store_cut:
            self.at(self.now + 1_000, process, lambda: self._rewrite(process))
            return
        self.write_list({process.name: _make_entry(process)})

    def _read_list(self, process: Process) -> None:
        if process.name not in self.store_cut:
            as_of = self.now - self.rng.randrange(STALE_MS)
            hosts = next(
                (e for t, e in reversed(self.lists) if t <= as_of), self.lists[0][1]
            )
            host_limits.update_hosts(
                process.limits, hosts.values(), StoreEra(self.era), self._clock(process)
            )
            process.lists += 1
        listed = process.limits.roster.is_listed
        first = process.lists <= 4 or not listed
        period = FIRST_LIST_PERIOD_MS if first else LIST_PERIOD_MS
        self.at(self.now + period, process, lambda: self._read_list(process))

    # -- hosts --

    def _clock(self, process: Process) -> int:
        return self.now + process.offset

    def start(self, name: str) -> None:
        """Start a host, or start it again."""
        host = HostId(name)
        before = self.processes.get(host)
        if before is not None:
            before.alive = False
        offset = before.offset if before else self.rng.randrange(10**6)
        process = Process(
            name=host,
            limits=HostLimits(
                host=host,
                process=self.rng.getrandbits(40) | 1,
                started_at=self.now + offset,
                budgets=derive_budgets(self.organisations, SETTINGS),
            ),
            offset=offset,
        )
        self.processes[host] = process
        self._rewrite(process)
        self._read_list(process)
        self._report(process)
        self._probe(process)

    def kill(self, name: str) -> None:
        self.processes[HostId(name)].alive = False

    def freeze(self, name: str, ms: int) -> None:
        self.processes[HostId(name)].frozen_until = self.now + ms

    def remove(self, name: str) -> None:
        """End a host that takes its entry out of the store."""
        self.kill(name)
        self.write_list({HostId(name): None})

    def list_running(self) -> list[Process]:
        return [p for p in self.processes.values() if p.alive]

    # -- requests --

    def _report(self, process: Process) -> None:
        if not process.in_flight:
            self._send(process)
        interval = process.limits.interval_ms
        self.at(self.now + interval, process, lambda: self._report(process))

    def _send(self, process: Process) -> None:
        ask = host_limits.make_ask(process.limits, self._clock(process))
        process.in_flight = True
        process.flight += 1
        flight = process.flight
        if ask.allocator == process.name:
            reply = self._answer(process, ask)
            self._finish(process, ask, flight, reply)
            return
        self.messages += 1
        self.at(
            self.now + TIMEOUT_MS, process, lambda: self._fail(process, ask, flight)
        )
        target = self.processes.get(ask.allocator)
        if target is not None and self._is_linked(process, target):
            self.at(
                self.now + self._draw_delay(),
                target,
                lambda: self._arrive(process, target, ask, flight),
            )

    def _is_linked(self, one: Process, other: Process) -> bool:
        same = self.sides[one.name] == self.sides[other.name]
        return same and self.rng.random() >= self.loss

    def _draw_delay(self) -> int:
        if self.rng.random() < self.late:
            return self.rng.randrange(4_000)
        return self.rng.randrange(self.delay_ms + 1)

    def _answer(self, target: Process, ask: Ask) -> TokensReply:
        return host_limits.make_reply(target.limits, ask.request, self._clock(target))

    def _arrive(self, process: Process, target: Process, ask: Ask, flight: int) -> None:
        reply = self._answer(target, ask)
        if self._is_linked(process, target):
            self.messages += 1
            self.at(
                self.now + self._draw_delay(),
                process,
                lambda: self._finish(process, ask, flight, reply),
            )

    def _fail(self, process: Process, ask: Ask, flight: int) -> None:
        if not process.in_flight or flight != process.flight:
            return
        process.in_flight = False
        host_limits.take_failure(process.limits, ask, self._clock(process))
        self._serve_waiters(process)
        self._send(process)

    def _finish(
        self, process: Process, ask: Ask, flight: int, reply: TokensReply
    ) -> None:
        if not process.in_flight or flight != process.flight:
            return
        process.in_flight = False
        again = host_limits.take_reply(process.limits, ask, reply, self._clock(process))
        self._serve_waiters(process)
        if again or process.waiters:
            self._send(process)

    def _probe(self, process: Process) -> None:
        """Ask missing hosts whether their processes have ended."""
        limits, now = process.limits, self._clock(process)
        if limits.allocator.share:
            for host in list_missing(limits.allocator, limits.roster, now):
                target = self.processes.get(host)
                if target and not target.alive and self._is_linked(process, target):
                    observe_ended(limits.allocator, host, now, limits.validity_ms)
        pause = limits.interval_ms
        self.at(self.now + pause, process, lambda: self._probe(process))

    # -- operations --

    def operate(self, process: Process, organisation: OrganisationId) -> None:
        """Have an operation of an organisation arrive at a host."""
        self.at(self.now, process, lambda: self._operate(process, organisation))

    def _operate(self, process: Process, organisation: OrganisationId) -> None:
        now = self._clock(process)
        self.asked[organisation] += 1
        verdict = host_limits.try_admit(process.limits, organisation, now)
        if verdict is not None:
            self._end(process, organisation, verdict)
            return
        host_limits.change_waiting(process.limits, organisation, 1, now)
        waiter = (organisation, self.now + WAIT_MS)
        process.waiters.append(waiter)
        self.at(waiter[1], process, lambda: self._give_up(process, waiter))
        if not process.in_flight:
            self._send(process)

    def _serve_waiters(self, process: Process) -> None:
        now = self._clock(process)
        for waiter in list(process.waiters):
            verdict = host_limits.try_take(process.limits, waiter[0], now)
            if verdict is not None:
                self._stop_waiting(process, waiter)
                self._end(process, waiter[0], verdict)

    def _give_up(self, process: Process, waiter: tuple[OrganisationId, int]) -> None:
        if waiter in process.waiters:
            self._stop_waiting(process, waiter)
            now = self._clock(process)
            refusal = host_limits.refuse_now(process.limits, waiter[0], now)
            self._end(process, waiter[0], refusal)

    def _stop_waiting(
        self, process: Process, waiter: tuple[OrganisationId, int]
    ) -> None:
        process.waiters.remove(waiter)
        now = self._clock(process)
        host_limits.change_waiting(process.limits, waiter[0], -1, now)

    def _end(
        self, process: Process, organisation: OrganisationId, verdict: object
    ) -> None:
        if isinstance(verdict, Admitted):
            self.ran[organisation].append(self.now)
            self.by_host[process.name].append(self.now)
        else:
            self.refused[organisation].append(self.now)
            self.retries.append(verdict.retry_ms)

    def drive(
        self,
        organisation: OrganisationId,
        rate_per_s: float,
        until: int,
        choose: Callable[[], Process | None] | None = None,
    ) -> None:
        """Have operations arrive at random until a time."""

        def arrive() -> None:
            process = choose() if choose else self._choose_running()
            if process is not None:
                self._operate(process, organisation)
            follow()

        def follow() -> None:
            at = self.now + max(1, round(self.rng.expovariate(rate_per_s / 1000)))
            if at < until:
                self.at(at, None, arrive)

        follow()

    def _choose_running(self) -> Process | None:
        running = [p for p in self.list_running() if p.frozen_until <= self.now]
        return self.rng.choice(running) if running else None

    # -- checks --

    def find_excess(self, organisation: OrganisationId) -> float:
        """Return by how much the fullest window exceeds the bound, negative if none."""
        times = self.ran[organisation]
        bound = find_bound(self.organisations[organisation], SETTINGS)
        first, fullest = 0, 0
        for last, time in enumerate(times):
            while times[first] <= time - SETTINGS.window_ms:
                first += 1
            fullest = max(fullest, last - first + 1)
        return fullest - bound

    def sum_shares(self) -> float:
        """Return the sum of the shares of all allocators, as they stand now."""
        total = 0.0
        for process in self.list_running():
            limits, now = process.limits, self._clock(process)
            total += measure_share(limits.allocator, limits.roster, now)
        return total


def _make_entry(process: Process) -> ListedHost:
    return ListedHost(
        host=process.name,
        data_centre=DataCentreId("a"),
        address=process.name,
        process=process.limits.process,
    )
