"""Search for the ends of leaving servers whose entries are gone."""

import asyncio

from ..decisions import log_members
from ..identifiers import ServerId
from ..queries import Query, QueryKind
from .change_phases import record_phase
from .group import Group
from .pool import ServerPool
from .pooled_connection import NoConnectionError
from .ports import ConnectionLostError, ServerStoppedError, WrongServerError

# Time between two looks at such a server.
PERIOD_S = 0.5
TIMEOUT_MS = 400
PRIORITY = -2


async def find_ended(group: Group) -> None:
    """Ask the leaving servers without an entry whether their processes have ended."""
    servers = log_members.list_ending(group.members)
    await asyncio.gather(*(_ask(group, server) for server in servers))


async def _ask(group: Group, server: ServerId) -> None:
    pool = group.find_pool(server)
    if pool is None or not await _has_ended(pool):
        return
    # One that is listed again meanwhile has another pool.
    if group.find_pool(server) is pool:
        group.observe_ended(server)
        record_phase(group, "left", server=server)


async def _has_ended(pool: ServerPool) -> bool:
    """Return whether no process of this server listens at its address any more."""
    try:
        await pool.run_alone(Query(kind=QueryKind.STATUS), PRIORITY, TIMEOUT_MS)
    except (ServerStoppedError, WrongServerError):
        return True
    except (NoConnectionError, ConnectionLostError):
        return False
    return False
