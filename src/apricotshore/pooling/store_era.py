"""Era of the platform's store, shared by all parts of a host that use the store."""

from collections.abc import Callable

from ..decisions import store_era
from ..decisions.store_era import EraRelation, EraState
from ..identifiers import StoreEra
from ..services.clock import read_boot_ms
from .journal import EventKind, Journal


class EraTracker:
    """Tracker of the store's era in its answers.

    Parameters
    ----------
    journal
        Journal of the host.
    """

    def __init__(self, *, journal: Journal) -> None:
        self.journal = journal
        self.state = EraState()
        self.listeners: list[Callable[[], None]] = []

    @property
    def era(self) -> StoreEra | None:
        """Latest era, None before the first answer of the store."""
        return self.state.era

    def accept(self, era: StoreEra) -> bool:
        """Record an answer's era; return False if the answer is of an earlier one.

        The listeners are called when the store was restored.
        """
        earlier = self.state.era
        relation = store_era.observe_era(self.state, era, read_boot_ms())
        if relation is EraRelation.NEW and self.state.is_restored:
            self.journal.record(EventKind.STORE_RESTORED, era=era, earlier_era=earlier)
            for listener in self.listeners:
                listener()
        return relation is not EraRelation.OUTDATED

    def is_settling(self, grace_ms: int) -> bool:
        """Return whether the store was restored less than ``grace_ms`` ago."""
        return store_era.is_settling(self.state, grace_ms, read_boot_ms())
