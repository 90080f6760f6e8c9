from types import SimpleNamespace

from apricotshore.services.keeper import BundleKeeper


def make_keeper():
    return BundleKeeper(
        platform=None,
        links=None,
        members=SimpleNamespace(),
        trusted=(),
        on_bundle=None,
        on_explain=None,
    )


def test_new_host_asks_peers_and_a_change_is_fetched_from_the_platform():
    # Found live: a frozen peer held up a bundle until the platform was gone.
    keeper = make_keeper()
    assert keeper._choose_source() == keeper._fetch_anywhere
    keeper.root = object()
    assert keeper._choose_source() == keeper._fetch_from_platform
