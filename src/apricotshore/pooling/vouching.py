"""Requests and responses by which hosts vouch for each other's configuration."""

import asyncio

from ..freshness import bounds as times
from ..freshness.messages import NO_PROOF, FreshnessRequest, FreshnessResponse
from ..freshness.proofs import Relation, compare_configuration, compare_servers
from ..identifiers import StoreEra, StoreRevision
from ..services.clock import read_boot_ms
from .freshness import Freshness
from .stored_objects import StoredKind

READ_STEP_S = 0.005


class Vouching:
    """What a host tells others of its proofs, and what it takes from theirs.

    Parameters
    ----------
    freshness
        Proofs of this host.
    """

    def __init__(self, *, freshness: Freshness) -> None:
        self.freshness = freshness
        self.eras = freshness.eras

    def make_request(self) -> FreshnessRequest:
        """Return the request to another host."""
        era = self.eras.era
        return FreshnessRequest(
            version=self.freshness.version, era=StoreEra(0) if era is None else era
        )

    async def answer(self, request: FreshnessRequest) -> FreshnessResponse | None:
        """Answer another host, and read the store from now on; None to give none.

        A host without a proof that lasts waits a little for the store's answer.
        """
        freshness, era = self.freshness, self.eras.era
        asked_at = read_boot_ms()
        freshness.observe_question(asked_at)
        known = era, freshness.version
        if era is not None and (request.era, request.version) > known:
            freshness.read_newer(
                StoredKind.CONFIGURATION, (request.era, request.version)
            )
        while freshness.needs_read:
            if read_boot_ms() - asked_at >= times.ANSWER_WAIT_MS:
                break
            await asyncio.sleep(READ_STEP_S)
        return self._make_response()

    def _make_response(self) -> FreshnessResponse | None:
        freshness, now = self.freshness, read_boot_ms()
        configuration = freshness.configuration_state
        servers = freshness.servers_state
        if configuration is None:
            return None
        is_same_era = servers is not None and servers.era == configuration.era
        age_ms = freshness.proofs[StoredKind.CONFIGURATION].tell_age(now)
        servers_age_ms = freshness.proofs[StoredKind.SERVER].tell_age(now)
        return FreshnessResponse(
            version=configuration.version,
            era=configuration.era,
            # An asking host takes a proof as a sign that it has missed no version.
            age_ms=age_ms if freshness.is_certain else NO_PROOF,
            revision=configuration.revision,
            applied=configuration.applied,
            servers_changed=servers.changed if servers else StoreRevision(0),
            servers_age_ms=servers_age_ms if is_same_era else NO_PROOF,
        )

    def observe_response(self, response: FreshnessResponse, asked_at: int) -> bool:
        """Record another host's response; return False if it was of no use.

        Parameters
        ----------
        response
            The response.
        asked_at
            When its request was sent, in milliseconds since boot.
        """
        freshness, era = self.freshness, self.eras.era
        relation = compare_configuration(freshness.configuration_state, era, response)
        if relation is Relation.SAME and response.age_ms != NO_PROOF:
            freshness.is_certain = True
        is_useful = self._observe_relation(
            StoredKind.CONFIGURATION,
            relation,
            (response.era, response.version, response.revision),
            asked_at,
            response.age_ms,
        )
        if response.servers_age_ms != NO_PROOF:
            self._observe_relation(
                StoredKind.SERVER,
                compare_servers(freshness.servers_state, era, response),
                (response.era, response.servers_changed),
                asked_at,
                response.servers_age_ms,
            )
        freshness.check()
        return is_useful

    def _observe_relation(
        self,
        kind: StoredKind,
        relation: Relation,
        state: tuple[int, ...],
        asked_at: int,
        age_ms: int,
    ) -> bool:
        if relation is Relation.SAME:
            self.freshness.proofs[kind].observe_vouched(asked_at, age_ms)
            return self.freshness.is_vouched_for_round(kind)
        return relation is Relation.NEWER and self.freshness.read_newer(kind, state)
