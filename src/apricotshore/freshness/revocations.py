"""Keys that a version of the configuration revokes."""

from ..identifiers import KeyDigest, OrganisationId
from ..routes import Configuration

# Digits of a key's digest that tell keys apart in log lines.
SHOWN_DIGITS = 8


def show_key(digest: KeyDigest) -> str:
    """Return the part of a key's digest that may be shown."""
    return digest[:SHOWN_DIGITS]


def list_revoked(before: Configuration, after: Configuration) -> list[str]:
    """List the keys that a configuration removes or assigns to another organisation.

    Parameters
    ----------
    before, after
        The configuration in force and the one that replaces it.

    Returns
    -------
    list
        The shown part of each key's digest, in order.
    """
    kept = _map_keys(after)
    found = {
        show_key(key)
        for key, organisation in _map_keys(before).items()
        if kept.get(key) != organisation
    }
    return sorted(found)


def _map_keys(configuration: Configuration) -> dict[KeyDigest, OrganisationId]:
    organisations = configuration.organisations or {}
    return {key: o.organisation for o in organisations.values() for key in o.keys}
