"""Recording of evidence about withdrawals in the platform."""

import random
from collections.abc import Callable, Mapping

from mode import Service

from ..decisions.rollout import DatabaseEvidence
from ..events import Topic
from ..evidence import EvidenceKey, sign_evidence
from ..exceptions import PlatformError
from ..identifiers import DatabaseId, HostId
from .members import MembershipService
from .owner import DatabaseOwner
from .platform import ObjectKind, PlatformClient, Purpose

# Evidence changes with each attempt of a withdrawn caller.
SHORTEST_PERIOD_S = 0.4
LONGEST_PERIOD_S = 0.8


class EvidenceWriter(Service):
    """Service that records what the owners on this host know of withdrawals.

    Evidence is written once, and again in a platform that came back from an older
    copy.

    Parameters
    ----------
    host
        This host.
    platform
        Client of the platform.
    members
        Membership, for the hosts that have confirmed a bundle.
    owners
        The owners on this host, by database.
    signing_key
        Key that evidence is signed with, None to leave it unsigned.
    record_event
        Records an event: topic, subject, step and detail.
    """

    def __init__(
        self,
        *,
        host: HostId,
        platform: PlatformClient,
        members: MembershipService,
        owners: Mapping[DatabaseId, DatabaseOwner],
        signing_key: EvidenceKey | None,
        record_event: Callable[[Topic, str, str, str], None],
    ) -> None:
        super().__init__()
        self.host = host
        self.platform = platform
        self.members = members
        self.owners = owners
        self.signing_key = signing_key
        self.record_event = record_event
        self.pending: dict[DatabaseId, DatabaseOwner] = {}
        self.written: dict[DatabaseId, str] = {}
        self.failed: set[DatabaseId] = set()
        platform.eras.listeners.append(self._forget_written)

    def request(self, owner: DatabaseOwner) -> None:
        """Have an owner's evidence written."""
        self.pending[owner.database] = owner

    def _forget_written(self) -> None:
        for database in self.written:
            owner = self.owners.get(database)
            if owner is not None:
                self.request(owner)
        self.written.clear()

    @Service.task
    async def _write_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(random.uniform(SHORTEST_PERIOD_S, LONGEST_PERIOD_S))
            for owner in list(self.owners.values()):
                if owner.withdrawn:
                    self.pending.setdefault(owner.database, owner)
            for owner in list(self.pending.values()):
                await self._write(owner)

    async def _write(self, owner: DatabaseOwner) -> None:
        database = owner.database
        evidence = self._collect(owner)
        if evidence is None:
            self.pending.pop(database, None)
            return
        value = sign_evidence(evidence, self.signing_key)
        if self.written.get(database) == value:
            self.pending.pop(database, None)
            return
        try:
            await self.platform.write(
                ObjectKind.EVIDENCE, database, value, Purpose.EVIDENCE
            )
        except PlatformError as error:
            self._record_failure(database, error)
            return
        self.failed.discard(database)
        self.written[database] = value
        self.pending.pop(database, None)
        text = f"version {evidence.version} fenced at {len(evidence.servers)} servers"
        self.record_event(Topic.WITHDRAWAL, database, "recorded", text)

    def _record_failure(self, database: DatabaseId, error: PlatformError) -> None:
        """Record that evidence is not written yet, once until it is."""
        if database not in self.failed:
            self.failed.add(database)
            detail = error.format_message()
            self.record_event(Topic.WITHDRAWAL, database, "not recorded", detail)

    def _collect(self, owner: DatabaseOwner) -> DatabaseEvidence | None:
        """Return what an owner knows, None if it holds no claim."""
        claim = owner.claim_manager.claim
        if claim is None:
            return None
        hosts = tuple(
            m.host for m in self.members.list_live() if m.bundle >= claim.bundle
        )
        last_admitted = {
            c: t for c, t in owner.runner.admitted_at.items() if c in owner.withdrawn
        }
        refused = {c: n for c, n in owner.refusals.items() if c in owner.withdrawn}
        return DatabaseEvidence(
            database=owner.database,
            version=claim.bundle,
            owner=self.host,
            fence=owner.sessions.min_position,
            servers=owner.claim_manager.list_evidence(),
            hosts=tuple(sorted(hosts)),
            last_admitted_ms=tuple(sorted(last_admitted.items())),
            refused=tuple(sorted(refused.items())),
        )
