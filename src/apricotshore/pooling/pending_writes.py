"""Writes that a primary has not answered, which show whether it stalls."""

from dataclasses import dataclass, field

from ..decisions import loop_stalls
from ..decisions.loop_stalls import Stall
from ..services.clock import read_boot_ms


@dataclass(kw_only=True)
class PendingWrites:
    """Writes that the primary has not answered.

    Parameters
    ----------
    sent_at
        When each write in progress was sent, by its number.
    unanswered
        When the writes were sent that failed since the last success.
    counter
        Number of the last write.
    """

    sent_at: dict[int, int] = field(default_factory=dict)
    unanswered: list[int] = field(default_factory=list)
    counter: int = 0

    def begin(self) -> int:
        """Record that a write is sent; return its number."""
        self.counter += 1
        self.sent_at[self.counter] = read_boot_ms()
        return self.counter

    def end(self, number: int, *, answered: bool) -> None:
        """Record that a write succeeded (``answered``) or failed."""
        sent = self.sent_at.pop(number, None)
        if answered:
            self.unanswered.clear()
        elif sent is not None:
            self.unanswered.append(sent)

    def forget(self) -> None:
        """Count no write so far: their connections are dead, not their server."""
        self.sent_at.clear()
        self.unanswered.clear()

    def leave_out(self, stall: Stall) -> None:
        """Count no wait for a time in which no answer could be read."""
        self.sent_at = {
            number: loop_stalls.leave_out(at, stall)
            for number, at in self.sent_at.items()
        }
        self.unanswered = [loop_stalls.leave_out(at, stall) for at in self.unanswered]

    def find_stall(self, found_at: int = 0) -> int | None:
        """Return since when at least two writes are unanswered, None if fewer are.

        A single one shows nothing: its answer may have been lost on the way. Those
        sent before the primary was found were sent to another.
        """
        sent = (*self.unanswered, *self.sent_at.values())
        waiting = sorted(at for at in sent if at >= found_at)
        return waiting[1] if len(waiting) > 1 else None
