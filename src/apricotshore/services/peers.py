"""RPC between hosts, over Cap'n Proto."""

import asyncio
import ssl
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import capnp

from ..decisions.burn import Bucket
from ..decisions.membership import Member
from ..events import Event
from ..identifiers import DatabaseId, HostId
from ..requests import Outcome, Request
from ..settings import TlsSettings
from ..wire import codec

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 0.3
MAX_PEER_LINKS = 2_000
MONITOR_PERIOD_S = 0.15
MONITOR_TIMEOUT_S = 0.3
MAX_MISSED_CHECKS = 2


class PeerUnreachableError(Exception):
    """The connection to the peer failed; the message was not sent."""


class PeerLostError(Exception):
    """The message was sent and no answer came; the peer may have acted on it."""


def make_peer_contexts(
    tls: TlsSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the TLS contexts for the server and the client side.

    Both sides must present a certificate signed by the fleet's own authority.
    """
    if not tls.enabled:
        return None, None
    contexts = []
    for purpose in (ssl.Purpose.CLIENT_AUTH, ssl.Purpose.SERVER_AUTH):
        context = ssl.create_default_context(purpose, cafile=tls.authority)
        context.load_cert_chain(tls.certificate, tls.key)
        context.verify_mode = ssl.CERT_REQUIRED
        context.check_hostname = False
        contexts.append(context)
    return contexts[0], contexts[1]


@dataclass(kw_only=True)
class PeerHandlers:
    """Handlers of the messages that peers send to this host."""

    execute: Callable[[Request, HostId], Awaitable[Outcome]]
    ping: Callable[[list[Member]], list[Member]]
    fetch_root: Callable[[], str]
    fetch_pieces: Callable[[list[str]], list[str]]
    witness: Callable[[str], Awaitable[bool]]
    list_events: Callable[[str, str], list[Event]]
    list_burn: Callable[[], list[Bucket]]
    offer_database: Callable[[DatabaseId], None]
    is_unfit: Callable[[DatabaseId], bool]
    is_holding: Callable[[DatabaseId], bool]
    on_disconnect: Callable[[HostId], None]


class _PeerImplementation(codec.schema.Peer.Server):  # type: ignore[misc,name-defined]
    """RPC server of one link."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self.handlers = handlers
        # Identifies the link, so that its open transactions can be rolled back
        # when it is disconnected.
        self.origin = HostId(f"link-{id(self):x}")

    async def execute_context(self, context: Any) -> None:
        request = codec.read_request(context.params.request)
        outcome = await self.handlers.execute(request, self.origin)
        codec.write_outcome(context.results.init("outcome"), outcome)

    async def ping_context(self, context: Any) -> None:
        updates = codec.read_members(context.params.updates)
        answer = self.handlers.ping(updates)
        codec.write_members(context.results.init("updates", len(answer)), answer)

    async def fetchRoot_context(self, context: Any) -> None:  # noqa: N802
        context.results.root = self.handlers.fetch_root()

    async def fetchPieces_context(self, context: Any) -> None:  # noqa: N802
        digests = list(context.params.digests)
        context.results.texts = self.handlers.fetch_pieces(digests)

    async def witness_context(self, context: Any) -> None:
        context.results.reachable = await self.handlers.witness(context.params.address)

    async def listEvents_context(self, context: Any) -> None:  # noqa: N802
        topic, subject = context.params.topic, context.params.subject
        events = self.handlers.list_events(topic, subject)
        codec.write_events(context.results.init("events", len(events)), events)

    async def listBurn_context(self, context: Any) -> None:  # noqa: N802
        buckets = self.handlers.list_burn()
        codec.write_buckets(context.results.init("buckets", len(buckets)), buckets)

    async def offerDatabase_context(self, context: Any) -> None:  # noqa: N802
        self.handlers.offer_database(DatabaseId(context.params.database))

    async def isHolding_context(self, context: Any) -> None:  # noqa: N802
        database = DatabaseId(context.params.database)
        context.results.holding = self.handlers.is_holding(database)

    async def isUnfit_context(self, context: Any) -> None:  # noqa: N802
        database = DatabaseId(context.params.database)
        context.results.unfit = self.handlers.is_unfit(database)


class PeerServer:
    """Accepts links from other hosts.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    handlers
        Handlers of the messages.
    context
        TLS context; None for plain TCP.
    """

    def __init__(
        self, *, address: str, handlers: PeerHandlers, context: ssl.SSLContext | None
    ) -> None:
        self.address = address
        self.handlers = handlers
        self.context = context
        self.server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        options: dict[str, Any] = {"ssl": self.context} if self.context else {}
        self.server = await capnp.AsyncIoStream.create_server(
            self._accept, host, int(port), **options
        )

    async def _accept(self, stream: Any) -> None:
        implementation = _PeerImplementation(self.handlers)
        try:
            await capnp.TwoPartyServer(stream, bootstrap=implementation).on_disconnect()
        except capnp.KjException:
            pass
        finally:
            self.handlers.on_disconnect(implementation.origin)

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


class PeerLink:
    """Client side of a link; reconnects on the next call after a failure.

    Parameters
    ----------
    address
        ``ip:port`` of the peer.
    context
        TLS context; None for plain TCP.
    """

    def __init__(self, *, address: str, context: ssl.SSLContext | None) -> None:
        self.address = address
        self.context = context
        self.client: Any = None
        self.peer: Any = None
        self.lock = asyncio.Lock()
        self.calls_in_progress = 0
        self.requests_in_progress = 0
        self.answer_count = 0
        self.monitor_task: asyncio.Task[None] | None = None

    async def _connect(self) -> Any:
        async with self.lock:
            if self.peer is not None:
                return self.peer
            host, _, port = self.address.rpartition(":")
            options: dict[str, Any] = {"ssl": self.context} if self.context else {}
            try:
                stream = await asyncio.wait_for(
                    capnp.AsyncIoStream.create_connection(host, int(port), **options),
                    CONNECT_TIMEOUT_S,
                )
            except (OSError, TimeoutError) as error:
                raise PeerUnreachableError(repr(error)) from None
            self.client = capnp.TwoPartyClient(stream)
            self.peer = self.client.bootstrap().cast_as(codec.schema.Peer)
            return self.peer

    def drop(self) -> None:
        """Close the connection; the next call opens another."""
        client, self.client, self.peer = self.client, None, None
        if client is not None:
            client.close()

    async def call(self, build: Callable[[Any], Any], timeout_s: float) -> Any:
        """Send one message and return its answer.

        Parameters
        ----------
        build
            Builds the request on the peer's capability.
        timeout_s
            Time limit for the answer.

        Raises
        ------
        PeerUnreachableError
            If the message was certainly not sent.
        PeerLostError
            If the message was sent and no answer came.
        """
        self.calls_in_progress += 1
        try:
            return await self._call(build, timeout_s)
        finally:
            self.calls_in_progress -= 1

    async def _call(self, build: Callable[[Any], Any], timeout_s: float) -> Any:
        peer = await self._connect()
        try:
            return await asyncio.wait_for(build(peer).send(), timeout_s)
        except TimeoutError:
            # Other requests may be in progress on the link: only monitor() drops it.
            raise PeerLostError(f"{self.address}: no answer in time") from None
        except (capnp.KjException, OSError) as error:
            if self.peer is peer:
                self.drop()
            raise PeerLostError(repr(error)[:200]) from None

    async def monitor(self) -> None:
        """Probe the link while requests are in progress; drop it if it is dead.

        No probe is sent while answers arrive, since they show that the peer is
        alive.
        """
        misses = 0
        while self.requests_in_progress and misses < MAX_MISSED_CHECKS:
            seen = self.answer_count
            await asyncio.sleep(MONITOR_PERIOD_S)
            if self.answer_count != seen or not self.requests_in_progress:
                misses = 0
                continue
            try:
                await self.call(lambda peer: peer.isUnfit_request(), MONITOR_TIMEOUT_S)
                misses = 0
            except PeerUnreachableError:
                break
            except PeerLostError:
                misses += 1
        if self.requests_in_progress:
            self.drop()


class PeerLinks:
    """Links to all peers, by address, least recently used first.

    Parameters
    ----------
    context
        TLS context; None for plain TCP.
    """

    def __init__(self, *, context: ssl.SSLContext | None) -> None:
        self.context = context
        self.links: OrderedDict[str, PeerLink] = OrderedDict()

    def _get_link(self, address: str) -> PeerLink:
        link = self.links.get(address)
        if link is None:
            link = PeerLink(address=address, context=self.context)
            self.links[address] = link
            self._evict_surplus()
        self.links.move_to_end(address)
        return link

    def _evict_surplus(self) -> None:
        surplus = max(len(self.links) - MAX_PEER_LINKS, 0)
        for address in list(self.links)[:surplus]:
            if not self.links[address].calls_in_progress:
                self.links.pop(address).drop()

    def close(self) -> None:
        """Drop every link."""
        for link in self.links.values():
            link.drop()

    async def execute(
        self, address: str, request: Request, timeout_s: float
    ) -> Outcome:
        """Execute a request at a peer."""

        def build(peer: Any) -> Any:
            message = peer.execute_request()
            codec.write_request(message.init("request"), request)
            return message

        link = self._get_link(address)
        link.requests_in_progress += 1
        if link.monitor_task is None or link.monitor_task.done():
            link.monitor_task = asyncio.create_task(link.monitor())
        try:
            answer = await link.call(build, timeout_s)
            link.answer_count += 1
        finally:
            link.requests_in_progress -= 1
        return codec.read_outcome(answer.outcome)

    async def ping(self, address: str, updates: list[Member]) -> list[Member]:
        """Exchange membership records with a peer."""

        def build(peer: Any) -> Any:
            message = peer.ping_request()
            codec.write_members(message.init("updates", len(updates)), updates)
            return message

        answer = await self._get_link(address).call(build, CALL_TIMEOUT_S)
        return codec.read_members(answer.updates)

    async def fetch_root(self, address: str) -> str:
        """Fetch the signed root of the bundle that is in force at a peer."""
        answer = await self._get_link(address).call(
            lambda peer: peer.fetchRoot_request(), FETCH_TIMEOUT_S
        )
        return str(answer.root)

    async def fetch_pieces(self, address: str, digests: list[str]) -> list[str]:
        """Fetch pieces of a bundle by digest; unknown ones are empty strings."""

        def build(peer: Any) -> Any:
            message = peer.fetchPieces_request()
            message.digests = digests
            return message

        answer = await self._get_link(address).call(build, FETCH_TIMEOUT_S)
        return [str(text) for text in answer.texts]

    async def witness(self, address: str, server_address: str) -> bool:
        """Ask a peer whether it can reach a backend server."""

        def build(peer: Any) -> Any:
            message = peer.witness_request()
            message.address = server_address
            return message

        answer = await self._get_link(address).call(build, 3 * CALL_TIMEOUT_S)
        return bool(answer.reachable)

    async def list_events(self, address: str, topic: str, subject: str) -> list[Event]:
        """Fetch a peer's events of a topic and subject."""

        def build(peer: Any) -> Any:
            message = peer.listEvents_request()
            message.topic = topic
            message.subject = subject
            return message

        answer = await self._get_link(address).call(build, FETCH_TIMEOUT_S)
        return codec.read_events(answer.events)

    async def list_burn(self, address: str) -> list[Bucket]:
        """Fetch a peer's counts of good and bad requests."""
        answer = await self._get_link(address).call(
            lambda peer: peer.listBurn_request(), FETCH_TIMEOUT_S
        )
        return codec.read_buckets(answer.buckets)

    async def offer_database(self, address: str, database: DatabaseId) -> None:
        """Ask a peer to consider owning a database that seems to have no owner."""

        def build(peer: Any) -> Any:
            message = peer.offerDatabase_request()
            message.database = database
            return message

        await self._get_link(address).call(build, CALL_TIMEOUT_S)

    async def is_holding(self, address: str, database: DatabaseId) -> bool:
        """Ask a peer whether it holds the claim on a database."""

        def build(peer: Any) -> Any:
            message = peer.isHolding_request()
            message.database = database
            return message

        answer = await self._get_link(address).call(build, STATUS_TIMEOUT_S)
        return bool(answer.holding)

    async def is_unfit(self, address: str, database: DatabaseId) -> bool:
        """Ask a peer whether it cannot own a database."""

        def build(peer: Any) -> Any:
            message = peer.isUnfit_request()
            message.database = database
            return message

        answer = await self._get_link(address).call(build, STATUS_TIMEOUT_S)
        return bool(answer.unfit)
