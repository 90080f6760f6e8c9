"""Hosts whose store comes back from an older copy."""

from dataclasses import replace

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


async def test_older_version_read_from_the_copy_does_not_replace_a_later_one():
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(20, 11)]
    async with bed:
        await wait_until(lambda: bed.applied == [11])
        bed.store.restore()
        changes = bed.store.events[StoredKind.CONFIGURATION]
        changes.put_nowait(configuration(25, 8))
        changes.put_nowait(configuration(26, 14))
        await wait_until(lambda: len(bed.applied) > 1)
    assert bed.applied == [11, 14]


async def test_version_that_is_written_again_with_other_content_is_applied():
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(20, 11)]
    async with bed:
        await wait_until(lambda: bed.applied == [11])
        bed.store.restore()
        rewritten = configuration(19, 11)
        other = replace(rewritten.content, idle_transaction_ms=1)
        changes = bed.store.events[StoredKind.CONFIGURATION]
        changes.put_nowait(rewritten)
        changes.put_nowait(replace(rewritten, content=other))
        await wait_until(lambda: len(bed.applied) > 1)
        assert bed.store_watcher.configuration.idle_transaction_ms == 1
