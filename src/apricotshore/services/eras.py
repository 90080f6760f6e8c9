"""Era of the platform's store, shared by all parts of a host that use the store."""

from collections.abc import Callable, Mapping

from ..decisions import store_era
from ..decisions.store_era import EraRelation, EraState
from ..identifiers import StoreEra
from .clock import read_boot_ms

# Names of headers are kept in lower case.
ERA_HEADER = "store-era"
MAX_ERA_DIGITS = 15


def read_era(headers: Mapping[str, str]) -> StoreEra:
    """Return the era that an answer's headers name, 0 if they name none."""
    text = headers.get(ERA_HEADER, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return StoreEra(int(text) if is_number else 0)


class EraTracker:
    """Tracker of the store's era in its answers.

    The listeners are called when the store was restored.
    """

    def __init__(self) -> None:
        self.state = EraState()
        self.listeners: list[Callable[[], None]] = []

    @property
    def era(self) -> StoreEra | None:
        """Latest era, None before the first answer of the store."""
        return self.state.era

    @property
    def earlier(self) -> StoreEra | None:
        """Era before the latest one, None if the store was not restored."""
        return self.state.earlier

    def accept(self, era: StoreEra) -> bool:
        """Record an answer's era; return False if the answer is of an earlier one."""
        relation = store_era.observe_era(self.state, era, read_boot_ms())
        if relation is EraRelation.NEW and self.state.is_restored:
            for listener in self.listeners:
                listener()
        return relation is not EraRelation.OUTDATED

    def is_settling(self, grace_ms: int) -> bool:
        """Return whether the store was restored less than ``grace_ms`` ago."""
        return store_era.is_settling(self.state, grace_ms, read_boot_ms())
