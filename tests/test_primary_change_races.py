"""Two hosts change the primary of a model group: no acknowledged write is lost.

A requested promotion may take effect at any later time unless the platform saw a
newer fencing token. Servers crash, restart, are partitioned or restart without
their log, and a host may stop at any step.
"""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from apricotshore.decisions import change_attempt, lease, primary_change
from apricotshore.decisions.change_actions import (
    Abandon,
    AskOthers,
    Hold,
    ListServers,
    Pause,
    Promote,
    Quiesce,
    RecordTarget,
    RequestStatus,
    Seal,
    Secure,
    StepDown,
)
from apricotshore.decisions.change_attempt import Attempt, BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus
from apricotshore.decisions.commit_barrier import SEAL_MS, UNCONFIRMED_MS
from apricotshore.decisions.position_history import PositionSample
from apricotshore.groups import LogPosition
from apricotshore.identifiers import HostId, Position, ServerId, Term

from .changemodel import read_lost_end

SERVERS = tuple(ServerId(f"s{n}") for n in (1, 2, 3))
STEP_MS = 50


@dataclass
class Server:
    """A server's log, role and pause."""

    name: ServerId
    log: list[tuple[int, int]] = field(default_factory=list)
    is_primary: bool = False
    paused: int = 0
    up: bool = True
    partitioned: bool = False

    def read(self, term: int, now: int) -> MemberStatus:
        last = self.log[-1][0] if self.log else 0
        return MemberStatus(
            log_position=LogPosition(term=Term(last), position=Position(len(self.log))),
            term=Term(term),
            paused_term=Term(self.paused),
            is_primary=self.is_primary,
        )


@dataclass
class LeaseHost:
    """A host that may hold the lease."""

    attempt: Attempt | None = None
    token: int = 0
    sample: PositionSample | None = None


class PrimaryChangeRace(RuleBasedStateMachine):
    """Group, platform and two hosts."""

    # Whether all hosts confirm that they have no connection to a former primary.
    all_confirm = False

    def __init__(self):
        super().__init__()
        self.sealed: dict[ServerId, int] = {}
        self.servers = {name: Server(name=name) for name in SERVERS}
        self.servers[SERVERS[0]].is_primary = True
        self.term = 1
        self.written = 0
        self.acked: set[int] = set()
        self.lost: set[int] = set()
        self.lost_at: int | None = None
        self.now = 0
        self.lease = 0
        self.lease_open = False
        self.lease_at = 0
        self.highest_token = 0
        self.requested_promotions: list[tuple[ServerId, int]] = []
        self.accepted: list[ServerId] = []
        self.hosts = (LeaseHost(), LeaseHost())

    # -- the group --

    @property
    def primary(self) -> Server | None:
        found = next((s for s in self.servers.values() if s.is_primary), None)
        return found if found is not None and found.up else None

    @rule()
    def write(self):
        primary = self.primary
        if primary is not None:
            self.written += 1
            primary.log.append((self.term, self.written))

    @rule(name=st.sampled_from(SERVERS))
    def commit_with(self, name):
        self.write()
        self.receive(name)

    @rule()
    def catch_up(self):
        for name in SERVERS:
            self.receive(name)

    @rule(name=st.sampled_from(SERVERS))
    def receive(self, name):
        primary, server = self.primary, self.servers[name]
        able = server.up and not server.partitioned and not server.paused
        if primary is not None and server is not primary and able:
            server.log = list(primary.log)
            if self.now >= self.sealed.get(primary.name, 0):
                self.acked |= {entry for _, entry in primary.log}

    @rule(name=st.sampled_from(SERVERS))
    def crash_or_return(self, name):
        server = self.servers[name]
        server.up = not server.up
        server.paused = 0

    @rule(name=st.sampled_from(SERVERS))
    def disconnect_or_reconnect(self, name):
        self.servers[name].partitioned = not self.servers[name].partitioned

    @precondition(lambda self: self.lost_at is None)
    @rule(name=st.sampled_from(SERVERS))
    def become_empty(self, name):
        server = self.servers[name]
        if not server.is_primary and server.up:
            server.log, server.paused = [], 0
            self.lost_at = self.now

    # -- the platform --

    @rule()
    def carry_out_request(self):
        if self.requested_promotions:
            target, token = self.requested_promotions.pop(0)
            if token >= self.highest_token and self.servers[target].up:
                self.highest_token = token
                self.accepted.append(target)

    @rule()
    def finish_promotion(self):
        if not self.accepted:
            return
        target = self.servers[self.accepted.pop(0)]
        if target.is_primary or not target.up:
            return
        self.term += 1
        for server in self.servers.values():
            server.is_primary = server is target
        target.paused = 0
        self.sealed.clear()
        held = {entry for _, entry in target.log}
        self.lost |= self.acked - held
        for server in self.servers.values():
            if server.log[: len(target.log)] != target.log:
                server.log = server.log[: len(target.log)]

    # -- the hosts --

    @rule(ms=st.sampled_from([STEP_MS, UNCONFIRMED_MS, lease.LEASE_MS]))
    def pass_time(self, ms):
        self.now += ms

    @rule(which=st.sampled_from([0, 1]))
    def probe(self, which):
        primary = self.primary
        if primary is not None:
            self.hosts[which].sample = PositionSample(
                asked_at=self.now,
                term=primary.log[-1][0] if primary.log else 0,
                position=len(primary.log),
            )

    @rule(which=st.sampled_from([0, 1]), must_step_down=st.booleans())
    def begin(self, which, must_step_down):
        if self.lease_open and self.now - self.lease_at < lease.LEASE_MS:
            return
        self.lease += 1
        self.lease_open, self.lease_at = True, self.now
        primary = next((s.name for s in self.servers.values() if s.is_primary), None)
        host = self.hosts[which]
        host.token = self.lease
        host.attempt = Attempt(
            from_term=Term(self.term),
            started_at=self.now,
            replaced=primary,
            must_step_down=must_step_down,
        )

    @rule(
        which=st.sampled_from([0, 1]),
        unreached=st.sampled_from([None, *SERVERS]),
        steps=st.integers(1, 8),
        must_step_down=st.booleans(),
    )
    def change(self, which, unreached, steps, must_step_down):
        if self.hosts[which].attempt is None:
            self.begin(which, must_step_down)
        for _ in range(steps):
            self.run_step(which, set(SERVERS) - {unreached})
            self.now += STEP_MS

    @rule(which=st.sampled_from([0, 1]), reached=st.sets(st.sampled_from(SERVERS)))
    def run_step(self, which, reached):
        host = self.hosts[which]
        attempt = host.attempt
        if attempt is None:
            return
        if self.now - attempt.started_at >= primary_change.find_limit(attempt):
            if attempt.final_end is None:
                self.sealed.clear()
            host.attempt = None
            return
        members = tuple(Member(server=name) for name in SERVERS)
        lost_end = None
        if self.lost_at is not None:
            lost_end = read_lost_end(self._find_sample(host))
        step = primary_change.plan_step(attempt, members, lost_end, self.now)
        self._run_action(host, attempt, step, reached)

    def _find_sample(self, host):
        found = host.sample
        if found is None or self.lost_at is None or found.asked_at < self.lost_at:
            return None
        return found

    def _run_action(self, host, attempt, step, reached):
        match step:
            case Quiesce():
                attempt.quiesced = self._ask_hosts()
            case Seal(servers=servers, beside=beside):
                self._run_command(attempt, beside, reached)
                attempt.barrier = self._ask_hosts()
                held = servers if self.all_confirm else ()
                self.sealed |= dict.fromkeys(held, self.now + SEAL_MS)
            case ListServers():
                attempt.listed = True
            case RecordTarget(server=server):
                attempt.recorded = server
            case Promote(server=server):
                self.requested_promotions.append((server, host.token))
                attempt.requested, attempt.held = server, False
            case Abandon():
                self.sealed.clear()
                host.attempt = None
            case _:
                self._run_command(attempt, step, reached)

    def _run_command(self, attempt, step, reached):
        match step:
            case RequestStatus(servers=servers):
                self._report_statuses(attempt, servers, reached)
            case Pause(servers=servers, term=term) | Secure(paused=servers, term=term):
                self._pause(servers, term, reached)
                asked = step.asked if isinstance(step, Secure) else ()
                self._report_statuses(attempt, (*servers, *asked), reached)
                self._tell_former(attempt, step, reached)
            case StepDown(server=server):
                self._step_down(server, reached)
                self._report_statuses(attempt, (server,), reached)
            case Hold(servers=servers, primary=primary, term=term):
                attempt.held = True
                self._pause(servers, term, reached)
                self._step_down(primary, reached)
            case AskOthers():
                attempt.asked_others = True

    def _ask_hosts(self):
        if self.all_confirm:
            return BarrierReport(at=self.now, hosts=frozenset({HostId("other")}))
        return BarrierReport(at=self.now, missing=(HostId("absent"),))

    def _tell_former(self, attempt, step, reached):
        former = step.former if isinstance(step, Secure) else None
        if former is not None:
            self._step_down(former, reached)
            self._report_statuses(attempt, (former,), reached)

    def _pause(self, servers, term, reached):
        for name in reached & set(servers):
            if self.servers[name].up and not self.servers[name].is_primary:
                self.servers[name].paused = int(term)

    def _step_down(self, name, reached):
        if name in reached and self.servers[name].up:
            self.servers[name].is_primary = False

    def _report_statuses(self, attempt, servers, reached):
        for name in servers:
            server = self.servers[name]
            if name in reached and server.up:
                status = server.read(self.term, self.now)
                change_attempt.update_status(attempt, name, status, self.now)
            else:
                change_attempt.remove_status(attempt, name, self.now)

    @invariant()
    def nothing_acknowledged_is_lost(self):
        assert not self.lost


class PrimaryChangeRaceWithoutLateRestarts(PrimaryChangeRace):
    """Excludes restarts that no holder of the lease can react to.

    Once a promotion is requested, only the platform could stop it if its target
    restarts without its log. Likewise a paused server that restarts loses its
    pause.
    """

    @rule(name=st.sampled_from(SERVERS))
    def crash_or_return(self, name):
        server = self.servers[name]
        if not server.paused:
            server.up = not server.up

    @precondition(lambda self: self.lost_at is None)
    @rule(name=st.sampled_from(SERVERS))
    def become_empty(self, name):
        server = self.servers[name]
        requested = [target for target, _ in self.requested_promotions] + self.accepted
        if server.is_primary or not server.up or server.paused or name in requested:
            return
        server.log = []
        self.lost_at = self.now


class ConfirmedPrimaryChangeRace(PrimaryChangeRaceWithoutLateRestarts):
    """The same; all hosts confirm."""

    all_confirm = True


TestPrimaryChangeRace = PrimaryChangeRaceWithoutLateRestarts.TestCase
TestConfirmedPrimaryChangeRace = ConfirmedPrimaryChangeRace.TestCase
TestPrimaryChangeRace.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestConfirmedPrimaryChangeRace.settings = TestPrimaryChangeRace.settings
