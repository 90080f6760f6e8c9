from types import SimpleNamespace

from apricotshore.services.bundlemanager import BundleManager


def make_bundle_manager():
    return BundleManager(
        platform=None,
        links=None,
        members=SimpleNamespace(),
        trusted=(),
        on_bundle=None,
        on_event=None,
    )


def test_new_host_asks_peers_and_a_change_is_fetched_from_the_platform():
    # Found live: a frozen peer held up a bundle until the platform was gone.
    manager = make_bundle_manager()
    assert manager._choose_source() == manager._fetch_from_any
    manager.root = object()
    assert manager._choose_source() == manager._fetch_from_platform
