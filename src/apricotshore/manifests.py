"""Signed manifests: a bundle is split into pieces that are stored by digest.

The root lists the digest of each page; a page lists the digest of each of its
sections. A host fetches only the pieces that it does not have.
"""

import json
from dataclasses import dataclass, field

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from .bundles import (
    EMPTY_BUNDLE,
    Bundle,
    Person,
    change_bundle,
    digest_text,
    list_withdrawn,
)
from .exceptions import SignatureError
from .identifiers import BundleVersion, CallerId, DatabaseId, PersonId

# With this number, the root and a page have about the same size at 48,000 sections.
PAGES = 256
SECTION_TEMPLATE = "[{name}]\n{body}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Signature:
    """A person's signature of a root."""

    person: PersonId
    value: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Withdrawal:
    """A caller and the databases that it loses access to."""

    caller: CallerId
    databases: tuple[DatabaseId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Root:
    """The signed root of a bundle.

    Parameters
    ----------
    version
        Version of the bundle.
    pages
        Digest of each page, ``-`` for an empty page.
    withdrawn
        Callers that lose access to databases with this version.
    attempt
        Id of the approval attempt; after a lost answer, it shows whether that
        attempt was stored.
    author, approver
        Signatures of author and approver; None until signed.
    """

    version: BundleVersion
    pages: tuple[str, ...]
    withdrawn: tuple[Withdrawal, ...] = ()
    attempt: str = ""
    author: Signature | None = None
    approver: Signature | None = None

    def signed_text(self) -> bytes:
        """Return the bytes that the signatures cover."""
        withdrawn = [[w.caller, *w.databases] for w in self.withdrawn]
        return json.dumps(
            ["apricotshore", self.version, withdrawn, *self.pages]
        ).encode()


@dataclass(frozen=True, kw_only=True, slots=True)
class Pieces:
    """A root and the texts of its pieces, keyed by digest."""

    root: Root
    texts: dict[str, str] = field(default_factory=dict)


def _find_page(section: str) -> int:
    return int(digest_text(section)[:8], 16) % PAGES


def split_bundle(bundle: Bundle, old: Bundle) -> Pieces:
    """Split a bundle into pieces.

    Parameters
    ----------
    bundle
        The bundle.
    old
        The previous bundle, for the list of withdrawals.

    Returns
    -------
    Pieces
        The unsigned root and all pieces.
    """
    texts: dict[str, str] = {}
    pages: list[dict[str, str]] = [{} for _ in range(PAGES)]
    for name, body in bundle.sections.items():
        text = SECTION_TEMPLATE.format(name=name, body=body)
        digest = digest_text(text)
        texts[digest] = text
        pages[_find_page(name)][name] = digest
    digests: list[str] = []
    for page in pages:
        text = json.dumps(page, sort_keys=True)
        digest = digest_text(text) if page else "-"
        if page:
            texts[digest] = text
        digests.append(digest)
    withdrawn = tuple(
        Withdrawal(caller=caller, databases=databases)
        for caller, databases in sorted(list_withdrawn(old, bundle).items())
    )
    root = Root(version=bundle.version, pages=tuple(digests), withdrawn=withdrawn)
    return Pieces(root=root, texts=texts)


def list_sections(page_text: str) -> list[str]:
    """Return the digests of the sections of a page, sorted."""
    return sorted(json.loads(page_text).values())


def join_pieces(pieces: Pieces) -> Bundle:
    """Assemble a bundle from all its pieces; see `join_changed`."""
    return join_changed(EMPTY_BUNDLE, None, pieces)


def join_changed(old: Bundle, before: Pieces | None, after: Pieces) -> Bundle:
    """Assemble a bundle, parsing only the pieces that have changed.

    Parameters
    ----------
    old
        Bundle that was assembled from ``before``.
    before
        Pieces of the old bundle; None when there is none.
    after
        Pieces of the new bundle. Pieces that are no longer referenced are removed
        from it.

    Raises
    ------
    SignatureError
        When a piece is missing or does not match its digest.
    """
    changed: dict[str, str] = {}
    removed: set[str] = set()
    for index, digest in enumerate(after.root.pages):
        old_digest = before.root.pages[index] if before is not None else "-"
        if digest == old_digest:
            continue
        new_sections = _read_page(after, digest)
        old_sections = _read_page(before, old_digest) if before is not None else {}
        removed.update(old_sections.keys() - new_sections.keys())
        for name, section in new_sections.items():
            if old_sections.get(name) != section:
                changed[name] = _get_piece(after, section)
        stale = {old_digest, *old_sections.values()} - {digest, *new_sections.values()}
        for gone in stale:
            after.texts.pop(gone, None)
    source = f"bundle {after.root.version}"
    return change_bundle(old, after.root.version, changed, removed, source)


def _read_page(pieces: Pieces, digest: str) -> dict[str, str]:
    if digest == "-":
        return {}
    page = json.loads(_get_piece(pieces, digest))
    return {str(name): str(section) for name, section in page.items()}


def _get_piece(pieces: Pieces, digest: str) -> str:
    text = pieces.texts.get(digest)
    if text is None:
        raise SignatureError(f"piece {digest} is missing")
    if digest_text(text) != digest:
        raise SignatureError(f"piece {digest} does not match its digest")
    return text


def sign_root(root: Root, person: PersonId, key: Ed25519PrivateKey) -> Signature:
    """Return a person's signature of a root."""
    return Signature(person=person, value=key.sign(root.signed_text()).hex())


def _verify(root: Root, signature: Signature, people: dict[PersonId, Person]) -> None:
    person = people.get(signature.person)
    if person is None:
        raise SignatureError(f"no accepted key for {signature.person!r}")
    key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(person.public_key))
    try:
        key.verify(bytes.fromhex(signature.value), root.signed_text())
    except (InvalidSignature, ValueError):
        raise SignatureError(
            f"the signature of {signature.person!r} "
            f"does not match bundle {root.version}"
        ) from None


def verify_root(root: Root, people: dict[PersonId, Person]) -> None:
    """Verify both signatures of a root.

    Parameters
    ----------
    root
        The signed root.
    people
        Accepted keys: those of the previous bundle.

    Raises
    ------
    SignatureError
        When a signature is missing or invalid, a signer is unknown, or author and
        approver are the same person.
    """
    if root.author is None:
        raise SignatureError(f"bundle {root.version} has no author's signature")
    _verify(root, root.author, people)
    if root.approver is None:
        raise SignatureError(f"bundle {root.version} is not approved")
    if root.approver.person == root.author.person:
        raise SignatureError(
            f"the author {root.author.person!r} cannot approve bundle {root.version}"
        )
    _verify(root, root.approver, people)


def verify_author(root: Root, people: dict[PersonId, Person]) -> None:
    """Verify the author's signature of a proposal."""
    if root.author is None:
        raise SignatureError(f"bundle {root.version} has no author's signature")
    _verify(root, root.author, people)


def _write_signature(signature: Signature | None) -> list[str]:
    return [signature.person, signature.value] if signature else []


def _read_signature(value: object) -> Signature | None:
    if not isinstance(value, list) or len(value) != 2:
        return None
    return Signature(person=PersonId(str(value[0])), value=str(value[1]))


def encode_root(root: Root) -> str:
    """Serialize a root."""
    return json.dumps(
        {
            "version": root.version,
            "pages": list(root.pages),
            "withdrawn": [[w.caller, *w.databases] for w in root.withdrawn],
            "attempt": root.attempt,
            "author": _write_signature(root.author),
            "approver": _write_signature(root.approver),
        }
    )


def decode_root(text: str) -> Root:
    """Deserialize a root.

    Raises
    ------
    SignatureError
        When the text is not a valid root.
    """
    try:
        value = json.loads(text)
        return Root(
            version=BundleVersion(int(value["version"])),
            pages=tuple(str(p) for p in value["pages"]),
            withdrawn=tuple(
                Withdrawal(
                    caller=CallerId(str(caller)),
                    databases=tuple(DatabaseId(str(d)) for d in databases),
                )
                for caller, *databases in value["withdrawn"]
            ),
            attempt=str(value["attempt"]),
            author=_read_signature(value["author"]),
            approver=_read_signature(value["approver"]),
        )
    except (ValueError, TypeError, KeyError) as error:
        raise SignatureError(f"not a bundle root: {error}") from None
