"""Stored form of the evidence that owners record in the platform."""

import json

from .decisions.rollout import DatabaseEvidence, ServerEvidence
from .exceptions import ApricotshoreError
from .groups import Mark
from .identifiers import (
    BundleVersion,
    CallerId,
    DatabaseId,
    HostId,
    Position,
    ServerId,
    Term,
)


def encode_evidence(evidence: DatabaseEvidence) -> str:
    """Return the stored form of a record."""
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
    """Read the stored form of a record.

    Raises
    ------
    ApricotshoreError
        When the text is not a record.
    """
    try:
        value = json.loads(text)
        term, position = value["fence"]
        return DatabaseEvidence(
            database=DatabaseId(value["database"]),
            version=BundleVersion(value["version"]),
            owner=HostId(value["owner"]),
            fence=Mark(term=Term(term), position=Position(position)),
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
