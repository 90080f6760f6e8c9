"""Distribution of bundles: watches for, fetches, verifies and applies new ones.

The version in force never decreases.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress

from mode import Service

from ..bundles import EMPTY_BUNDLE, Bundle, Person
from ..decisions.rollout import Offer, StoredBundle, compare_stored, consider_offer
from ..exceptions import ApricotshoreError, PlatformConflictError, PlatformError
from ..identifiers import BundleVersion, PersonId, StoreEra
from ..manifests import (
    Pieces,
    Root,
    decode_root,
    encode_root,
    join_changed,
    list_sections,
    verify_root,
)
from .bundlerestore import CURRENT_KEY, confirm_era, write_back
from .members import MembershipService
from .peers import PeerLinks, PeerLostError, PeerUnreachableError
from .platform import ObjectKind, PlatformClient, Purpose, Stored

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
SLOW_POLL_S = 60.0
GOSSIP_PAUSE_S = 0.1
# Time in which hosts that hold a later bundle write it back to a restored platform.
CONFIRM_AFTER_S = 3.0
PIECES_PER_FETCH = 64


FetchPieces = Callable[[list[str]], Awaitable[list[str]]]


def _is_same(found: Root | None, held: Root | None) -> bool:
    """Return whether two roots are of the same content, whoever signed them."""
    if found is None or held is None:
        return found is held
    return found.signed_text() == held.signed_text()


class BundleManager(Service):
    """Manages the bundle in force at this host.

    A platform that came back from an older copy gets the bundle in force again.

    Parameters
    ----------
    platform, links, members
        Sources of bundles.
    trusted
        People whose signatures are accepted on the first bundle.
    on_bundle
        Called with the old and the new bundle when a new one has been applied.
    on_event
        Called with a step and its detail, for the event log.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        links: PeerLinks,
        members: MembershipService,
        trusted: tuple[Person, ...],
        on_bundle: Callable[[Bundle, Bundle], None],
        on_event: Callable[[str, str], None],
    ) -> None:
        super().__init__()
        self.platform = platform
        self.links = links
        self.members = members
        self.trusted = {person.person: person for person in trusted}
        self.on_bundle = on_bundle
        self.on_event = on_event
        self.bundle: Bundle = EMPTY_BUNDLE
        self.root: Root | None = None
        self.texts: dict[str, str] = {}
        self.update_lock = asyncio.Lock()
        self.update_requested = asyncio.Event()
        self.newer_peer_seen = asyncio.Event()

    # -- requests of peers --

    def get_root(self) -> str:
        """Return the encoded root in force, empty if there is none."""
        return "" if self.root is None else encode_root(self.root)

    def get_pieces(self, digests: list[str]) -> list[str]:
        """Return the pieces with these digests; an unknown piece is empty."""
        return [self.texts.get(d, "") for d in digests[:PIECES_PER_FETCH]]

    # -- applying bundles --

    def _get_people(self) -> dict[PersonId, Person]:
        return self.bundle.people if self.root is not None else self.trusted

    async def _apply_root(self, text: str, fetch: FetchPieces) -> None:
        root = decode_root(text)
        async with self.update_lock:
            if consider_offer(self.bundle.version, root.version) is Offer.IGNORE:
                return
            verify_root(root, self._get_people())
            old = self.bundle
            before = Pieces(root=self.root, texts=self.texts) if self.root else None
            after = await self._gather_pieces(root, fetch)
            bundle = join_changed(old, before, after)
            self.bundle, self.root, self.texts = bundle, root, after.texts
        self.members.set_bundle(bundle.version)
        self.on_event("in-force", f"version {bundle.version}")
        self.on_bundle(old, bundle)

    async def _gather_pieces(self, root: Root, fetch: FetchPieces) -> Pieces:
        pages = [d for d in root.pages if d != "-"]
        fetched = await self._fetch_missing(pages, fetch)
        sections = [d for page in fetched.values() for d in list_sections(page)]
        fetched |= await self._fetch_missing(sections, fetch)
        return Pieces(root=root, texts=self.texts | fetched)

    async def _fetch_missing(
        self, digests: list[str], fetch: FetchPieces
    ) -> dict[str, str]:
        missing = [d for d in digests if d not in self.texts]
        found: dict[str, str] = {}
        for start in range(0, len(missing), PIECES_PER_FETCH):
            part = missing[start : start + PIECES_PER_FETCH]
            found.update(zip(part, await fetch(part), strict=True))
        return found

    async def _fetch_from_platform(self, digests: list[str]) -> list[str]:
        texts: list[str] = []
        for digest in digests:
            stored = await self.platform.read(ObjectKind.PIECE, digest, Purpose.ROLLOUT)
            texts.append("" if stored is None else stored.value)
        return texts

    def _choose_source(self) -> FetchPieces:
        # A new host fetches from peers first, to keep load off the platform. The
        # pieces of a change that was just accepted are only at the platform yet,
        # and waiting for a frozen peer would delay the rollout.
        if self.root is None:
            return self._fetch_from_any
        return self._fetch_from_platform

    async def _fetch_from_any(self, digests: list[str]) -> list[str]:
        texts = await self._fetch_from_random_peer(digests)
        missing = [d for d, text in zip(digests, texts, strict=True) if not text]
        found = dict(
            zip(missing, await self._fetch_from_platform(missing), strict=True)
        )
        return [text or found[d] for d, text in zip(digests, texts, strict=True)]

    async def _fetch_from_random_peer(self, digests: list[str]) -> list[str]:
        local_host = self.members.fleet.local_member.host
        peers = [m.address for m in self.members.list_live() if m.host != local_host]
        if peers:
            with suppress(PeerUnreachableError, PeerLostError):
                return await self.links.fetch_pieces(random.choice(peers), digests)
        return [""] * len(digests)

    async def update_from_platform(self) -> Stored | None:
        """Read the root from the platform once and apply it; return the object."""
        stored = await self.platform.read(
            ObjectKind.BUNDLE, CURRENT_KEY, Purpose.ROLLOUT
        )
        await self._apply_stored(stored)
        return stored

    async def _apply_stored(self, stored: Stored | None) -> None:
        """Apply the platform's root, or write the one in force back if it is lost."""
        found = decode_root(stored.value) if stored is not None else None
        held = self.root
        match compare_stored(
            self.bundle.version,
            found.version if found is not None else BundleVersion(0),
            same_content=_is_same(found, held),
        ):
            case StoredBundle.NEWER if stored is not None:
                await self._apply_root(stored.value, self._choose_source())
            case StoredBundle.LOST if held is not None:
                await self._write_back(stored, Pieces(root=held, texts=self.texts))
            case StoredBundle.CONFLICT:
                self.on_event("conflict", f"another version {self.bundle.version}")

    async def _write_back(self, stored: Stored | None, held: Pieces) -> None:
        try:
            await write_back(self.platform, stored, held)
        except PlatformConflictError:
            # Another host was first, or a later bundle was accepted; it is read next.
            return
        self.on_event("written-back", f"version {held.root.version}")

    async def update_from_peer(self, address: str) -> None:
        """Fetch the root of a peer and apply it."""

        async def fetch(digests: list[str]) -> list[str]:
            return await self.links.fetch_pieces(address, digests)

        text = await self.links.fetch_root(address)
        if text:
            await self._apply_root(text, fetch)

    def request_update(self) -> None:
        """Check the platform for a newer bundle, which a database's claim requires."""
        self.update_requested.set()

    # -- loops --

    @Service.task
    async def _watch_loop(self) -> None:
        seen, backoff_s = 0, INITIAL_BACKOFF_S
        seen_in: StoreEra | None = None
        while not self.should_stop:
            try:
                if self.root is not None and not self.members.is_watcher():
                    await self.sleep(SLOW_POLL_S * random.uniform(0.5, 1.0))
                    await self.update_from_platform()
                    continue
                era = self.platform.eras.era
                if seen_in is None or seen_in != era:
                    stored = await self.update_from_platform()
                    seen = 0 if stored is None else stored.version
                    seen_in = era
                    backoff_s = INITIAL_BACKOFF_S
                    continue
                stored = await self.platform.watch(
                    ObjectKind.BUNDLE, CURRENT_KEY, seen, Purpose.ROLLOUT
                )
                if stored is not None:
                    seen = stored.version
                    await self._apply_stored(stored)
                backoff_s = INITIAL_BACKOFF_S
            except PlatformError:
                # The platform may have been restored: versions may be given out again.
                seen_in = None
                await self.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            except ApricotshoreError as error:
                self.on_event("refused", error.format_message())
                await self.sleep(MAX_BACKOFF_S)

    @Service.task
    async def _confirm_loop(self) -> None:
        """Confirm each era of the platform once hosts had time to write back."""
        confirmed: StoreEra | None = None
        while not self.should_stop:
            await self.sleep(CONFIRM_AFTER_S)
            era = self.platform.eras.era
            if era == confirmed or self.root is None or not self.members.is_watcher():
                continue
            await self.sleep(CONFIRM_AFTER_S)
            try:
                await self.update_from_platform()
                if era is not None and era == self.platform.eras.era:
                    await confirm_era(self.platform, era)
                    confirmed = era
            except ApricotshoreError as error:
                self.on_event("unconfirmed", error.format_message())

    def check_peers(self) -> None:
        """Fetch from a peer if one has a newer bundle than this host."""
        newest = self.members.fleet.newest
        if newest is not None and newest.bundle > self.bundle.version:
            self.newer_peer_seen.set()

    @Service.task
    async def _gossip_loop(self) -> None:
        while not self.should_stop:
            await self.newer_peer_seen.wait()
            self.newer_peer_seen.clear()
            ahead = [
                member
                for member in self.members.list_live()
                if member.bundle > self.bundle.version
            ]
            if ahead:
                await self._try_peer(random.choice(ahead).address)
                await self.sleep(GOSSIP_PAUSE_S)
                self.check_peers()

    async def _try_peer(self, address: str) -> None:
        try:
            await self.update_from_peer(address)
        except (PeerUnreachableError, PeerLostError):
            await self.sleep(GOSSIP_PAUSE_S)
        except ApricotshoreError as error:
            self.on_event("refused", f"from {address}: {error.format_message()}")
            await self.sleep(MAX_BACKOFF_S)

    @Service.task
    async def _update_loop(self) -> None:
        while not self.should_stop:
            await self.update_requested.wait()
            self.update_requested.clear()
            try:
                await self.update_from_platform()
            except ApricotshoreError:
                await self.sleep(INITIAL_BACKOFF_S)
            await self.sleep(GOSSIP_PAUSE_S)

    @property
    def version(self) -> BundleVersion:
        """Version of the bundle in force."""
        return self.bundle.version
