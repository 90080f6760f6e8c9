"""Log of the injected faults and when they acted.

Guarantees with a time limit are only checked while no unplanned fault acts.
"""

from dataclasses import dataclass, field

from .model import now

STABILITY_S = 5.0
RELOAD = "reload"
FREEZES = ("freeze", "freeze_holder")
# A process that was frozen this shortly before the end of its grace may miss it.
AFTER_FREEZE_S = 1.0


@dataclass(kw_only=True)
class Fault:
    """A fault, or a piece of planned work.

    Parameters
    ----------
    subject
        Host that it acts on; empty when it affects all hosts.
    planned
        Whether it is planned work, in which no request may fail.
    """

    kind: str
    subject: str
    began_at: float
    planned: bool = False
    ended_at: float | None = None


@dataclass(kw_only=True)
class FaultLog:
    """Faults in the order of their start."""

    faults: list[Fault] = field(default_factory=list)

    def begin(self, kind: str, subject: str, *, planned: bool = False) -> Fault:
        """Record the start of a fault."""
        fault = Fault(kind=kind, subject=subject, began_at=now(), planned=planned)
        self.faults.append(fault)
        return fault

    def find_unplanned(self, host: str, since: float, until: float) -> str:
        """Return the kind of an unplanned fault that affected a host, or ''.

        A fault counts until STABILITY_S after its end.
        """
        for fault in self.faults:
            if fault.planned or fault.subject not in ("", host):
                continue
            ended = fault.ended_at if fault.ended_at is not None else until
            if fault.began_at <= until and ended + STABILITY_S >= since:
                return fault.kind
        return ""

    def find_stop(self, host: str, moment: float, window_s: float) -> Fault | None:
        """Return a planned stop of a host that began in the window before a moment."""
        planned = self._list_planned(host, moment, window_s)
        return next((f for f in planned if f.kind != RELOAD), None)

    def find_reload(self, host: str, moment: float, window_s: float) -> Fault | None:
        """Return a reload of a host that began in the window before a moment."""
        planned = self._list_planned(host, moment, window_s)
        return next((f for f in planned if f.kind == RELOAD), None)

    def _list_planned(self, host: str, moment: float, window_s: float) -> list[Fault]:
        return [
            fault
            for fault in self.faults
            if fault.planned
            and fault.subject == host
            and 0 <= moment - fault.began_at <= window_s
        ]

    def is_frozen(self, host: str, moment: float) -> bool:
        """Return whether a host is frozen, or was just before."""
        return any(
            fault.kind in FREEZES
            and fault.subject == host
            and fault.began_at <= moment
            and (fault.ended_at is None or fault.ended_at >= moment - AFTER_FREEZE_S)
            for fault in self.faults
        )
