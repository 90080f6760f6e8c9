"""What follows the platform's store for a host."""

from collections.abc import Callable

from ..decisions.relays import ListedHost
from ..identifiers import HostId
from ..routes import Configuration
from ..services.eras import EraTracker
from .adapters import Adapters
from .freshness import Freshness
from .host_groups import HostGroups, Sources
from .host_watcher import HostWatcher
from .journal import Journal
from .open_changes import OpenChanges
from .settings import PoolingSettings
from .store_watcher import StoreWatcher


def make_sources(
    *,
    settings: PoolingSettings,
    adapters: Adapters,
    journal: Journal,
    eras: EraTracker,
    host_groups: HostGroups,
    on_hosts: Callable[[dict[HostId, ListedHost]], None],
    on_configuration: Callable[[Configuration], None],
    freshness: Freshness,
    process: int = 0,
) -> Sources:
    """Make what follows the store.

    Parameters
    ----------
    settings
        Settings of the host.
    adapters
        Adapters to the platform.
    journal
        Journal of the host.
    eras
        Tracker of the store's era.
    host_groups
        Groups of the host, which are told of what the store lists.
    on_hosts
        Called with all listed hosts.
    on_configuration
        Called when another configuration is put in force.
    freshness
        Proofs of the configuration, which replace calls to the store.
    process
        Random number of this process.
    """
    store_watcher = StoreWatcher(
        store=adapters.store,
        journal=journal,
        eras=eras,
        apply_ms=settings.apply_ms,
        leave_ms=settings.leave_ms,
        window_ms=settings.window_ms,
        on_server=host_groups.update_server,
        on_server_gone=host_groups.remove_server,
        on_configuration=on_configuration,
        on_lease=host_groups.observe_lease,
        freshness=freshness,
    )
    freshness.configuration = lambda: store_watcher.configuration
    host_watcher = HostWatcher(
        store=adapters.store,
        journal=journal,
        eras=eras,
        host=settings.host,
        entry=_make_entry(settings, process),
        on_hosts=on_hosts,
    )
    open_changes = OpenChanges(
        store_watcher=store_watcher,
        host_watcher=host_watcher,
        journal=journal,
        find_group=host_groups.groups.get,
        follow=host_groups.observe_lease,
    )
    return Sources(
        store_watcher=store_watcher,
        host_watcher=host_watcher,
        open_changes=open_changes,
    )


def _make_entry(settings: PoolingSettings, process: int) -> ListedHost | None:
    """Return a host's entry in the store, None if it is no relay."""
    if not settings.peer_address:
        return None
    return ListedHost(
        host=settings.host,
        data_centre=settings.data_centre,
        address=settings.peer_address,
        knows_organisations=True,
        process=process,
    )
