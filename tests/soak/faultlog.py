"""Log of the injected faults and when they acted.

Guarantees with a time limit are only checked while no unplanned fault acts.
"""

from dataclasses import dataclass, field

from .model import now

STABILITY_S = 5.0


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

    def find_planned(self, host: str, moment: float, window_s: float) -> Fault | None:
        """Return planned work on a host that began in the window before a moment."""
        for fault in self.faults:
            near = 0 <= moment - fault.began_at <= window_s
            if fault.planned and fault.subject == host and near:
                return fault
        return None
