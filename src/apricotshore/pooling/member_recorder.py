"""Record of the servers whose logs count, in the lease of a change that has ended."""

from collections.abc import Callable

from ..decisions import log_members, position_history
from ..groups import LogPosition
from ..identifiers import Position, Term
from ..services.clock import read_boot_ms
from .change_lease import ChangeLease
from .change_phases import record_phase
from .group import Group
from .ports import StoreError

# Time for which the servers stay the same before they are written. Each host waits
# that much longer than the one before it, so that one writes for all.
STABLE_MS = 1_000


class MemberRecorder:
    """Writes to the lease which servers count, while nobody changes the primary.

    A host that starts while entries are missing knows of these servers only from there.

    Parameters
    ----------
    group
        The group.
    lease
        The lease on its change of primary.
    rank
        Returns how many hosts are to write before this one.
    """

    def __init__(
        self,
        *,
        group: Group,
        lease: ChangeLease,
        rank: Callable[[], int],
    ) -> None:
        self.group = group
        self.lease = lease
        self.rank = rank
        # Since when the lease names other servers, None while it names these.
        self.differs_since: int | None = None

    async def record(self) -> None:
        """Write the servers if the lease has named others for a while."""
        current = self.lease.current
        if self.group.primary is not None and not (current and current.open):
            self._cover_lost_logs()
        now = read_boot_ms()
        current = self.lease.current
        floor = log_members.make_floor(self.group.members, self.lease.floor)
        is_led = self.group.primary is not None
        is_free = current is not None and not current.open
        # What this host knows may come from an earlier lease.
        is_named = current is not None and floor.members in ((), current.members)
        if not (is_led and is_free) or is_named:
            self.differs_since = None
            return
        if self.differs_since is None:
            self.differs_since = now
        if now - self.differs_since >= STABLE_MS * (1 + self.rank()):
            self.differs_since = None
            await self._store()

    async def _store(self) -> None:
        try:
            await self.lease.store_members()
        except StoreError as error:
            record_phase(self.group, "waiting", why=f"store: {error}")

    def _cover_lost_logs(self) -> None:
        """Take a position that the primary has named since logs were lost."""
        state = self.group.members
        if state.lost_at is None:
            return
        history = self.group.position_history
        sample = position_history.find_since(history, state.lost_at)
        if sample is not None:
            end = LogPosition(
                term=Term(sample.term), position=Position(sample.position)
            )
            log_members.observe_position(state, end, sample.asked_at)
