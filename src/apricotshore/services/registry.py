"""Registry of the databases that this host owns or is a candidate to own."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from ..bundles import Bundle, list_withdrawn
from ..decisions.backlog import Policy
from ..decisions.ownership import (
    OwnershipAction,
    OwnershipFacts,
    decide_action,
    may_rank,
    rank_hosts,
)
from ..events import Topic
from ..groups import Claim
from ..identifiers import BundleVersion, DatabaseId, HostId, ServerId
from ..requests import Outcome, Request
from ..settings import Settings
from ..verdicts import Failure, Reason, Verdict
from .backends import Endpoint
from .clock import read_monotonic_ms
from .members import MembershipService
from .owner import DatabaseOwner, OwnerHooks
from .peers import PeerLinks, PeerLostError, PeerUnreachableError

CHECK_PERIOD_S = 1.0
FAST_CHECK_PERIOD_S = 0.1
UNFIT_MS = 5_000
CANDIDATES = 3
WITNESSES = 3
FITNESS_TRIES = 3
OFFERED_TRIES = 1


@dataclass(kw_only=True)
class RegistryHooks:
    """Callbacks of the registry into the application."""

    record_event: Callable[[Topic, str, str, str], None]
    on_fenced: Callable[[DatabaseOwner], None]
    on_bundle_behind: Callable[[], None]


class OwnerRegistry(Service):
    """Starts and stops database owners as the membership and the bundle change.

    Parameters
    ----------
    settings
        Settings of this host.
    members, links
        Membership of the fleet and links to the other hosts.
    hooks
        Callbacks into the application.
    policy
        Admission policy of every owner.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        members: MembershipService,
        links: PeerLinks,
        hooks: RegistryHooks,
        policy: Policy,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.members = members
        self.links = links
        self.hooks = hooks
        self.policy = policy
        self.bundle: Bundle | None = None
        self.owners: dict[DatabaseId, DatabaseOwner] = {}
        self.unfit_since: dict[DatabaseId, int] = {}
        self.wake = asyncio.Event()
        self.draining = False
        self.candidates: list[DatabaseId] = []
        self.candidates_key = (-1, BundleVersion(0))
        self.locks: dict[DatabaseId, asyncio.Lock] = {}
        self.jobs: set[asyncio.Task[None]] = set()

    # -- messages --

    async def handle(self, request: Request, origin: HostId) -> Outcome:
        """Execute a request if this host owns its database."""
        owner = self.owners.get(request.database)
        if owner is None:
            self.offer(request.database)
            failure = Failure(
                verdict=Verdict.NOT_RUN,
                reason=Reason.NOT_OWNER,
                detail="this host does not own the database",
            )
            return Outcome(failure=failure)
        return await owner.handle(request, origin)

    def offer(self, database: DatabaseId) -> None:
        """Consider at once whether to own a database whose owner seems to be gone."""
        if self.bundle is not None and database in self.bundle.databases:
            self._spawn(self._consider(database, OFFERED_TRIES))

    def is_unfit(self, database: DatabaseId) -> bool:
        """Return whether this host is currently unable to own a database."""
        owner = self.owners.get(database)
        unfit = database in self.unfit_since or (owner is not None and owner.unfit)
        return self.draining or unfit

    def is_holding(self, database: DatabaseId) -> bool:
        """Return whether this host holds the claim on a database."""
        owner = self.owners.get(database)
        return owner is not None and owner.owning

    def drop_origin(self, origin: HostId) -> None:
        """Roll back the transactions of a link that was closed."""
        for owner in self.owners.values():
            owner.drop_origin(origin)

    def count_busy(self) -> int:
        """Count the databases with work, and those whose claim is held."""
        return sum(owner.busy or owner.owning for owner in self.owners.values())

    def abort_transactions(self) -> None:
        """Roll back the open transactions that run no statement."""
        for owner in self.owners.values():
            owner.transactions.rollback_quiet()

    async def release_idle(self) -> None:
        """Begin no more requests, and release the databases that have none."""
        # Owners may be added or may claim while others are released.
        for owner in list(self.owners.values()):
            owner.draining = True
            if not owner.busy:
                await owner.release()

    def set_bundle(self, old: Bundle, new: Bundle) -> None:
        """Put a new bundle in force; stop owners that it removes or outdates."""
        self.bundle = new
        withdrawn_databases = list_withdrawn(old, new)
        for database, owner in list(self.owners.items()):
            if database not in new.databases or self._is_outdated(owner, new):
                self._spawn(self._stop_owner(database))
                continue
            withdrawn = frozenset(
                c for c, dbs in withdrawn_databases.items() if database in dbs
            )
            self._spawn(owner.set_bundle(new, withdrawn, fence=bool(withdrawn)))
        self.wake.set()

    def _is_outdated(self, owner: DatabaseOwner, bundle: Bundle) -> bool:
        new = self._make_endpoints(owner.database, bundle)
        return {s: (e.server.address, e.server.slots) for s, e in new.items()} != {
            s: (e.server.address, e.server.slots) for s, e in owner.endpoints.items()
        }

    def _spawn(self, work: object) -> None:
        job = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)

    # -- ownership --

    @Service.task
    async def _ownership_loop(self) -> None:
        while not self.should_stop:
            bundle = self.bundle
            if bundle is not None:
                candidates = self._list_candidates(bundle)
                await asyncio.gather(*(self._consider(d) for d in candidates))
            settled = all(
                o.owning or o.claim_manager.seen for o in self.owners.values()
            )
            period = CHECK_PERIOD_S if bundle and settled else FAST_CHECK_PERIOD_S
            try:
                await asyncio.wait_for(self.wake.wait(), period)
            except TimeoutError:
                continue
            self.wake.clear()

    def _list_candidates(self, bundle: Bundle) -> list[DatabaseId]:
        """Return the databases that this host owns or is a candidate to own."""
        ring = self.members.get_ring()
        seen = (self.members.ring_version, bundle.version)
        if seen != self.candidates_key:
            local_host = self.settings.host
            possible = [
                d for d in bundle.databases if may_rank(ring, d, local_host, CANDIDATES)
            ]
            self.candidates = [
                d for d in possible if local_host in rank_hosts(ring, d, CANDIDATES)
            ]
            self.candidates_key = seen
        return list({*self.candidates, *self.owners})

    async def _consider(self, database: DatabaseId, tries: int = FITNESS_TRIES) -> None:
        lock = self.locks.setdefault(database, asyncio.Lock())
        if lock.locked() or self.should_stop:
            return
        async with lock:
            await self._update_ownership(database, tries)

    async def _update_ownership(self, database: DatabaseId, tries: int) -> None:
        owner = self.owners.get(database)
        self._clear_expired_unfit(database, owner)
        if owner is not None and owner.owning and not self.draining:
            return
        unfit: set[str] = set()
        first = not self.draining and await self._is_first(database, tries, unfit)
        if owner is None:
            if not first:
                return
            owner = await self._start_owner(database)
        claim = owner.claim_manager.seen
        facts = OwnershipFacts(
            local_host=self.settings.host,
            first=first,
            claim=claim,
            holding=owner.owning,
            draining=self.draining,
            claimant_alive=await self._is_claimant_fit(database, claim, tries, unfit),
        )
        action = decide_action(facts)
        owner.claiming = action is OwnershipAction.CLAIM
        if action is OwnershipAction.CLAIM:
            await owner.try_claim()
        elif action is OwnershipAction.DEFER and not first:
            await self._stop_owner(database)

    def _clear_expired_unfit(
        self, database: DatabaseId, owner: DatabaseOwner | None
    ) -> None:
        # The time is kept here because an unfit owner is stopped and removed.
        now = read_monotonic_ms()
        if owner is not None and owner.unfit:
            self.unfit_since.setdefault(database, now)
        since = self.unfit_since.get(database)
        if since is not None and now - since >= UNFIT_MS:
            del self.unfit_since[database]
            if owner is not None:
                owner.unfit = False

    async def _is_first(
        self, database: DatabaseId, tries: int, unfit: set[str]
    ) -> bool:
        # Adds the addresses of the unfit hosts that rank higher to ``unfit``.
        ranked = rank_hosts(self.members.get_ring(), database, CANDIDATES)
        for host in ranked:
            if host == self.settings.host:
                return not self.is_unfit(database)
            member = self.members.find(host)
            if member is None:
                continue
            if await self._is_fit(member.address, database, tries):
                return False
            unfit.add(member.address)
        return False

    async def _is_fit(self, address: str, database: DatabaseId, tries: int) -> bool:
        for _ in range(tries):
            try:
                return not await self.links.is_unfit(address, database)
            except (PeerUnreachableError, PeerLostError):
                continue
        return False

    async def _is_claimant_fit(
        self,
        database: DatabaseId,
        claim: Claim | None,
        tries: int,
        unfit: set[str],
    ) -> bool:
        if claim is None or not claim.host or claim.host == self.settings.host:
            return False
        if claim.address in unfit:
            return False
        for _ in range(tries):
            try:
                return await self.links.is_holding(claim.address, database)
            except (PeerUnreachableError, PeerLostError):
                continue
        return False

    # -- owners --

    def _make_endpoints(
        self, database: DatabaseId, bundle: Bundle
    ) -> dict[ServerId, Endpoint]:
        if database not in bundle.databases:
            return {}
        return {
            server: Endpoint(
                server=bundle.servers[server],
                user=self.settings.backend_user,
                password=self.settings.backend_password,
                host=self.settings.host,
            )
            for server in bundle.databases[database].servers
        }

    async def _start_owner(self, database: DatabaseId) -> DatabaseOwner:
        assert self.bundle is not None
        owner = DatabaseOwner(
            database=database,
            local_host=self.settings.host,
            address=self.settings.peer_address,
            endpoints=self._make_endpoints(database, self.bundle),
            bundle=self.bundle,
            hooks=OwnerHooks(
                record_event=self.hooks.record_event,
                ask_witnesses=self._ask_witnesses,
                on_fenced=self.hooks.on_fenced,
                on_bundle_behind=self.hooks.on_bundle_behind,
            ),
            policy=self.policy,
        )
        self.owners[database] = owner
        await owner.start()
        for _ in range(10):
            await asyncio.sleep(FAST_CHECK_PERIOD_S / 2)
            if owner.claim_manager.seen is not None:
                break
        return owner

    async def _stop_owner(self, database: DatabaseId) -> None:
        owner = self.owners.pop(database, None)
        if owner is not None:
            await owner.release()
            # Runs in the background: it may wait for servers that do not answer.
            self._spawn(owner.stop())

    async def _ask_witnesses(self, server_address: str) -> list[bool]:
        others = [
            member.address
            for member in self.members.list_live()
            if member.host != self.settings.host
        ][:WITNESSES]
        answers = await asyncio.gather(
            *(self.links.witness(a, server_address) for a in others),
            return_exceptions=True,
        )
        return [a for a in answers if isinstance(a, bool)]

    async def on_stop(self) -> None:
        """Stop every owner."""
        for job in list(self.jobs):
            job.cancel()
        for database in list(self.owners):
            await self._stop_owner(database)
