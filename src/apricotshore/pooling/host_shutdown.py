"""Shutdown of a host: open sessions end, and the process after them."""

import asyncio

from .. import shutdown
from ..services.clock import read_boot_ms
from ..shutdown import Drain, Phase
from .callers import Callers
from .host_groups import HostGroups
from .host_watcher import HostWatcher
from .journal import EventKind, Journal
from .other_hosts import OtherHosts

# Time between two looks for what has ended.
STEP_S = 0.05


class HostShutdown:
    """Shutdown of a host.

    Parameters
    ----------
    drain
        State of the shutdown.
    callers, other_hosts
        Sessions that end.
    host_groups
        Groups, whose changes of primary go on until others can take them over.
    host_watcher
        This host's entry, which is marked.
    journal
        Journal of the host.
    """

    def __init__(
        self,
        *,
        drain: Drain,
        callers: Callers,
        other_hosts: OtherHosts,
        host_groups: HostGroups,
        host_watcher: HostWatcher,
        journal: Journal,
    ) -> None:
        self.drain = drain
        self.callers = callers
        self.other_hosts = other_hosts
        self.host_groups = host_groups
        self.host_watcher = host_watcher
        self.journal = journal
        self.ended = asyncio.Event()
        self.phase = Phase.SERVING

    def begin(self) -> None:
        """Announce the stop, and let open sessions end."""
        if not shutdown.begin(self.drain, read_boot_ms()):
            return
        self.phase = Phase.ANNOUNCING
        self.journal.record(
            EventKind.STOPPING, grace_ms=self.drain.grace_ms, **self._count_work()
        )
        self.host_watcher.mark_leaving()
        for changer in self.host_groups.changers.values():
            changer.is_draining = True
        self.callers.begin_stop()
        self._step()

    def _step(self) -> None:
        if not self.drain.exiting:
            asyncio.get_running_loop().call_later(STEP_S, self._step)
            self.go_on()

    def go_on(self) -> None:
        """Close what has become idle, and end the shutdown once it is due."""
        if self.drain.began_at is None or self.drain.exiting:
            return
        try:
            self._close_idle()
        except Exception as error:
            # One session that can't be closed must not keep the process.
            self.journal.record(EventKind.ERROR, why=repr(error))
        now = read_boot_ms()
        if shutdown.should_exit(self.drain, self._count_busy(), now):
            # From here on nothing is begun, so that nothing has to be cut.
            self.drain.exiting = True
            self.ended.set()
        self._record_phase(now)

    def read_left_s(self) -> float:
        """Return the time that callers have to take their answers, in seconds."""
        last_byte = shutdown.find_last_byte(self.drain)
        return 0.0 if last_byte is None else (last_byte - read_boot_ms()) / 1_000

    def _record_phase(self, now: int) -> None:
        phase = shutdown.find_phase(self.drain, now)
        if phase is self.phase or self.drain.began_at is None:
            return
        self.phase = phase
        self.journal.record(
            EventKind.STOP_PHASE,
            phase=phase.value,
            stopping_ms=now - self.drain.began_at,
            **self._count_work(),
        )

    def _count_work(self) -> dict[str, object]:
        return {
            "sessions": len(self.callers.sessions),
            "opened_late": self.callers.opened_late,
            "at_work": self.callers.count_at_work(),
            "other_hosts": len(self.other_hosts.sessions),
        }

    def _close_idle(self) -> None:
        self.other_hosts.leave()
        self.callers.close_idle()

    def _count_busy(self) -> int:
        """Count the open sessions, and the changes that others would wait for."""
        changers = self.host_groups.changers.values()
        changing = sum(changer.is_critical for changer in changers)
        return len(self.callers.sessions) + len(self.other_hosts.sessions) + changing
