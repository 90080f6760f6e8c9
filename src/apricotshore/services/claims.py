"""Claim rows: taking over, raising and releasing the ownership of a database."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..groups import Claim, LogPosition
from ..identifiers import BundleVersion, HostId, OwnerEpoch
from .backends import (
    CONTROL_TIMEOUT_S,
    BackendConnection,
    LostConnectionError,
    StatementError,
    kill_foreign_connections,
    read_claim,
    wait_commit,
)
from .executor import COMMIT_WAIT_MS, SCHEMA

NO_OWNER = HostId("")


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimResult:
    """A claim that was acquired, and the log position at which it took effect.

    Parameters
    ----------
    claim
        The claim.
    min_position
        Log position at or after everything that was committed before this host
        became the only one connected to the primary.
    """

    claim: Claim
    min_position: LogPosition


async def write_claim(
    connection: BackendConnection, old: Claim | None, new: Claim
) -> bool:
    """Replace the claim row durably, provided that it still has its old epoch.

    Parameters
    ----------
    connection
        Connection to the primary, opened with its term.
    old
        Claim to replace; None for the first claim.
    new
        Claim to write.

    Returns
    -------
    bool
        False when another host wrote its claim first.

    Raises
    ------
    LostConnectionError
        When the outcome is unknown.
    """
    if old is None:
        for statement in SCHEMA:
            await connection.run(statement, CONTROL_TIMEOUT_S)
        sql = (
            "INSERT INTO apricotshore_claim (one, epoch, host, address, bundle) "
            f"VALUES (1, {new.epoch}, '{new.host}', '{new.address}', {new.bundle})"
        )
    else:
        sql = (
            f"UPDATE apricotshore_claim SET epoch = {new.epoch}, "
            f"host = '{new.host}', address = '{new.address}', bundle = {new.bundle} "
            f"WHERE one = 1 AND epoch = {old.epoch}"
        )
    try:
        result = await connection.run(sql, CONTROL_TIMEOUT_S)
    except StatementError:
        return False
    if result.affected_rows != 1:
        return False
    state = await wait_commit(connection, COMMIT_WAIT_MS, confirm=False)
    if not state.durable:
        raise LostConnectionError("the claim is not known to be durable")
    return True


async def take_over(
    connection: BackendConnection,
    local_host: HostId,
    address: str,
    bundle: BundleVersion,
    expected: Claim | None,
) -> Result[ClaimResult, str]:
    """Claim a database for this host and kill the connections of other hosts.

    Parameters
    ----------
    connection
        Connection to the primary, opened with its term.
    local_host, address
        This host and its peer address.
    bundle
        Bundle version that this host has in force.
    expected
        Claim whose owner was found unavailable; None if no claim was seen.

    Returns
    -------
    Result
        The claim, or the reason why the database cannot be claimed.
    """
    old = await read_claim(connection)
    if old is not None and old.bundle > bundle:
        return Err(f"the claim requires bundle {old.bundle}, {bundle} is in force here")
    if old is not None and (expected is None or old.epoch != expected.epoch):
        return Err(f"{old.host} has claimed it in the meantime")
    # An open transaction of the former owner would block the update of the claim row.
    await kill_foreign_connections(connection, local_host)
    epoch = OwnerEpoch(1 if old is None else old.epoch + 1)
    new = Claim(epoch=epoch, host=local_host, address=address, bundle=bundle)
    if not await write_claim(connection, old, new):
        return Err("another host claimed it first")
    await kill_foreign_connections(connection, local_host)
    state = await wait_commit(connection, COMMIT_WAIT_MS, confirm=True)
    if not state.durable:
        raise LostConnectionError("a majority did not confirm the primary")
    return Ok(ClaimResult(claim=new, min_position=state.log_position))


async def raise_bundle(
    connection: BackendConnection, held: Claim, bundle: BundleVersion
) -> Claim | None:
    """Raise the bundle version that a held claim requires.

    Returns
    -------
    Claim or None
        None when the claim is no longer held.
    """
    new = Claim(
        epoch=OwnerEpoch(held.epoch + 1),
        host=held.host,
        address=held.address,
        bundle=bundle,
    )
    return new if await write_claim(connection, held, new) else None


async def release_claim(connection: BackendConnection, held: Claim) -> None:
    """Release a held claim, so that another host can claim the database at once."""
    new = Claim(
        epoch=OwnerEpoch(held.epoch + 1),
        host=NO_OWNER,
        address="",
        bundle=held.bundle,
    )
    await write_claim(connection, held, new)
