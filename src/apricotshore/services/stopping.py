"""Stop of a host whose callers speak the MySQL protocol, phase by phase."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .. import shutdown
from ..decisions.membership import MemberState
from ..metrics import Metrics
from ..shutdown import Drain, Phase, Work
from .clock import read_boot_ms
from .frontend import Frontend
from .members import MembershipService
from .peerrequests import PeerRequests
from .registry import OwnerRegistry

POLL_S = 0.05
# Peers that ask a host which owns nothing any more learn so from its answer. It stays
# until none has asked for this time.
PEERS_QUIET_MS = 300
# Time for answers to reach the sockets once nothing is waited for any more.
FLUSH_S = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class StopResult:
    """Statements that were cut at the end of a stop."""

    cuts: int


class HostStop:
    """Stop of a host: open work ends, and the process after it.

    Parameters
    ----------
    drain
        State of the stop.
    frontend, registry, peer_requests
        Sessions, databases and requests of peers that end.
    members
        Membership, which announces the stop.
    metrics
        Counts statements that were cut.
    record
        Records a step of the stop: subject, step and detail.
    """

    def __init__(
        self,
        *,
        drain: Drain,
        frontend: Frontend,
        registry: OwnerRegistry,
        peer_requests: PeerRequests,
        members: MembershipService,
        metrics: Metrics,
        record: Callable[[str, str, str], None],
    ) -> None:
        self.drain = drain
        self.frontend = frontend
        self.registry = registry
        self.peer_requests = peer_requests
        self.members = members
        self.metrics = metrics
        self.record = record
        self.phase = Phase.SERVING
        self.releasing: asyncio.Task[None] | None = None

    def may_begin(self, work: Work, timeout_ms: int) -> bool:
        """Return whether a statement that was received is begun."""
        now = read_boot_ms()
        if not shutdown.may_begin(self.drain, work, timeout_ms, now):
            return False
        if work is Work.OPEN_TRANSACTION:
            # Its statements get the time that is left.
            return True
        phase = shutdown.find_phase(self.drain, now)
        is_serving = phase in (Phase.SERVING, Phase.ANNOUNCING)
        return is_serving and shutdown.has_time(self.drain, timeout_ms, now)

    def limit_timeout(self, timeout_ms: int) -> int:
        """Return a statement's timeout, within the time that is left."""
        last_answer = shutdown.find_last_answer(self.drain)
        if last_answer is None:
            return timeout_ms
        return max(min(timeout_ms, last_answer - read_boot_ms()), 1)

    async def run(self) -> StopResult:
        """Announce the stop, wait for open work, and return what was cut."""
        shutdown.begin(self.drain, read_boot_ms())
        self.members.set_state(MemberState.DRAINING)
        try:
            while not self.drain.exiting:
                self._go_on()
                await asyncio.sleep(POLL_S)
        finally:
            self.drain.exiting = True
            if self.releasing is not None:
                self.releasing.cancel()
            cuts = self._record_cuts()
        self.frontend.close_idle(at_once=True)
        await self._flush()
        self._record_step("end")
        return StopResult(cuts=cuts)

    def _go_on(self) -> None:
        phase = shutdown.find_phase(self.drain, read_boot_ms())
        if phase is not self.phase:
            self.phase = phase
            self._record_step(phase.value)
        if phase is not Phase.ANNOUNCING:
            self.frontend.stop_accepting()
            self.registry.draining = True
            if shutdown.should_abort_transactions(self.drain, read_boot_ms()):
                self.frontend.abort_transactions()
                self.registry.abort_transactions()
            self.frontend.close_idle(at_once=phase is Phase.EXITING)
        # Nothing is awaited between this count and the decision that it leads to.
        now = read_boot_ms()
        if shutdown.should_exit(self.drain, self._count_busy(now), now):
            self.drain.exiting = True
        elif phase is not Phase.ANNOUNCING:
            self._release_idle()

    def _release_idle(self) -> None:
        """Release idle databases beside the stop, as their servers may not answer."""
        if self.releasing is not None and not self.releasing.done():
            return
        self.releasing = asyncio.create_task(self.registry.release_idle())
        self.releasing.add_done_callback(self._record_error)

    def _record_error(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.record("", "error", repr(error))

    def _count_busy(self, now: int) -> int:
        asked = not self.peer_requests.is_quiet(PEERS_QUIET_MS)
        releases = self.releasing is None or not self.releasing.done()
        open_count = self.frontend.count_open() + self.registry.count_busy()
        return open_count + asked + releases

    async def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + FLUSH_S
        while self.frontend.has_unsent() and loop.time() < until:
            await asyncio.sleep(FLUSH_S / 10)

    def _record_step(self, step: str) -> None:
        owners = self.registry.owners.values()
        detail = (
            f"{len(self.frontend.sessions)} sessions, "
            f"{len(self.frontend.list_at_work())} statements at work, "
            f"{sum(len(owner.pending) for owner in owners)} requests, "
            f"{sum(len(owner.transactions) for owner in owners)} transactions, "
            f"{self.peer_requests.open_count} requests of peers"
        )
        self.record("", step, detail)

    def _record_cuts(self) -> int:
        sessions = self.frontend.list_at_work()
        for session in sessions:
            self.metrics.cuts.inc({})
            detail = f"a statement of session {session.session} has no whole answer"
            self.record(session.username or "", "cut", detail)
        return len(sessions)
