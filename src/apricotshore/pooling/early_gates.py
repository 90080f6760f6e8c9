"""Gates that other hosts had shut before this host knew their group."""

from ..identifiers import GroupId, ServerId
from .ports import QuiesceReply, QuiesceRequest
from .server_gate import ServerGate


class EarlyGates:
    """Gates of servers whose groups aren't known yet.

    A host is asked to quiesce once it has an entry, and its servers may be listed
    later. What it confirms has to hold then as well.
    """

    def __init__(self) -> None:
        self.gates: dict[GroupId, dict[ServerId, ServerGate]] = {}

    async def quiesce(self, request: QuiesceRequest) -> QuiesceReply:
        """Shut the gate of a server, and confirm it: nothing is in progress there."""
        self._forget_open()
        gates = self.gates.setdefault(request.group, {})
        gate = gates.setdefault(request.server, ServerGate(server=request.server))
        return await gate.quiesce(request.term, request.token, request.hold_ms)

    def take(self, group: GroupId) -> dict[ServerId, ServerGate]:
        """Return the gates of a group that is known from now on."""
        return self.gates.pop(group, {})

    def _forget_open(self) -> None:
        for group, gates in list(self.gates.items()):
            if not any(gate.is_shut for gate in gates.values()):
                del self.gates[group]
