"""Application of one host: builds, starts and stops its services."""

import ssl
from pathlib import Path

from mode import Service

from ..bundles import Bundle
from ..decisions import burn
from ..decisions.backlog import Policy
from ..decisions.burn import BurnKey, BurnRecord
from ..decisions.membership import Member, MemberState
from ..events import EventLog, Topic
from ..evidence import EvidenceKey
from ..identifiers import SignerId, Term
from ..keys import load_key
from ..logs import make_logger
from ..metrics import Metrics
from ..requests import Request
from ..settings import Settings, TlsSettings
from ..shutdown import Drain
from ..verdicts import Failure
from .backends import Endpoint, LostConnectionError, StatementError, read_status
from .backends import open_connection as open_backend
from .bundlemanager import BundleManager
from .clock import read_wall_ms
from .evidencewriter import EvidenceWriter
from .frontend import Frontend, FrontendHooks
from .members import MembershipService
from .peerrequests import PeerRequests
from .peers import PeerHandlers, PeerLinks, PeerServer, make_peer_contexts
from .platform import PlatformClient
from .registry import OwnerRegistry, RegistryHooks
from .router import Router
from .statuspage import StatusPage
from .stopping import HostStop, StopResult

log = make_logger("apricotshore")


def _make_caller_context(tls: TlsSettings) -> ssl.SSLContext | None:
    if not tls.enabled:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def _load_evidence_key(settings: Settings) -> EvidenceKey | None:
    if not settings.evidence_key:
        return None
    key = load_key(Path(settings.evidence_key))
    return EvidenceKey(signer=SignerId(settings.evidence_signer), key=key)


class Application(Service):
    """Builds and runs the services of one host.

    Parameters
    ----------
    settings
        Settings of the host.
    policy
        Admission policy of the database owners.
    """

    def __init__(self, *, settings: Settings, policy: Policy = Policy.FAIR) -> None:
        super().__init__()
        self.settings = settings
        self.events = EventLog(host=settings.host)
        self.metrics = Metrics()
        self.drain_state = Drain(grace_ms=settings.drain_ms)
        self.platform = PlatformClient(address=settings.platform_address)
        server_context, client_context = make_peer_contexts(settings.peer_tls)
        self.links = PeerLinks(context=client_context)
        self.members = self._make_members()
        self.bundle_manager = BundleManager(
            platform=self.platform,
            links=self.links,
            members=self.members,
            trusted=settings.trusted,
            on_bundle=self._apply_bundle,
            on_event=lambda step, detail: self.record_event(
                Topic.ROLLOUT, "bundle", step, detail
            ),
        )
        self.registry = OwnerRegistry(
            settings=settings,
            members=self.members,
            links=self.links,
            hooks=RegistryHooks(
                record_event=self.record_event,
                on_fenced=lambda owner: self.evidence_writer.request(owner),
                on_bundle_behind=self.bundle_manager.request_update,
            ),
            policy=policy,
        )
        self.router = Router(
            local_host=settings.host,
            members=self.members,
            links=self.links,
            serve_locally=self.registry.handle,
            offer_locally=self.registry.offer,
        )
        self.frontend = Frontend(
            settings=settings,
            router=self.router,
            hooks=FrontendHooks(
                get_bundle=lambda: self.bundle_manager.bundle,
                on_refused=self._record_refused,
                on_served=self._record_served,
                may_begin=lambda work, timeout: self.stopping.may_begin(work, timeout),
                limit_timeout=lambda timeout: self.stopping.limit_timeout(timeout),
            ),
            context=_make_caller_context(settings.caller_tls),
        )
        self.peer_requests = PeerRequests(execute=self.registry.handle)
        self.peer_server = PeerServer(
            address=settings.peer_address,
            handlers=self._make_handlers(),
            context=server_context,
        )
        self.status_page = StatusPage(
            address=settings.status_address,
            registry=self.metrics.registry,
            is_ready=self._is_ready,
            refresh=self._refresh_metrics,
        )
        self.platform.eras.listeners.append(self._record_restore)
        self.evidence_writer = EvidenceWriter(
            host=settings.host,
            platform=self.platform,
            members=self.members,
            owners=self.registry.owners,
            signing_key=_load_evidence_key(settings),
            record_event=self.record_event,
        )
        self.burn = BurnRecord()
        self.stopping = HostStop(
            drain=self.drain_state,
            frontend=self.frontend,
            registry=self.registry,
            peer_requests=self.peer_requests,
            members=self.members,
            metrics=self.metrics,
            record=lambda subject, step, detail: self.record_event(
                Topic.DRAIN, subject or settings.host, step, detail
            ),
        )

    def _make_members(self) -> MembershipService:
        settings = self.settings
        local_member = Member(
            host=settings.host,
            address=settings.peer_address,
            data_centre=settings.data_centre,
            # Wall time, so that a restarted host overrides the records that peers
            # hold of its previous run.
            incarnation=read_wall_ms(),
            life=MemberState.ALIVE,
        )
        return MembershipService(
            local_member=local_member,
            links=self.links,
            platform=self.platform,
            seeds=settings.seeds,
            on_change=lambda: self.bundle_manager.check_peers(),
            on_death=lambda host: self.record_event(
                Topic.MEMBERSHIP,
                host,
                "dead",
                "did not answer probes and did not refute the suspicion",
            ),
        )

    def _make_handlers(self) -> PeerHandlers:
        return PeerHandlers(
            execute=self.peer_requests.execute,
            ping=self.members.handle_ping,
            fetch_root=self.bundle_manager.get_root,
            fetch_pieces=self.bundle_manager.get_pieces,
            witness=self._witness,
            list_events=self.events.find,
            list_burn=lambda: burn.list_buckets(self.burn),
            offer_database=self.registry.offer,
            is_unfit=self.registry.is_unfit,
            is_holding=self.registry.is_holding,
            on_disconnect=self.registry.drop_origin,
        )

    # -- life cycle --

    async def on_start(self) -> None:
        """Start the services in the order of their dependencies."""
        await self.peer_server.start()
        await self.status_page.start()
        await self.add_runtime_dependency(self.members)
        await self.add_runtime_dependency(self.bundle_manager)
        await self.add_runtime_dependency(self.registry)
        await self.add_runtime_dependency(self.evidence_writer)
        await self.frontend.start()
        log.info("started", extra={"host": self.settings.host})

    async def on_shutdown(self) -> None:
        """Close links and listeners after the services have stopped."""
        self.links.close()
        self.peer_server.stop()
        await self.status_page.stop()
        await self.platform.close()

    async def drain(self) -> StopResult:
        """Let open work end, and return what was cut."""
        return await self.stopping.run()

    # -- bundle --

    def _apply_bundle(self, old: Bundle, new: Bundle) -> None:
        self.registry.set_bundle(old, new)
        closed = self.frontend.close_withdrawn()
        if closed:
            detail = f"{closed} connections closed at version {new.version}"
            self.record_event(Topic.WITHDRAWAL, "callers", "cut", detail)

    def _record_restore(self) -> None:
        eras = self.platform.eras
        detail = f"era {eras.era} after {eras.earlier}: it came back from an older copy"
        self.record_event(Topic.ROLLOUT, "platform", "restored", detail)

    def _is_ready(self) -> bool:
        return (
            self.drain_state.began_at is None and self.bundle_manager.root is not None
        )

    # -- messages --

    async def _witness(self, address: str) -> bool:
        matching = [
            s
            for s in self.bundle_manager.bundle.servers.values()
            if s.address == address
        ]
        if not matching:
            return False
        endpoint = Endpoint(
            server=matching[0],
            user=self.settings.backend_user,
            password=self.settings.backend_password,
            host=self.settings.host,
        )
        try:
            connection = await open_backend(endpoint, Term(0))
            try:
                await read_status(connection)
            finally:
                connection.close()
        except (LostConnectionError, StatementError):
            return False
        return True

    def record_event(self, topic: Topic, subject: str, step: str, detail: str) -> None:
        """Record an event for operators; log it unless its topic is SHED."""
        self.events.add(read_wall_ms(), topic, subject, step, detail)
        extra = {"host": self.settings.host, "topic": topic.value, "subject": subject}
        if topic is not Topic.SHED:
            log.info(f"{step}: {detail}", extra=extra)

    def _record_refused(self, username: str) -> None:
        self.metrics.refused.inc({})
        detail = "login refused: no contract in the bundle in force"
        self.record_event(Topic.WITHDRAWAL, username[:64], "refused", detail)

    def _record_served(
        self, request: Request, failure: Failure | None, took_s: float
    ) -> None:
        outcome = "ok" if failure is None else "failed"
        labels = {"caller": request.caller, "kind": request.kind, "outcome": outcome}
        self.metrics.requests.inc(labels)
        self.metrics.latency.observe({"kind": request.kind}, took_s)
        key = BurnKey(
            caller=request.caller,
            kind=request.kind,
            database=request.database,
            data_centre=self.settings.data_centre,
        )
        reason = None if failure is None else failure.reason
        in_time = took_s * 1000 <= request.deadline_ms
        burn.record(self.burn, key, reason, in_time, read_wall_ms())

    def _refresh_metrics(self) -> None:
        metrics = self.metrics
        owners = self.registry.owners.values()
        metrics.bundle.set({}, self.bundle_manager.version)
        metrics.owned.set({}, sum(owner.owning for owner in owners))
        metrics.members.set({}, len(self.members.list_live()))
        for purpose, count in self.platform.calls.items():
            metrics.platform_calls.set({"purpose": purpose.value}, count)
        for owner in owners:
            for server, count in owner.runner.reads_served.items():
                labels = {"database": owner.database, "server": server}
                metrics.reads.set(labels, count)
            for server, pool in owner.pools.items():
                metrics.backend_connections.set({"server": server}, pool.open_count)
