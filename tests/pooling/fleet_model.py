"""Fleet of thousands of hosts in memory, whose questions cost time."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from apricotshore.decisions.relays import Fleet, ListedHost
from apricotshore.decisions.rounds import HostAddress
from apricotshore.identifiers import DataCentreId, HostId
from apricotshore.pooling.fleet_asker import FleetAsker
from apricotshore.pooling.ports import (
    ConnectionLostError,
    HostStoppedError,
    QuiesceReply,
    QuiesceRequest,
)
from apricotshore.pooling.write_barrier import WriteBarrier
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost

OWN = HostId("h0")
# Time in which one process sends a question, and that a message is on its way.
ASK_COST_S = 0.0004
LATENCY_S = 0.001
CONNECT_TIMEOUT_S = 0.15


class HostState(Enum):
    """What a host does with a question."""

    WORKING = "working"
    # Its machine refuses connections.
    DEAD = "dead"
    # Its machine answers nothing.
    GONE = "gone"
    # Its machine accepts connections, its process does nothing.
    FROZEN = "frozen"
    # It reads no words about shares, as a build of before them.
    OLD = "old"
    # It confirms without asking its share.
    CARELESS = "careless"
    # It answers half a second late.
    LATE = "late"


@dataclass(kw_only=True)
class Wire:
    """Client of the other hosts, of one host of the model."""

    model: "FleetModel"
    sender: HostId

    async def quiesce(
        self,
        host: ListedHost | HostAddress,
        request: QuiesceRequest,
        timeout_s: float,
    ) -> QuiesceReply:
        """Have a host quiesce a server."""
        model = self.model
        model.sent[self.sender] += 1
        # Requests to forwarders aren't limited.
        size = 0 if request.share else 1
        model.open[self.sender] += size
        model.most_open[self.sender] = max(
            model.most_open[self.sender], model.open[self.sender]
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await model.carry(self.sender, host.host, request)
        except TimeoutError:
            raise ConnectionLostError("no confirmation", sent=True) from None
        finally:
            model.open[self.sender] -= size


class FleetModel:
    """The other hosts, and how many questions each sends and gets.

    Parameters
    ----------
    count
        Hosts, the holder included.
    """

    def __init__(self, *, count: int) -> None:
        self.fleet = Fleet(local_host=OWN)
        for number in range(count):
            host = ListedHost(
                host=HostId(f"h{number}"),
                data_centre=DataCentreId("abc"[number % 3]),
                address=f"10.0.{number >> 8}.{number & 255}:1",
            )
            self.fleet.hosts[host.host] = host
        self.states: dict[HostId, HostState] = {}
        # Pairs of hosts of which the first doesn't reach the second.
        self.cuts: set[tuple[HostId, HostId]] = set()
        self.closes: dict[HostId, int] = {}
        # Time in which each host ends its statements.
        self.end_s = 0.0
        self.sent: Counter[HostId] = Counter()
        # Direct questions without a reply, and the most at a time.
        self.open: Counter[HostId] = Counter()
        self.most_open: Counter[HostId] = Counter()
        self.received: dict[HostId, list[QuiesceRequest]] = defaultdict(list)
        self.busy_until: dict[HostId, float] = defaultdict(float)
        self.askers: dict[HostId, FleetAsker] = {}

    def make_barrier(
        self, refresh: Callable[[], Awaitable[object]] | None = None
    ) -> WriteBarrier:
        """Return the barrier of the holder."""
        model = ModelGroup.make()
        group = ModelHost.make(OWN, model, ModelPlatform(group=model)).group

        async def keep_hosts() -> None:
            """Leave the list of hosts as it is."""

        peers = Wire(model=self, sender=OWN)
        return WriteBarrier(
            group=group,
            fleet=self.fleet,
            peers=peers,
            refresh_hosts=refresh or keep_hosts,
            asker=self.find_asker(OWN),
        )

    def find_asker(self, host: HostId) -> FleetAsker:
        """Return a host's client for rounds."""
        wire = Wire(model=self, sender=host)
        return self.askers.setdefault(host, FleetAsker(peers=wire))

    async def carry(
        self, sender: HostId, host: HostId, request: QuiesceRequest
    ) -> QuiesceReply:
        """Carry a question to a host, and its reply back."""
        await self._spend(sender)
        state = self.states.get(host, HostState.WORKING)
        if state is HostState.DEAD:
            raise HostStoppedError("nobody listens", sent=False)
        if state is HostState.GONE or (sender, host) in self.cuts:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            # The client doesn't tell it from a host that doesn't answer.
            raise ConnectionLostError("cannot connect", sent=True)
        if state is HostState.FROZEN:
            await asyncio.sleep(1_000)
        if state is HostState.OLD and (request.share or request.repeated):
            raise ConnectionLostError("no confirmation: EOFError()", sent=True)
        await asyncio.sleep(LATENCY_S)
        self.received[host].append(request)
        reply = await self._serve(host, request, state)
        if state is HostState.LATE:
            await asyncio.sleep(0.5)
        await asyncio.sleep(LATENCY_S)
        return reply

    async def _serve(
        self, host: HostId, request: QuiesceRequest, state: HostState
    ) -> QuiesceReply:
        async def quiesce(plain: QuiesceRequest) -> QuiesceReply:
            await asyncio.sleep(self.end_s)
            return QuiesceReply(closed=self.closes.get(host, 0))

        if request.share and state is not HostState.CARELESS:
            return await self.find_asker(host).forward(request, quiesce)
        return await quiesce(request)

    async def _spend(self, sender: HostId) -> None:
        """Take the time of a question from the process that asks it."""
        now = asyncio.get_running_loop().time()
        end = max(now, self.busy_until[sender]) + ASK_COST_S
        self.busy_until[sender] = end
        await asyncio.sleep(end - now)
