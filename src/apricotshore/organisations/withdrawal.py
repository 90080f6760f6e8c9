"""Keys that a new configuration withdraws."""

from dataclasses import dataclass

from ..identifiers import KeyDigest, OrganisationId
from ..routes import Configuration


@dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawnKey:
    """A key that identifies its organisation no more.

    Parameters
    ----------
    organisation
        Organisation that it identified.
    key
        Digest of the key.
    """

    organisation: OrganisationId
    key: KeyDigest


def list_withdrawn(old: Configuration, new: Configuration) -> list[WithdrawnKey]:
    """List the keys of a configuration that a new one lacks or gives to others."""
    kept = new.organisations or {}
    return [
        WithdrawnKey(organisation=name, key=key)
        for name, organisation in (old.organisations or {}).items()
        for key in sorted(organisation.keys)
        if name not in kept or key not in kept[name].keys
    ]
