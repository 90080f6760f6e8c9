"""Search over every order of a few events of a model."""

import pickle
from collections.abc import Callable, Iterator, Mapping
from typing import Any

Event = Callable[[Any], None]
Order = tuple[str, ...]


def find_losses(
    model: Any, events: Mapping[str, Event], depth: int
) -> Iterator[tuple[Order, Any]]:
    """Find each order of events that loses a commit, and the state it ends in.

    Orders that lead to the same state are followed once, so what is asked of a loss
    has to be part of the state.

    Parameters
    ----------
    model
        The state at the start; `lost` holds commits that were lost.
    events
        What may come, any number of times.
    depth
        Number of events of the longest orders.
    """
    states: list[tuple[Order, bytes]] = [((), pickle.dumps(model))]
    seen: set[str] = set()
    for _ in range(depth):
        found = []
        for path, before in states:
            for name, event in events.items():
                after = pickle.loads(before)
                event(after)
                if after.lost:
                    yield (*path, name), after
                    continue
                key = repr(vars(after))
                if key not in seen:
                    seen.add(key)
                    found.append(((*path, name), pickle.dumps(after)))
        states = found


def find_loss(model: Any, events: Mapping[str, Event], depth: int = 6) -> Order | None:
    """Return a shortest order of events that loses a commit, None without one."""
    return next((order for order, _ in find_losses(model, events, depth)), None)
