"""Choice of the hosts that watch the store and vouch for the others."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from ..decisions.ownership import weigh
from ..decisions.relays import ListedHost
from ..identifiers import DataCentreId, HostId
from .bounds import ASKED_PER_ROUND

# A watch costs about as much as the requests of this many hosts in a region save by
# staying there.
HOSTS_PER_VOUCHER = 4
# Each of these asks every 600 ms, which takes the voucher some hundredths of a core.
HOSTS_PER_CELL = 400
HELPERS_PER_ROUND = 2
# Name of the group of hosts whose regions are too small for a voucher of their own.
SMALL_REGIONS = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class VoucherOrder:
    """Hosts in the order in which one host asks them.

    Parameters
    ----------
    vouchers
        Hosts of this host's region, itself included where it is listed, or those of
        all regions that are too small. Large regions are divided into cells; the hosts
        of a cell have the same order.
    helpers
        All other hosts in an order of this host's own.
    """

    vouchers: tuple[ListedHost, ...] = ()
    helpers: tuple[ListedHost, ...] = ()


def rank_vouchers(
    hosts: Collection[ListedHost],
    local_host: HostId,
    home: DataCentreId,
    find_region: Callable[[DataCentreId], str],
) -> VoucherOrder:
    """Rank the listed hosts that are not leaving.

    Parameters
    ----------
    hosts
        Listed hosts.
    local_host, home
        This host and its data centre.
    find_region
        Returns the region of a data centre.
    """
    staying = [h for h in hosts if not h.leaving]
    counts = Counter(find_region(h.data_centre) for h in staying)

    def find_group(data_centre: DataCentreId) -> str:
        region = find_region(data_centre)
        return region if counts[region] >= HOSTS_PER_VOUCHER else SMALL_REGIONS

    group = find_group(home)
    sharing = [h for h in staying if find_group(h.data_centre) == group]
    others = [h for h in staying if h.host != local_host]
    cells = -(-len(sharing) // HOSTS_PER_CELL)
    cell = weigh("cell", local_host) % cells if cells else 0
    name = f"{group}/{cell}"
    return VoucherOrder(
        vouchers=tuple(
            sorted(sharing, key=lambda h: weigh(h.host, name), reverse=True)
        ),
        helpers=tuple(
            sorted(others, key=lambda h: weigh(local_host, h.host), reverse=True)
        ),
    )


def choose_vouchers(
    order: VoucherOrder, local_host: HostId, backed_off: Collection[HostId]
) -> list[ListedHost]:
    """Return the hosts to ask, in turn; a host asks none that comes after itself."""
    asked: list[ListedHost] = []
    for host in order.vouchers:
        if host.host == local_host or len(asked) == ASKED_PER_ROUND:
            break
        if host.host not in backed_off:
            asked.append(host)
    return asked


def choose_helpers(
    order: VoucherOrder, asked: Collection[ListedHost], number: int
) -> list[ListedHost]:
    """Return further hosts to ask at once by a host that lacks a recent proof.

    Hosts ask different ones, and others in each round, so that a proof that any of
    them has reaches all within a few rounds.

    Parameters
    ----------
    order
        Ranked hosts.
    asked
        Hosts that were asked in this round.
    number
        Number of the round.
    """
    rest = [h for h in order.helpers if h not in asked]
    if not rest:
        return []
    first = number * HELPERS_PER_ROUND
    count = min(HELPERS_PER_ROUND, len(rest))
    return [rest[(first + i) % len(rest)] for i in range(count)]
