"""Serialization and signing of evidence that owners store in the platform."""

import json
from dataclasses import dataclass

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from .decisions.rollout import DatabaseEvidence, ServerEvidence
from .exceptions import ApricotshoreError, SignatureError
from .groups import LogPosition
from .identifiers import (
    BundleVersion,
    CallerId,
    DatabaseId,
    HostId,
    Position,
    ServerId,
    SignerId,
    Term,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceKey:
    """Private key for signing evidence, and its signer name in the bundle."""

    signer: SignerId
    key: Ed25519PrivateKey


def sign_evidence(evidence: DatabaseEvidence, signing_key: EvidenceKey | None) -> str:
    """Return a signed record, or an unsigned one without a key."""
    record = encode_evidence(evidence)
    signer = signing_key.signer if signing_key else ""
    signature = signing_key.key.sign(record.encode()).hex() if signing_key else ""
    return json.dumps({"record": record, "signer": signer, "signature": signature})


def verify_evidence(text: str, signers: dict[SignerId, str]) -> DatabaseEvidence:
    """Verify and decode a signed record.

    Parameters
    ----------
    text
        The serialized record.
    signers
        Public keys in hex of the signers in the current bundle.

    Raises
    ------
    SignatureError
        When it is not signed by a known signer.
    """
    try:
        value = json.loads(text)
        record = str(value["record"])
        public = Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(signers[SignerId(value["signer"])])
        )
        public.verify(bytes.fromhex(value["signature"]), record.encode())
    except (ValueError, KeyError, TypeError, InvalidSignature):
        raise SignatureError("the record is not signed by a known signer") from None
    return decode_evidence(record)


def encode_evidence(evidence: DatabaseEvidence) -> str:
    """Serialize an evidence record."""
    return json.dumps(
        {
            "database": evidence.database,
            "version": evidence.version,
            "owner": evidence.owner,
            "fence": [evidence.fence.term, evidence.fence.position],
            "servers": [
                [s.server, s.confirmed_at_ms, list(s.killed)] for s in evidence.servers
            ],
            "hosts": list(evidence.hosts),
            "last_admitted_ms": [list(pair) for pair in evidence.last_admitted_ms],
            "refused": [list(pair) for pair in evidence.refused],
        },
        sort_keys=True,
    )


def decode_evidence(text: str) -> DatabaseEvidence:
    """Deserialize an evidence record.

    Raises
    ------
    ApricotshoreError
        When the text is not an evidence record.
    """
    try:
        value = json.loads(text)
        term, position = value["fence"]
        return DatabaseEvidence(
            database=DatabaseId(value["database"]),
            version=BundleVersion(value["version"]),
            owner=HostId(value["owner"]),
            fence=LogPosition(term=Term(term), position=Position(position)),
            servers=tuple(
                ServerEvidence(
                    server=ServerId(server),
                    confirmed_at_ms=at_ms,
                    killed=tuple(HostId(h) for h in killed),
                )
                for server, at_ms, killed in value["servers"]
            ),
            hosts=tuple(HostId(h) for h in value["hosts"]),
            last_admitted_ms=_read_pairs(value["last_admitted_ms"]),
            refused=_read_pairs(value["refused"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise ApricotshoreError(f"not an evidence record: {error}") from None


def _read_pairs(pairs: list[list[object]]) -> tuple[tuple[CallerId, int], ...]:
    return tuple((CallerId(str(name)), int(str(count))) for name, count in pairs)
