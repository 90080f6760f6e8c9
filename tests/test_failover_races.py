"""Two coordinators compete in a model group: no acknowledged write is lost."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from apricotshore.decisions import failover
from apricotshore.decisions.failover import (
    Failover,
    Fence,
    FenceAnswer,
    Follow,
    Promote,
    PromoteAnswer,
)
from apricotshore.decisions.routing import (
    GroupView,
    observe_silence,
    observe_status,
)
from apricotshore.groups import LogPosition, Role, ServerStatus, TermHistory

SERVERS = ("s1", "s2", "s3")
DRIVERS = (0, 1)
LONG_MS = failover.DETECT_MS + 100


@dataclass
class FakeServer:
    """A server's durable state: term, vote and log of (term, entry)."""

    name: str
    role: Role = Role.REPLICA
    term: int = 1
    votes: dict = field(default_factory=dict)
    log: list = field(default_factory=list)
    following: str = "s1"
    acked: dict = field(default_factory=dict)

    def status(self):
        last = self.log[-1][0] if self.log else 0
        starts = []
        for position, (term, _) in enumerate(self.log, start=1):
            if not starts or starts[-1].term != term:
                starts.append(LogPosition(term=term, position=position))
        return ServerStatus(
            server=self.name,
            role=self.role,
            term=self.term,
            end=LogPosition(term=last, position=len(self.log)),
            applied=0,
            term_history=TermHistory(starts=tuple(starts)),
            contact_ms=LONG_MS,
        )

    def fence(self, term, driver):
        granted = term > self.term or (
            term == self.term and self.votes.get(term) == driver
        )
        if granted and term > self.term:
            self.votes[term] = driver
            self.term = term
            self.following = ""
            if self.role is Role.PRIMARY:
                self.role = Role.FENCED
        last = self.log[-1][0] if self.log else 0
        end = LogPosition(term=last, position=len(self.log))
        return FenceAnswer(server=self.name, granted=granted, term=self.term, end=end)

    def promote(self, term, driver):
        done = term == self.term and self.votes.get(term) == driver
        if done and self.role is not Role.PRIMARY:
            self.role = Role.PRIMARY
            self.acked = {}
        return PromoteAnswer(server=self.name, term=term, done=done)

    def follow(self, term, primary):
        if term < self.term or (term == self.term and self.role is Role.PRIMARY):
            return
        if term > self.term and self.role is Role.PRIMARY:
            self.role = Role.FENCED
        self.term = term
        self.following = primary


class RacingDrivers(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.servers = {name: FakeServer(name=name) for name in SERVERS}
        self.servers["s1"].role = Role.PRIMARY
        self.views = [GroupView(members=SERVERS) for _ in DRIVERS]
        self.states = [Failover() for _ in DRIVERS]
        self.flights = []
        self.now = 0
        self.next_entry = 0
        self.acknowledged = {}
        self.promoted = []

    # Writes and replication.

    @rule(server=st.sampled_from(SERVERS))
    def write(self, server):
        primary = self.servers[server]
        if primary.role is Role.PRIMARY:
            self.next_entry += 1
            primary.log.append((primary.term, self.next_entry))

    @rule(source=st.sampled_from(SERVERS), replica_name=st.sampled_from(SERVERS))
    def replicate(self, source, replica_name):
        primary, replica = self.servers[source], self.servers[replica_name]
        if primary.role is not Role.PRIMARY or source == replica_name:
            return
        if replica.following != source or replica.term != primary.term:
            return
        replica.role = Role.REPLICA
        replica.log = list(primary.log)
        primary.acked[replica_name] = len(primary.log)
        ends = sorted([len(primary.log), *primary.acked.values()], reverse=True)
        if len(ends) < 2:
            return
        end = ends[1]
        if end and primary.log[end - 1][0] == primary.term:
            for position, entry in enumerate(primary.log[:end], start=1):
                self.acknowledged[entry] = position

    @rule(source=st.sampled_from(SERVERS), replica_name=st.sampled_from(SERVERS))
    def write_and_replicate(self, source, replica_name):
        self.write(source)
        self.replicate(source, replica_name)

    # Coordinators.

    @rule(driver=st.sampled_from(DRIVERS), hidden=st.sampled_from(SERVERS))
    def change_primary(self, driver, hidden):
        """Run a complete failover while one server is unreachable."""
        self.now += failover.SETTLE_MS + failover.MAX_BACKOFF_MS
        view, state = self.views[driver], self.states[driver]
        for server in SERVERS:
            if server == hidden:
                observe_silence(view, server)
            else:
                self.observe(driver, server)
        acts = failover.tick(state, view, self.now)
        for step_ms in (0, failover.FENCE_GRACE_MS + 1, 1):
            acts = self.answer_reachable(driver, acts, hidden)
            self.now += step_ms
            acts += failover.tick(state, view, self.now)
        self.answer_reachable(driver, acts, hidden)

    def answer_reachable(self, driver, acts, hidden):
        more = []
        for act in acts:
            if isinstance(act, Fence | Promote | Follow):
                if act.server == hidden:
                    self.flights.append((driver, act))
                    continue
                before = len(self.flights)
                self.flights.append((driver, act))
                self.deliver(before, False, True)
                more += [a for d, a in self.flights[before:] if d == driver]
                del self.flights[before:]
        return more

    @rule(driver=st.sampled_from(DRIVERS), server=st.sampled_from(SERVERS))
    def observe(self, driver, server):
        view = self.views[driver]
        observe_status(view, self.servers[server].status(), self.now)

    @rule(driver=st.sampled_from(DRIVERS), server=st.sampled_from(SERVERS))
    def lose_sight(self, driver, server):
        observe_silence(self.views[driver], server)

    @rule(driver=st.sampled_from(DRIVERS))
    def tick(self, driver):
        acts = failover.tick(self.states[driver], self.views[driver], self.now)
        self.send(driver, acts)

    @rule(driver=st.sampled_from(DRIVERS))
    def observe_all_and_tick(self, driver):
        for server in SERVERS:
            self.observe(driver, server)
        self.tick(driver)

    @rule(milliseconds=st.sampled_from([20, 200, 1000]))
    def wait(self, milliseconds):
        self.now += milliseconds

    def send(self, driver, acts):
        for act in acts:
            if isinstance(act, Fence | Promote | Follow):
                self.flights.append((driver, act))

    @rule(index=st.integers(0, 30), keep=st.booleans(), answer=st.booleans())
    def deliver(self, index, keep, answer):
        """Deliver a message, possibly out of order, twice or without an answer."""
        if not self.flights:
            return
        index %= len(self.flights)
        driver, act = self.flights[index]
        if not keep:
            del self.flights[index]
        server = self.servers[act.server]
        state, view = self.states[driver], self.views[driver]
        if isinstance(act, Fence):
            message = server.fence(act.term, driver)
            if answer:
                acts = failover.handle_fence_answer(state, view, message, self.now)
                self.send(driver, acts)
        elif isinstance(act, Promote):
            message = server.promote(act.term, driver)
            if message.done:
                self.promoted.append((act.term, act.server, tuple(server.log)))
            if answer:
                acts = failover.handle_promote_answer(state, view, message, self.now)
                self.send(driver, acts)
        else:
            server.follow(act.term, act.primary)

    @rule()
    def deliver_everything(self):
        for _ in range(len(self.flights)):
            self.deliver(0, False, True)

    # Invariants.

    @invariant()
    def one_primary_per_term(self):
        seen = {}
        for term, server, _ in self.promoted:
            assert seen.setdefault(term, server) == server

    @invariant()
    def acknowledged_writes_survive(self):
        leaders = [s for s in self.servers.values() if s.role is Role.PRIMARY]
        if not leaders:
            return
        newest = max(leaders, key=lambda s: s.term)
        entries = set(newest.log)
        highest = max((term for term, _ in self.acknowledged), default=0)
        if newest.term >= highest:
            assert self.acknowledged.keys() <= entries


TestRacingDrivers = RacingDrivers.TestCase
TestRacingDrivers.settings = settings(
    max_examples=300, stateful_step_count=80, deadline=None, derandomize=True
)
