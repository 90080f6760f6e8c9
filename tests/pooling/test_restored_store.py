"""Hosts whose store comes back from an older copy."""

from apricotshore.pooling.ports import StoredKind

from .support import wait_until
from .test_store_watcher import Bed, configuration


async def test_configuration_at_a_revision_given_out_before_a_restore_is_applied():
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(20, 11)]
    async with bed:
        await wait_until(lambda: bed.applied == [11])
        bed.store.restore()
        bed.store.lists[StoredKind.CONFIGURATION] = [configuration(19, 11)]
        bed.store.events[StoredKind.CONFIGURATION].put_nowait(configuration(20, 14))
        await wait_until(lambda: bed.applied == [11, 14])
