"""What the hosts confirmed of a former primary, in one round or in several."""

from dataclasses import dataclass, replace

from ..identifiers import HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class BarrierReport:
    """What the hosts confirmed: that none of them can get an answer of a server.

    Parameters
    ----------
    at
        When the last confirmation came, in milliseconds since boot.
    began_at
        When the first host was asked, None if that was the longest round ago.
    is_listed
        Whether the list of hosts was read for it.
    hosts
        Hosts that confirmed.
    missing
        Hosts that gave no confirmation.
    ended, closed
        Statements that got their answers, and that were closed without one.
    unproven_at
        When a round of before the step-down last was not complete, None if all were.
    """

    at: int
    began_at: int | None = None
    is_listed: bool = True
    hosts: frozenset[HostId] = frozenset()
    missing: tuple[HostId, ...] = ()
    ended: int = 0
    closed: int = 0
    unproven_at: int | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all hosts confirmed, and no connection was closed for it.

        A server may learn late of a connection that was closed.
        """
        return self.is_listed and not self.missing and not self.closed


def combine(earlier: BarrierReport | None, latest: BarrierReport) -> BarrierReport:
    """Return the latest round before a step-down, with what an earlier one closed."""
    unproven_at = None if earlier is None else earlier.unproven_at
    if not latest.is_complete:
        unproven_at = latest.at
    latest = replace(latest, unproven_at=unproven_at)
    if earlier is None:
        return latest
    return replace(
        latest,
        missing=tuple(sorted({*latest.missing, *earlier.missing})),
        closed=latest.closed + earlier.closed,
    )
