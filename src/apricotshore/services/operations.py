"""Operators' actions on bundles: proposal, approval, history and proofs."""

import asyncio
import hashlib
import uuid
from dataclasses import dataclass, replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..bundles import EMPTY_BUNDLE, Bundle
from ..decisions.rollout import DatabaseEvidence, Proof, evaluate_withdrawal
from ..evidence import verify_evidence
from ..exceptions import (
    ApricotshoreError,
    ConflictError,
    NotProvedError,
    PlatformConflictError,
    PlatformError,
    SignatureError,
)
from ..identifiers import (
    BundleVersion,
    CallerId,
    DatabaseId,
    HostId,
    PersonId,
    StoreEra,
)
from ..manifests import (
    Pieces,
    Root,
    decode_root,
    encode_root,
    join_pieces,
    list_sections,
    sign_root,
    split_bundle,
    verify_author,
    verify_root,
)
from .bundlerestore import CONFIRMED_ERA_KEY, CURRENT_KEY, write_history
from .platform import RETRY_S, WRITE_TRIES, ObjectKind, PlatformClient, Purpose

# A platform that was never restored has lost nothing.
FIRST_ERA = StoreEra(1)


@dataclass(frozen=True, kw_only=True, slots=True)
class CurrentBundle:
    """The bundle in force, and the object that stores its root.

    Parameters
    ----------
    root, bundle
        The bundle and its root; None and empty without one.
    object_version
        Version of the object, which counts within one era of the platform.
    era
        Era of the platform in which it was read.
    """

    root: Root | None
    bundle: Bundle
    object_version: int
    era: StoreEra


def hash_password(password: str) -> str:
    """Return the doubly hashed form of a password, as bundles store it."""
    once = hashlib.sha1(password.encode(), usedforsecurity=False).digest()
    return "*" + hashlib.sha1(once, usedforsecurity=False).hexdigest()


async def _read_piece(platform: PlatformClient, digest: str) -> str:
    stored = await platform.read(ObjectKind.PIECE, digest, Purpose.SIGN_OFF)
    return "" if stored is None else stored.value


async def read_bundle(platform: PlatformClient, root: Root) -> Bundle:
    """Read the pieces of a root from the platform and join them to a bundle."""
    texts: dict[str, str] = {}
    for page in root.pages:
        if page == "-":
            continue
        texts[page] = await _read_piece(platform, page)
        for digest in list_sections(texts[page] or "{}"):
            texts[digest] = await _read_piece(platform, digest)
    return join_pieces(Pieces(root=root, texts=texts))


async def read_current_bundle(platform: PlatformClient) -> CurrentBundle:
    """Read the bundle in force from the platform."""
    stored = await platform.read(ObjectKind.BUNDLE, CURRENT_KEY, Purpose.SIGN_OFF)
    era = platform.eras.era or StoreEra(0)
    if stored is None:
        return CurrentBundle(root=None, bundle=EMPTY_BUNDLE, object_version=0, era=era)
    root = decode_root(stored.value)
    bundle = await read_bundle(platform, root)
    return CurrentBundle(
        root=root, bundle=bundle, object_version=stored.version, era=era
    )


def make_proposal_name(root: Root) -> str:
    """Return the name under which a proposal is stored: version and digest."""
    digest = hashlib.sha256(root.signed_text()).hexdigest()[:8]
    return f"{root.version}-{digest}"


async def propose_bundle(
    platform: PlatformClient, bundle: Bundle, author: PersonId, key: Ed25519PrivateKey
) -> str:
    """Store a bundle, signed by its author, for approval by another person.

    Returns
    -------
    str
        Name of the proposal.

    Raises
    ------
    ConflictError
        If its version does not follow the version in force.
    """
    current = await read_current_bundle(platform)
    expected = current.bundle.version + 1
    if bundle.version != expected:
        raise ConflictError(
            f"version {current.bundle.version} is in force: expected version "
            f"{expected}, got {bundle.version}"
        )
    pieces = split_bundle(bundle, current.bundle)
    root = replace(pieces.root, author=sign_root(pieces.root, author, key))
    verify_author(root, current.bundle.people or bundle.people)
    for digest, text in pieces.texts.items():
        if digest not in (current.root.pages if current.root else ()):
            await platform.write_repeatedly(
                ObjectKind.PIECE, digest, text, Purpose.SIGN_OFF
            )
    name = make_proposal_name(root)
    await platform.write_repeatedly(
        ObjectKind.PROPOSAL, name, encode_root(root), Purpose.SIGN_OFF
    )
    return name


async def approve_bundle(
    platform: PlatformClient, name: str, approver: PersonId, key: Ed25519PrivateKey
) -> Root:
    """Approve a proposal and put it in force by one conditional update.

    Parameters
    ----------
    platform
        Client of the platform.
    name
        Name of the proposal.
    approver, key
        The person who approves and the private key to sign with.

    Returns
    -------
    Root
        The accepted root.

    Raises
    ------
    ConflictError
        If another bundle of this version was accepted first, or may have been
        accepted and lost by the platform since.
    SignatureError
        If a signature is invalid or the approver is the author.
    """
    stored = await platform.read(ObjectKind.PROPOSAL, name, Purpose.SIGN_OFF)
    if stored is None:
        raise ApricotshoreError(f"proposal {name!r} does not exist")
    proposal = decode_root(stored.value)
    current = await read_current_bundle(platform)
    _check_version(proposal, current)
    await _check_era(platform, current)
    bundle = await read_bundle(platform, proposal)
    signed = replace(
        proposal,
        attempt=uuid.uuid4().hex,
        approver=sign_root(proposal, approver, key),
    )
    verify_root(signed, current.bundle.people or bundle.people)
    if current.root is not None:
        await write_history(platform, current.root, Purpose.SIGN_OFF)
    await _accept(platform, signed, current)
    await write_history(platform, signed, Purpose.SIGN_OFF)
    return signed


def _check_version(proposal: Root, current: CurrentBundle) -> None:
    if proposal.version != current.bundle.version + 1:
        raise ConflictError(_describe_accepted(current.root))


async def _check_era(platform: PlatformClient, current: CurrentBundle) -> None:
    """Raise `ConflictError` if the platform may have lost an accepted bundle.

    The hosts write a lost bundle back, and then confirm the platform's era.
    """
    if current.root is None or current.era <= FIRST_ERA:
        return
    confirmed = await platform.read(
        ObjectKind.BUNDLE, CONFIRMED_ERA_KEY, Purpose.SIGN_OFF
    )
    if confirmed is None or confirmed.value != str(current.era):
        raise ConflictError(
            f"the platform came back from an older copy (era {current.era}) and may "
            "have lost a bundle: no host has confirmed the current one yet"
        )


def _describe_accepted(root: Root | None) -> str:
    if root is None or root.author is None or root.approver is None:
        return "another bundle was accepted first"
    return (
        f"version {root.version} by {root.author.person}, approved by "
        f"{root.approver.person}, was accepted first "
        f"(proposal {make_proposal_name(root)})"
    )


async def _accept(
    platform: PlatformClient, root: Root, replaced: CurrentBundle
) -> None:
    value = encode_root(root)
    for _ in range(WRITE_TRIES):
        if platform.eras.era != replaced.era:
            break
        try:
            await platform.write(
                ObjectKind.BUNDLE,
                CURRENT_KEY,
                value,
                Purpose.SIGN_OFF,
                replaced.object_version,
            )
            if platform.eras.era != replaced.era:
                break
            return
        except PlatformConflictError:
            # An earlier attempt of this loop may have been written although its
            # answer was lost; the attempt identifies it.
            current = await read_current_bundle(platform)
            if current.root is not None and current.root.attempt == root.attempt:
                return
            raise ConflictError(_describe_accepted(current.root)) from None
        except PlatformError:
            await asyncio.sleep(RETRY_S)
    raise PlatformError(
        f"could not confirm that version {root.version} was accepted (attempt "
        f"{root.attempt}); run 'bundle status'"
    )


async def list_history(platform: PlatformClient) -> list[Root]:
    """Return all accepted roots, oldest first."""
    items = await platform.list(ObjectKind.HISTORY, Purpose.REPORT)
    roots = {int(item.name): decode_root(item.value) for item in items}
    current = await read_current_bundle(platform)
    if current.root is not None:
        roots[current.root.version] = current.root
    return [roots[version] for version in sorted(roots)]


async def find_withdrawal(
    platform: PlatformClient, caller: CallerId
) -> tuple[BundleVersion, tuple[DatabaseId, ...]]:
    """Return the last version that withdrew a caller, and the databases it lost.

    Raises
    ------
    ApricotshoreError
        If the caller was never withdrawn or has a contract in force.
    """
    current = await read_current_bundle(platform)
    if caller in current.bundle.callers:
        raise ApricotshoreError(f"caller {caller!r} has a contract in force")
    for root in reversed(await list_history(platform)):
        for withdrawal in root.withdrawn:
            if withdrawal.caller == caller:
                return root.version, withdrawal.databases
    raise ApricotshoreError(f"caller {caller!r} was never withdrawn")


@dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawalReport:
    """A withdrawal, the evidence recorded about it and what this proves.

    Parameters
    ----------
    version
        Bundle version that withdrew the caller.
    records
        Verified record of each database that the caller lost.
    unsigned
        Databases whose record has no valid signature of a known signer.
    proof
        Result of the check of the records.
    """

    version: BundleVersion
    records: dict[DatabaseId, DatabaseEvidence]
    unsigned: tuple[DatabaseId, ...]
    proof: Proof


async def prove_withdrawal(
    platform: PlatformClient, caller: CallerId
) -> WithdrawalReport:
    """Check the recorded evidence that a withdrawn caller has lost access.

    Only the platform is read, so this works without access to the fleet. A record
    without a known signer's signature counts as missing.
    """
    version, databases = await find_withdrawal(platform, caller)
    signers = (await read_current_bundle(platform)).bundle.signers
    records: dict[DatabaseId, DatabaseEvidence] = {}
    unsigned: list[DatabaseId] = []
    for database in databases:
        stored = await platform.read(ObjectKind.EVIDENCE, database, Purpose.REPORT)
        if stored is None:
            continue
        try:
            records[database] = verify_evidence(stored.value, signers)
        except SignatureError:
            unsigned.append(database)
    listed = await platform.list(ObjectKind.HOST, Purpose.REPORT)
    hosts = {HostId(item.name) for item in listed}
    for record in records.values():
        hosts.add(record.owner)
        hosts.update(h for s in record.servers for h in s.killed)
    proof = evaluate_withdrawal(
        caller, version, databases, records, tuple(sorted(hosts))
    )
    return WithdrawalReport(
        version=version, records=records, unsigned=tuple(unsigned), proof=proof
    )


def format_report(report: WithdrawalReport) -> list[str]:
    """Return a withdrawal report as lines of text for an operator."""
    proof = report.proof
    lines = [f"caller {proof.caller}: withdrawn by version {report.version}"]
    for database, record in report.records.items():
        last_admitted = dict(record.last_admitted_ms).get(proof.caller)
        refused = dict(record.refused).get(proof.caller, 0)
        lines.append(
            f"  {database}: owner {record.owner}, version {record.version}, "
            f"last statement let through {last_admitted or 'none known'}, "
            f"refused {refused}"
        )
        lines.extend(
            f"    {s.server}: confirmed {s.confirmed_at_ms}, "
            f"connections closed of {', '.join(s.killed) or 'nobody'}"
            for s in record.servers
        )
    for line in proof.hosts:
        text = line.evidence.value if line.evidence else "no evidence"
        lines.append(f"  host {line.host}: {text}")
    lines.extend(f"  {d}: the record is not signed" for d in report.unsigned)
    lines.extend(f"  missing: {text}" for text in proof.missing)
    verdict = "proved" if proof.proved else "not proved"
    when = f" from {proof.in_force_at_ms} ms" if proof.proved else ""
    lines.append(f"{verdict}{when}")
    return lines


def require_proof(proof: Proof) -> None:
    """Raise NotProvedError if a withdrawal is not proved."""
    if not proof.proved:
        raise NotProvedError(f"the withdrawal of {proof.caller!r} is not proved")
