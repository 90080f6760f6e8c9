"""Messages between a host and its allocator."""

from dataclasses import dataclass

from ..identifiers import HostId, OrganisationId


@dataclass(frozen=True, kw_only=True, slots=True)
class Stamp:
    """Mark of one reply of an allocator, which the host's next request repeats.

    A repeated stamp proves that the host sent the request after the reply, however
    long the request was on its way.

    Parameters
    ----------
    epoch
        Random number of the allocator's process.
    until
        Time up to which the reply counts, in milliseconds since the boot of the
        allocator's machine; each reply of a process has a greater one.
    """

    epoch: int
    until: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a host reports of one organisation.

    Parameters
    ----------
    organisation
        The organisation.
    held
        Tokens that the host keeps and has not used.
    returned
        Unused tokens that the host gives back.
    wanted
        Tokens that it wants beside those that it keeps.
    """

    organisation: OrganisationId
    held: int = 0
    returned: int = 0
    wanted: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TokensRequest:
    """Report of a host to its allocator, and its request for tokens.

    Parameters
    ----------
    host, process
        The host and its process.
    hosts
        Number of hosts in its list; 0 when the list lacks the entry of its process.
    digest
        Digest of that list; equal for equal lists.
    settled
        Whether the lists of all live hosts are known to contain that list.
    stamp
        Stamp of the allocator's last reply, None while the host may be counted by
        another allocator.
    demands
        Organisations that were active recently.
    """

    host: HostId
    process: int
    hosts: int
    digest: int = 0
    settled: bool = False
    stamp: Stamp | None = None
    demands: tuple[Demand, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Lease of a host on tokens of one organisation.

    Parameters
    ----------
    organisation
        The organisation.
    tokens
        All tokens of the lease, as of the sending of the request: those that the
        host kept, as far as they are renewed, and new ones.
    spare
        Tokens beyond its usage that the host may keep at present.
    retry_ms
        Time until the host's next token, 0 when it got what it wanted.
    """

    organisation: OrganisationId
    tokens: int
    spare: int = 0
    retry_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TokensReply:
    """Answer of an allocator.

    Parameters
    ----------
    validity_ms
        How long the leases are valid, from the sending of the request.
    settled
        Whether the lists of all live hosts are known to contain that of the request.
    leading
        Whether this allocator hands out more than half of the tokens, as only one
        can.
    referral
        Another allocator that does so, None if none is known.
    stamp
        Stamp for the host's next request.
    grants
        Leases on the tokens of the request's organisations that have a limit.
    """

    validity_ms: int
    settled: bool
    stamp: Stamp
    leading: bool = False
    referral: HostId | None = None
    grants: tuple[Grant, ...] = ()
