"""Identification of a caller by the digest of its key, and by its route."""

import hashlib
from dataclasses import dataclass

from ..identifiers import DatabaseId, KeyDigest, OrganisationId
from ..queries import FailureCode
from ..routes import Configuration

# Enough to tell the keys of a deployment apart, too few to search for a key by them.
SHOWN_DIGITS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """A caller that may open a session.

    Parameters
    ----------
    database
        Database that it named.
    organisation, key
        Its organisation and the digest of its key; None where it needs no key.
    """

    database: DatabaseId
    organisation: OrganisationId | None = None
    key: KeyDigest | None = None


def digest_key(key: str) -> KeyDigest:
    """Return the SHA-256 digest of a key, in hex digits."""
    data = key.encode(errors="surrogatepass")
    return KeyDigest(hashlib.sha256(data).hexdigest())


def shorten_digest(key: KeyDigest) -> str:
    """Return the digits of a key's digest that may be shown."""
    return key[:SHOWN_DIGITS]


def admit(
    configuration: Configuration, database: DatabaseId, key: KeyDigest | None
) -> Admission | FailureCode:
    """Return a caller's admission, or why it is refused.

    Parameters
    ----------
    configuration
        The configuration in force.
    database
        Database that the caller named.
    key
        Digest of the key that it presented, None without one.
    """
    route = configuration.routes.get(database)
    if route is None:
        return FailureCode.NO_DATABASE
    if configuration.organisations is None or route.public:
        return Admission(database=database)
    for organisation in configuration.organisations.values():
        if key in organisation.keys:
            return Admission(
                database=database, organisation=organisation.organisation, key=key
            )
    return FailureCode.UNAUTHORIZED


def is_admitted(configuration: Configuration, admission: Admission) -> bool:
    """Return whether an admitted caller may still be served, and as who it was.

    A caller with a key is judged by the key alone. One without is not served any more
    once its database needs a key. A database without a route needs none: its statements
    are refused for that.
    """
    organisations = configuration.organisations
    if admission.organisation is None:
        route = configuration.routes.get(admission.database)
        return organisations is None or route is None or route.public
    if organisations is None:
        return False
    organisation = organisations.get(admission.organisation)
    return organisation is not None and admission.key in organisation.keys
