"""Search over every order of a few events of a model."""

import pickle
from collections.abc import Callable, Mapping
from typing import Any

Event = Callable[[Any], None]


def find_loss(
    model: Any, events: Mapping[str, Event], depth: int = 6
) -> tuple[str, ...] | None:
    """Return the shortest order of events that loses a commit, None without one.

    Orders that lead to the same state are followed once.

    Parameters
    ----------
    model
        The state at the start; `lost` holds commits that were lost.
    events
        What may come, any number of times.
    depth
        Number of events of the longest orders.
    """
    states: dict[str, tuple[tuple[str, ...], bytes]] = {"": ((), pickle.dumps(model))}
    seen: set[str] = set()
    for _ in range(depth):
        found = {}
        for path, before in states.values():
            for name, event in events.items():
                after = pickle.loads(before)
                event(after)
                if after.lost:
                    return (*path, name)
                key = repr(vars(after))
                if key not in seen:
                    seen.add(key)
                    found[key] = ((*path, name), pickle.dumps(after))
        states = found
    return None
