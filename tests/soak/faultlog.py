"""When which faults acted, so that bounded promises are judged in calm times."""

from dataclasses import dataclass, field

from .model import now

STABILITY_S = 5.0


@dataclass(kw_only=True)
class Fault:
    """One fault or piece of planned work.

    Parameters
    ----------
    subject
        Host that it acts on; empty when all are concerned.
    planned
        Whether it is planned work, which requests must survive.
    """

    kind: str
    subject: str
    began_at: float
    planned: bool = False
    ended_at: float | None = None


@dataclass(kw_only=True)
class FaultLog:
    """Faults in the order of their beginning."""

    faults: list[Fault] = field(default_factory=list)

    def begin(self, kind: str, subject: str, *, planned: bool = False) -> Fault:
        """Record that a fault begins."""
        fault = Fault(kind=kind, subject=subject, began_at=now(), planned=planned)
        self.faults.append(fault)
        return fault

    def find_unplanned(self, host: str, since: float, until: float) -> str:
        """Name an unplanned fault that a host felt, empty without one."""
        for fault in self.faults:
            if fault.planned or fault.subject not in ("", host):
                continue
            ended = fault.ended_at if fault.ended_at is not None else until
            if fault.began_at <= until and ended + STABILITY_S >= since:
                return fault.kind
        return ""

    def find_planned(self, host: str, moment: float, window_s: float) -> Fault | None:
        """Return planned work on a host that began shortly before."""
        for fault in self.faults:
            near = 0 <= moment - fault.began_at <= window_s
            if fault.planned and fault.subject == host and near:
                return fault
        return None
