"""Model of a group, the platform and hosts around the decisions on its primary.

Every event is a method; the tests decide which events may come, and in which order.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Any

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
    Resume,
    Seal,
    Secure,
    StepDown,
)
from apricotshore.decisions.change_attempt import BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus
from apricotshore.decisions.commit_barrier import (
    SEAL_MS,
    UNCONFIRMED_MS,
    BarrierProof,
    find_proof,
)
from apricotshore.decisions.log_floor import UNKNOWN_END, End
from apricotshore.decisions.position_history import PositionSample
from apricotshore.groups import LogPosition
from apricotshore.identifiers import HostId, Position, ServerId, Term

from . import decisions_before

STEP_MS = 50
FIRST = tuple(ServerId(f"s{n}") for n in (1, 2, 3))
JOINING = ServerId("s4")
SERVERS = (*FIRST, JOINING)


def read_lost_end(sample: PositionSample | None) -> End:
    """Return the end up to which a lost log counts, by a sample of since the loss."""
    return UNKNOWN_END if sample is None else (sample.term, sample.position)


# Term and number of an entry that all logs begin with: an empty one counts as lost.
FIRST_ENTRY = (1, 0)


@dataclass
class Server:
    """A server's log, role and pause, and a term that it adopted from a command."""

    name: ServerId
    log: list[tuple[int, int]] = field(default_factory=lambda: [FIRST_ENTRY])
    is_primary: bool = False
    paused: int = 0
    up: bool = True
    is_deaf: bool = False
    is_listed: bool = True
    adopted: int = 0

    def read(self, term: int) -> MemberStatus:
        """Return the status that the server reports."""
        last = self.log[-1][0] if self.log else 0
        return MemberStatus(
            log_position=LogPosition(term=Term(last), position=Position(len(self.log))),
            term=Term(max(term, self.adopted)),
            paused_term=Term(self.paused),
            is_primary=self.is_primary,
        )


@dataclass
class Host:
    """A host that may hold the lease."""

    name: str
    known: set[ServerId] = field(default_factory=lambda: set(FIRST))
    unlisted: set[ServerId] = field(default_factory=set)
    attempt: Any = None
    token: int = 0
    unfinished: bool = False
    sample: PositionSample | None = None


@dataclass
class Lease:
    """The lease in the store."""

    revision: int = 0
    holder: str = ""
    open: bool = False
    written_at: int = 0
    target: ServerId | None = None


class ChangeModel:
    """Group, platform and two hosts; `lost` holds acknowledged entries that are gone.

    Parameters
    ----------
    as_before
        Whether the hosts decide as they did before the primary stepped down first.
    all_confirm
        Whether all hosts confirm that they have no connection to a former primary.
    """

    def __init__(self, *, as_before: bool = False, all_confirm: bool = False) -> None:
        self.as_before = as_before
        self.all_confirm = all_confirm
        # Until when no host sends to a server, as all have confirmed.
        self.sealed: dict[ServerId, int] = {}
        self.servers = {name: Server(name=name) for name in FIRST}
        self.servers[FIRST[0]].is_primary = True
        self.term = 1
        self.written = 0
        # Whether other hosts don't reach the primary either.
        self.is_dark = False
        self.acked: set[int] = set()
        self.lost: set[int] = set()
        self.lost_log_at: int | None = None
        self.now = 0
        self.lease = Lease()
        self.highest_token = 0
        self.late: list[tuple[ServerId, int]] = []
        # Targets of accepted promotions, and when they were accepted.
        self.accepted: list[tuple[ServerId, int]] = []
        self.hosts = (Host(name="a"), Host(name="b"))

    # -- the group --

    @property
    def primary(self) -> Server | None:
        """The primary, if it runs."""
        found = next((s for s in self.servers.values() if s.is_primary), None)
        return found if found is not None and found.up else None

    def write(self) -> None:
        """Append an entry to the primary's log."""
        if self.primary is not None:
            self.written += 1
            self.primary.log.append((self.term, self.written))

    def receive(self, name: ServerId) -> None:
        """Have a replica receive the log, which acknowledges it."""
        source, server = self._find_source(), self.servers.get(name)
        if source is None or server is None or server is source:
            return
        if server.up and not server.is_deaf and not server.paused:
            server.log = list(source.log)
            if self.now >= self.sealed.get(source.name, 0):
                self.acked |= {entry for _, entry in source.log if entry}

    def _find_source(self) -> Server | None:
        """Return the server whose log the replicas receive."""
        return self.primary

    def commit_with(self, name: ServerId) -> None:
        """Commit with the help of one replica."""
        self.write()
        self.receive(name)

    def join(self) -> None:
        """Have a replica join with the log that replicas receive, and register."""
        source = self._find_source()
        if source is not None and JOINING not in self.servers:
            self.servers[JOINING] = Server(name=JOINING, log=list(source.log))

    def restart(self, name: ServerId) -> None:
        """Have a replica restart with its log; a pause ends with that."""
        server = self.servers.get(name)
        if server is not None and not server.is_primary:
            server.paused = 0

    def crash(self, name: ServerId) -> None:
        """Stop a server."""
        if name in self.servers:
            self.servers[name].up = False

    def come_back(self, name: ServerId) -> None:
        """Start a server again, with its log."""
        server = self.servers.get(name)
        if server is not None and not server.up:
            server.up, server.paused = True, 0

    def become_empty(self, name: ServerId) -> None:
        """Have a replica restart without its log, once."""
        server = self.servers.get(name)
        if server is None or server.is_primary or self.lost_log_at is not None:
            return
        server.log, server.paused = [], 0
        self.lost_log_at = self.now

    def hear_or_not(self, name: ServerId) -> None:
        """Begin or end the time in which a server receives nothing."""
        if name in self.servers:
            self.servers[name].is_deaf = not self.servers[name].is_deaf

    def unlist(self, name: ServerId) -> None:
        """Remove a server's entry from the store; it goes on."""
        if name in self.servers:
            self.servers[name].is_listed = False

    # -- the platform --

    def accept(self, target: ServerId, token: int) -> bool:
        """Accept a request, unless a newer token was seen or the target is down."""
        if token < self.highest_token or not self.servers[target].up:
            return False
        self.highest_token = token
        if not self.servers[target].is_primary:
            self.accepted.append((target, self.now))
        return True

    def carry_out_late(self) -> None:
        """Carry out a request that got no answer."""
        if self.late:
            self.accept(*self.late.pop(0))

    def finish_promotion(self) -> None:
        """Have an accepted promotion take effect."""
        if not self.accepted:
            return
        target = self.servers[self.accepted.pop(0)[0]]
        if target.is_primary or not target.up:
            return
        self.term += 1
        for server in self.servers.values():
            server.is_primary = server is target
        target.paused = 0
        self.sealed.clear()
        self.lost |= self.acked - {entry for _, entry in target.log}
        for server in self.servers.values():
            if server.log[: len(target.log)] != target.log:
                server.log = server.log[: len(target.log)]

    # -- the hosts --

    def pass_time(self, ms: int) -> None:
        """Advance the clock; accepted promotions take effect within their limit."""
        self.now += ms
        while self.accepted and self.now - self.accepted[0][1] >= lease.PROMOTION_MS:
            self.finish_promotion()

    def watch(self, which: int) -> None:
        """Have a host learn what the store lists."""
        host = self.hosts[which]
        listed = {s.name for s in self.servers.values() if s.is_listed}
        host.unlisted = (host.unlisted | host.known) - listed
        host.known = listed

    def probe(self, which: int) -> None:
        """Have a host sample the primary's log position."""
        primary = self.primary
        if primary is not None:
            self.hosts[which].sample = PositionSample(
                asked_at=self.now,
                term=primary.log[-1][0] if primary.log else 0,
                position=len(primary.log),
            )

    def begin(self, which: int, must_step_down: bool) -> None:
        """Have a host take the lease and begin a change."""
        held = self.lease
        host = self.hosts[which]
        is_held = held.open and held.holder != host.name
        if is_held and self.now - held.written_at < lease.LEASE_MS:
            return
        host.unfinished = held.open
        inherited = held.target if held.open else None
        self._write_lease(host, inherited)
        primary = self._find_replaced()
        common = {
            "from_term": Term(self.term),
            "started_at": self.now,
            "replaced": primary,
            "must_step_down": must_step_down,
        }
        if self.as_before:
            host.attempt = decisions_before.Attempt(**common)
            return
        host.attempt = change_attempt.Attempt(
            **common,
            inherited=inherited,
            requested=inherited,
            target=inherited,
            recorded=inherited,
        )
        host.attempt.must_step_down |= inherited not in (None, primary)

    def _find_replaced(self) -> ServerId | None:
        """Return the server that a host takes for the primary."""
        return next((s.name for s in self.servers.values() if s.is_primary), None)

    def _write_lease(self, host: Host, target: ServerId | None) -> None:
        self.lease = Lease(
            revision=self.lease.revision + 1,
            holder=host.name,
            open=True,
            written_at=self.now,
            target=target,
        )
        host.token = self.lease.revision

    def run_step(
        self,
        which: int,
        reached: Collection[ServerId] = SERVERS,
        unanswered: Collection[ServerId] = (),
        *,
        is_late: bool = False,
    ) -> None:
        """Run the next step of a host's change.

        Parameters
        ----------
        which
            The host.
        reached
            Servers that a command reaches.
        unanswered
            Servers that run a command, but whose answer is lost.
        is_late
            Whether a request for a promotion gets no answer and comes late.
        """
        host = self.hosts[which]
        attempt = host.attempt
        if attempt is None:
            return
        self.pass_time(STEP_MS)
        self._wait_out(attempt)
        if not self._may_go_on(attempt):
            self._end(host)
            return
        self._take(which, self._plan(host), reached, unanswered, is_late)

    def _wait_out(self, attempt: Any) -> None:
        """Let the time pass for which a host without a confirmation is waited for."""
        barrier = None if self.as_before else attempt.barrier
        is_silent = barrier is not None and attempt.final_end is None
        if is_silent and find_proof(attempt) is BarrierProof.TIME:
            wait_ms = barrier.at + UNCONFIRMED_MS - self.now
            if attempt.requested is None and wait_ms > 0:
                self.pass_time(wait_ms)

    def _take(
        self,
        which: int,
        step: Any,
        reached: Collection[ServerId],
        unanswered: Collection[ServerId],
        is_late: bool,
    ) -> None:
        host = self.hosts[which]
        match step:
            case ListServers():
                self.watch(which)
                host.attempt.listed = True
            case RecordTarget(server=server):
                self._record_target(host, server)
            case Promote(server=server):
                self._promote(host, server, is_late)
            case Abandon():
                self._end(host)
            case Quiesce():
                change_attempt.observe_quiesced(host.attempt, self._ask_hosts())
            case Seal(servers=servers, beside=beside):
                self._command(host, beside, reached, set(reached) - set(unanswered))
                host.attempt.barrier = self._ask_hosts()
                self._seal(servers)
            case _:
                self._command(host, step, reached, set(reached) - set(unanswered))

    def _command(
        self,
        host: Host,
        step: Any,
        reached: Collection[ServerId],
        answers: Collection[ServerId],
    ) -> None:
        match step:
            case RequestStatus(servers=servers):
                self._report(host, servers, answers)
            case Pause(servers=servers, term=term):
                self._pause(servers, term, reached)
                self._report(host, servers, answers)
            case Resume(server=server):
                self._resume_target(server, reached)
                self._report(host, (server,), answers)
            case Secure(paused=paused, term=term, asked=asked, former=former):
                self._pause(paused, term, reached)
                self._report(host, (*paused, *asked), answers)
                self._tell_former(host, former, term, reached, answers)
            case StepDown(server=server, term=term):
                self._step_down(server, term, reached)
                self._report(host, (server,), answers)
            case AskOthers(server=server, term=term):
                host.attempt.asked_others = True
                if self.servers[server].up and not self.is_dark:
                    self._report(host, (server,), SERVERS)
                    self._step_down(server, term, SERVERS)
                    self._report(host, (server,), SERVERS)
            case Hold(servers=servers, primary=primary, term=term):
                host.attempt.held = True
                self._pause(servers, term, reached)
                if primary is not None:
                    self._step_down(primary, term, reached)

    def _resume_target(self, server: ServerId, reached: Collection[ServerId]) -> None:
        if server in reached and self.servers[server].up:
            self.servers[server].paused = 0

    def _tell_former(
        self,
        host: Host,
        former: ServerId | None,
        term: int,
        reached: Collection[ServerId],
        answers: Collection[ServerId],
    ) -> None:
        if former is not None:
            self._step_down(former, term, reached)
            self._report(host, (former,), answers)

    def _ask_hosts(self) -> BarrierReport:
        """Return what the hosts confirm; one may never do, so servers decide."""
        hosts = frozenset({HostId("holder"), HostId("other")})
        if self.all_confirm:
            return BarrierReport(at=self.now, hosts=hosts)
        return BarrierReport(at=self.now, missing=(HostId("absent"),))

    def _seal(self, servers: Iterable[ServerId]) -> None:
        """End the connections to servers, until a promotion or the hold's end."""
        if self.all_confirm:
            self.sealed |= dict.fromkeys(servers, self.now + SEAL_MS)

    def _may_go_on(self, attempt: Any) -> bool:
        age = self.now - attempt.started_at
        if attempt.requested:
            is_done = not self.as_before and self._leads(attempt.requested)
            return not is_done and age < primary_change.CONFIRM_MS
        is_needed = attempt.must_step_down or self.is_dark or self.primary is None
        if self.as_before:
            return is_needed and age < primary_change.STEPS_MS
        is_needed |= attempt.final_end is not None
        return is_needed and age < primary_change.find_limit(attempt)

    def _leads(self, name: ServerId) -> bool:
        return self.primary is not None and self.primary.name == name

    def _plan(self, host: Host) -> Any:
        attempt = host.attempt
        if self.as_before and attempt.requested:
            return None
        members = [Member(server=s) for s in sorted(host.known)]
        if not self.as_before:
            members += [Member(server=s, listed=False) for s in sorted(host.unlisted)]
        sample = host.sample
        if sample is not None and sample.asked_at < (self.lost_log_at or 0):
            sample = None
        is_lossless = self.lost_log_at is None
        if self.as_before:
            return decisions_before.plan_step(
                attempt, tuple(members), sample, is_lossless, self.now
            )
        lost_end = None if is_lossless else read_lost_end(sample)
        return primary_change.plan_step(attempt, tuple(members), lost_end, self.now)

    def _pause(
        self, servers: Iterable[ServerId], term: int, reached: Collection[ServerId]
    ) -> None:
        for name in servers:
            server = self.servers[name]
            if name in reached and server.up and not server.is_primary:
                server.paused = max(server.paused, int(term))

    def _step_down(
        self, name: ServerId, term: int, reached: Collection[ServerId]
    ) -> None:
        if name in reached and self.servers[name].up:
            self.servers[name].is_primary = False

    def _report(
        self, host: Host, servers: Iterable[ServerId], answers: Collection[ServerId]
    ) -> None:
        before = decisions_before if self.as_before else None
        for name in servers:
            server = self.servers[name]
            is_heard = name in answers and server.up
            status = server.read(self.term)
            if before is not None and is_heard:
                before.update_status(host.attempt, name, status)
            elif before is not None:
                before.remove_status(host.attempt, name)
            elif is_heard:
                change_attempt.update_status(host.attempt, name, status, self.now)
            else:
                change_attempt.remove_status(host.attempt, name, self.now)

    def _record_target(self, host: Host, target: ServerId) -> None:
        if self.lease.revision != host.token:
            host.attempt = None
            return
        self._write_lease(host, target)
        host.attempt.recorded = target

    def _promote(self, host: Host, target: ServerId, is_late: bool) -> None:
        attempt = host.attempt
        if self.as_before:
            attempt.requested = True
            attempt.target = target
        if is_late:
            self.late.append((target, host.token))
            if not self.as_before:
                attempt.requested, attempt.held = target, False
                attempt.is_ordered = True
            return
        is_accepted = self.accept(target, host.token)
        if self.as_before:
            attempt.requested = is_accepted
        elif is_accepted:
            attempt.requested, attempt.accepted = target, True
            attempt.is_ordered = True
        elif attempt.requested is None:
            attempt.rejected.add(target)
            attempt.target = None
        else:
            attempt.refused_at = self.now

    # -- end of a change --

    def _end(self, host: Host) -> None:
        """End a change: resume the others once nothing can take effect any more."""
        attempt = host.attempt
        if not self.as_before and attempt.final_end is None:
            self.sealed.clear()
        if self._may_resume(host):
            self._resume()
            self._release(host)

    def _may_resume(self, host: Host) -> bool:
        """End a change; return whether its host resumes the others."""
        attempt, host.attempt = host.attempt, None
        target = attempt.target if self.as_before else attempt.requested
        if attempt.requested and not self._leads(target):
            return False
        if self.lease.revision != host.token:
            return False
        if attempt.requested and not self.as_before and not attempt.accepted:
            return self.accept(self.primary.name, host.token)
        if not attempt.requested and (host.unfinished or attempt.pause_term):
            primary = self.primary
            if primary is None or not self.accept(primary.name, host.token):
                return False
            inherited = None if self.as_before else attempt.inherited
            must_wait = host.unfinished and primary.name != inherited
            if must_wait and not self.as_before:
                self.pass_time(lease.PROMOTION_MS)
                return self.primary is not None
        return True

    def _resume(self) -> None:
        for server in self.servers.values():
            server.paused = 0

    def _release(self, host: Host) -> None:
        if self.lease.revision == host.token:
            self.lease = Lease(revision=self.lease.revision + 1)

    def stop_host(self, which: int) -> None:
        """Have a host end amid its change."""
        self.hosts[which].attempt = None
