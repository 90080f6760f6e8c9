"""What a host can prove of its configuration, and when it watches the store for it."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from ..freshness import bounds as times
from ..freshness.bounds import Bounds
from ..freshness.proofs import ConfigurationState, Proof, ServersState, is_within
from ..identifiers import HostId, StoreEra, StoreRevision
from ..queries import FailureCode
from ..routes import Configuration
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .journal import EventKind, Journal
from .sessions import RefusedError, refuse_overloaded
from .stored_objects import StoredKind

FOLLOWED = (StoredKind.CONFIGURATION, StoredKind.SERVER)
# A watch that is not needed notices within this time that its bounds have changed.
REST_S = 0.25
# Pause after a failed call to the store for what another host vouches for.
VOUCHED_RETRY_MS = 2_000
# A host that can't serve keyed requests has most likely a proof after the next round.
RETRY_MS = times.ASK_PERIOD_MS
STALE_DETAIL = "the configuration is not proven"


class Freshness:
    """Proofs of a host's configuration and of its list of servers.

    Where no bound is set, or the configuration names no organisations, the host serves
    whatever the age of its proofs. Unless the fleet is large enough to share what is
    read, it also watches the store all the time.

    Parameters
    ----------
    journal
        Journal of the host.
    eras
        Tracker of the store's era.
    bounds
        Bounds on the ages of proofs.
    """

    def __init__(self, *, journal: Journal, eras: EraTracker, bounds: Bounds) -> None:
        self.journal = journal
        self.eras = eras
        self.bounds = bounds
        # Set by the host; returns the configuration in force.
        self.configuration: Callable[[], Configuration | None] = lambda: None
        # Set by the host; returns whether the fleet is large enough to share reads.
        self.shares_reads: Callable[[], bool] = lambda: False
        # Set by the host; rolls back open transactions of keyed requests.
        self.on_stale: Callable[[], None] = lambda: None
        self.proofs = {kind: Proof() for kind in FOLLOWED}
        self.configuration_state: ConfigurationState | None = None
        self.servers_state: ServersState | None = None
        # Whether no version may have been missed before the one read last.
        self.is_certain = True
        # Whether this host is the first of those that may vouch for its group.
        self.is_voucher = True
        self.asked_until: int | None = None
        # Kinds that others vouched for in the last round of requests.
        self.vouched: set[StoredKind] = set()
        # Newer states that others know, and since when they are still to be read.
        self.newer: dict[StoredKind, tuple[int, ...]] = {}
        self.to_read: dict[StoredKind, int] = {}
        self.wakes = {kind: asyncio.Event() for kind in FOLLOWED}
        self.stale_since: int | None = None
        self.refused = 0
        self.calls: Counter[StoredKind] = Counter()
        self.rested_ms: Counter[StoredKind] = Counter()

    @property
    def is_active(self) -> bool:
        """Whether hosts prove to each other what they know of the store."""
        return self.needs_proof or self.shares_reads()

    @property
    def needs_proof(self) -> bool:
        """Whether keyed requests need a recent proof."""
        if self.bounds.serve_ms <= 0:
            return False
        configuration = self.configuration()
        return configuration is not None and configuration.organisations is not None

    # -- keyed requests --

    def read_age_ms(self, kind: StoredKind = StoredKind.CONFIGURATION) -> int | None:
        """Return the age of a proof, None without one."""
        at = self.proofs[kind].proven_at
        return None if at is None else read_boot_ms() - at

    @property
    def is_fresh(self) -> bool:
        """Whether the configuration is proven recently enough, or needs no proof."""
        if not self.needs_proof:
            return True
        at = self.proofs[StoredKind.CONFIGURATION].proven_at
        return is_within(at, read_boot_ms(), self.bounds.serve_ms)

    def may_serve_keyed(self) -> bool:
        """Return whether a keyed request that arrives now is served.

        One that is not is counted, and recorded with the age of the proof.
        """
        self.check()
        if self.stale_since is None:
            return True
        self.refused += 1
        self.journal.record(
            EventKind.KEYED_REFUSED,
            code=FailureCode.OVERLOADED.value,
            detail=STALE_DETAIL,
            proof_age_ms=self.read_age_ms(),
            bound_ms=self.bounds.serve_ms,
            version=self.version,
        )
        return False

    def refuse_keyed(self) -> RefusedError | None:
        """Return why a keyed request that arrives now is refused, None if it isn't."""
        return None if self.may_serve_keyed() else self.make_refusal()

    def make_refusal(self) -> RefusedError:
        """Return the refusal of a keyed request, with the age of the proof."""
        age = self.read_age_ms()
        if age is None:
            return refuse_overloaded(STALE_DETAIL, RETRY_MS)
        known = f"the configuration was last proven {age} ms ago"
        return refuse_overloaded(known, RETRY_MS)

    def check(self) -> None:
        """Notice that the proof has become too old, or recent again."""
        now = read_boot_ms()
        if self.is_fresh:
            if self.stale_since is not None:
                stale_ms, self.stale_since = now - self.stale_since, None
                self._record(EventKind.CONFIGURATION_FRESH, stale_ms=stale_ms)
        elif self.stale_since is None:
            self.stale_since = now
            self._record(EventKind.CONFIGURATION_STALE, bound_ms=self.bounds.serve_ms)
            self.on_stale()

    def _record(self, step: EventKind, **details: object) -> None:
        self.journal.record(
            step, version=self.version, proof_age_ms=self.read_age_ms(), **details
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        configuration = self.configuration()
        return 0 if configuration is None else configuration.version

    # -- calls to the store --

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self.bounds = bounds
        self._wake(FOLLOWED)

    def choose_wait_ms(self, kind: StoredKind) -> int | None:
        """Return the wait of a watch, None for that of a host without proofs."""
        if not self.is_active:
            return None
        if kind is StoredKind.CONFIGURATION:
            return self.bounds.configuration_wait_ms
        return self.bounds.servers_wait_ms

    def should_read(self, kind: StoredKind) -> bool:
        """Return whether this host is to list or watch the objects of a kind."""
        if not self.is_active or self.is_voucher or kind in self.to_read:
            return True
        now = read_boot_ms()
        if self.asked_until is not None and now < self.asked_until:
            return True
        # The flag is of the last round, which may have been long ago.
        vouched_at = self.proofs[kind].vouched_at
        late_ms = self._get_bound_ms(kind) - times.ASK_TIMEOUT_MS
        return kind not in self.vouched or not is_within(vouched_at, now, late_ms)

    async def rest(self, kind: StoredKind) -> None:
        """Wait until this host may have to read the objects of a kind."""
        began = read_boot_ms()
        try:
            async with asyncio.timeout(REST_S):
                await self.wakes[kind].wait()
        except TimeoutError:
            pass
        self.wakes[kind].clear()
        self.rested_ms[kind] += read_boot_ms() - began

    async def back_off(self, kind: StoredKind) -> None:
        """Wait after a failed call to the store, unless this host has to read now."""
        until = read_boot_ms() + VOUCHED_RETRY_MS
        while read_boot_ms() < until and not self.should_read(kind):
            await self.rest(kind)

    def observe_configuration(self, state: ConfigurationState, proven_at: int) -> None:
        """Record a response of the store on the configuration that was applied.

        Parameters
        ----------
        state
            State after the response.
        proven_at
            Time as of which the response is the latest.
        """
        self.configuration_state = state
        if self.is_certain:
            self.proofs[StoredKind.CONFIGURATION].observe_read(proven_at)
        self.check()

    def observe_servers(
        self, era: StoreEra, revision: StoreRevision, proven_at: int, *, changed: bool
    ) -> None:
        """Record a response of the store on the servers that was applied.

        Parameters
        ----------
        era, revision
            Era of the response, and store revision up to which changes are known.
        proven_at
            Time as of which the response is the latest.
        changed
            Whether anything that is used may have changed.
        """
        known = self.servers_state
        is_same = known is not None and known.era == era and not changed
        self.servers_state = ServersState(
            era=era,
            revision=revision,
            changed=known.changed if known is not None and is_same else revision,
        )
        self.proofs[StoredKind.SERVER].observe_read(proven_at)

    def end_read(self, kind: StoredKind, asked_at: int) -> None:
        """Record that a response of the store to a call of some time was applied."""
        if asked_at >= self.to_read.get(kind, asked_at):
            self.to_read.pop(kind, None)

    @property
    def needs_lists(self) -> bool:
        """Whether the bound is too short for what a watch proves."""
        return self.is_active and self.bounds.needs_lists

    def choose_pause_ms(self) -> int:
        """Return the pause after an answer of the store with a configuration."""
        if self.needs_lists:
            return times.SHORTEST_WAIT_MS
        return 0 if self.needs_read else times.CONFIGURATION_PAUSE_MS

    @property
    def needs_read(self) -> bool:
        """Whether the configuration's proof gets too old for a watch to wait."""
        if not self.is_active or not self.is_certain:
            return False
        return not self.is_proven_for_round((StoredKind.CONFIGURATION,))

    # -- other hosts --

    def observe_question(self, now: int) -> None:
        """Record that another host asks this one, which then reads the store."""
        self.asked_until = now + times.ASKED_MS
        self._wake(FOLLOWED)

    def read_newer(self, kind: StoredKind, state: tuple[int, ...]) -> bool:
        """Have a newer state read; return False if that was done before.

        The store may hold none: another host may have in force what the store lost.
        """
        if self.newer.get(kind) == state:
            return False
        self.newer[kind] = state
        self.to_read[kind] = read_boot_ms()
        self._wake((kind,))
        return True

    def end_round(self, source: HostId | None, *, gave_up: bool) -> None:
        """Decide after a round of requests what this host watches itself.

        Parameters
        ----------
        source
            Host that vouches for the configuration, None for none.
        gave_up
            Whether as many hosts as are asked in a round were of no use.
        """
        before = StoredKind.CONFIGURATION in self.vouched
        for kind in FOLLOWED:
            if kind in self.to_read:
                # What is read now decides after the next round.
                continue
            if self.is_vouched_for_round(kind) and not gave_up:
                self.vouched.add(kind)
            else:
                self.vouched.discard(kind)
        if before != (StoredKind.CONFIGURATION in self.vouched):
            self._record(EventKind.PROOF_SOURCE, source=source or "store")
        self._wake(FOLLOWED)

    def is_vouched_for_round(self, kind: StoredKind) -> bool:
        """Return whether what others vouched for lasts until the next round ends."""
        return self._lasts(kind, self.proofs[kind].vouched_at)

    def is_proven_for_round(self, kinds: Iterable[StoredKind] = FOLLOWED) -> bool:
        """Return whether the proofs last until the next round of requests ends."""
        return all(self._lasts(kind, self.proofs[kind].proven_at) for kind in kinds)

    def _lasts(self, kind: StoredKind, at: int | None) -> bool:
        left_ms = self._get_bound_ms(kind) - times.ROUND_MS
        return is_within(at, read_boot_ms(), left_ms)

    def _get_bound_ms(self, kind: StoredKind) -> int:
        if kind is StoredKind.CONFIGURATION:
            return self.bounds.configuration_ms
        return self.bounds.servers_ms

    def _wake(self, kinds: Iterable[StoredKind]) -> None:
        for kind in kinds:
            self.wakes[kind].set()
