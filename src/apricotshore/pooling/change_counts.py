"""Counts of a group's changes of primary on this host, and of short promotions."""

from collections import Counter


class ChangeCounts:
    """Counts changes of primary from the phases that are recorded of them."""

    def __init__(self) -> None:
        self.outcomes: Counter[tuple[str, str]] = Counter()
        # Reason of the change in progress, None between changes.
        self.reason: str | None = None
        self.abandoned = False
        # Promotions of servers whose logs lacked entries of an end that was known.
        self.short_promotions = 0

    def observe(self, phase: str, details: dict[str, object]) -> None:
        """Count a change when its end is recorded.

        One that was abandoned counts as that, however its servers were resumed.
        """
        if phase == "began":
            self.reason = str(details["reason"])
            self.abandoned = False
        elif phase == "abandoned":
            self.abandoned = True
        elif phase in ("ended", "unconfirmed") and self.reason is not None:
            outcome = str(details.get("outcome", phase))
            if self.abandoned:
                outcome = "abandoned"
            self.outcomes[self.reason, outcome] += 1
            self.reason = None
