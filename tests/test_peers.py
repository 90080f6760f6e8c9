"""Links between hosts: mutual TLS authentication and the limit on their number."""

import asyncio
import ssl

import capnp
import pytest

from apricotshore.services.peers import (
    MAX_PEER_LINKS,
    PeerHandlers,
    PeerLinks,
    PeerLostError,
    PeerServer,
    PeerUnreachableError,
    make_peer_contexts,
)
from apricotshore.settings import TlsSettings
from standins.ports import find_free_port

from .certificates import write_certificates

ADDRESS = f"127.0.0.1:{find_free_port()}"


def read_tls(section):
    pairs = [line.split(" = ") for line in section.splitlines()[1:]]
    return TlsSettings(**dict(pairs))


def make_handlers(pings):
    return PeerHandlers(
        execute=None,
        ping=lambda updates: pings.append(updates) or [],
        fetch_root=lambda: "root",
        fetch_pieces=lambda digests: [],
        witness=None,
        list_events=lambda topic, subject: [],
        list_burn=lambda: [],
        offer_database=lambda database: None,
        is_unfit=lambda database: False,
        is_holding=lambda database: False,
        on_disconnect=lambda origin: None,
    )


async def ping_with(server_tls, client_context):
    pings = []
    server_context, _ = make_peer_contexts(server_tls)
    server = PeerServer(
        address=ADDRESS, handlers=make_handlers(pings), context=server_context
    )
    await server.start()
    links = PeerLinks(context=client_context)
    try:
        await asyncio.wait_for(links.ping(ADDRESS, []), 3)
    finally:
        links.close()
        server.stop()
    return len(pings)


def run(work):
    return asyncio.run(capnp.run(work))


def make_foreign_context(kind, tls, folder):
    if kind == "other fleet":
        other = read_tls(write_certificates(folder, authority="other"))
        return make_peer_contexts(other)[1]
    if kind == "plain":
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.check_hostname = False
    return context


def test_hosts_of_one_fleet_exchange_pings(tmp_path):
    tls = read_tls(write_certificates(tmp_path))
    assert run(ping_with(tls, make_peer_contexts(tls)[1])) == 1


@pytest.mark.parametrize("kind", ["other fleet", "no certificate", "plain"])
def test_client_without_fleet_certificate_is_rejected(tmp_path, kind):
    tls = read_tls(write_certificates(tmp_path))
    with pytest.raises((PeerLostError, PeerUnreachableError, TimeoutError)):
        run(ping_with(tls, make_foreign_context(kind, tls, tmp_path)))


def test_idle_links_are_bounded():
    async def open_many():
        links = PeerLinks(context=None)
        for number in range(MAX_PEER_LINKS + 40):
            links._get_link(f"127.0.0.1:{number}")
        busy = links._get_link("127.0.0.1:5000")
        busy.calls_in_progress = 1
        for number in range(10_000, 10_000 + MAX_PEER_LINKS + 1):
            links._get_link(f"127.0.0.1:{number}")
        return len(links.links), busy in links.links.values()

    count, kept = run(open_many())
    assert count <= MAX_PEER_LINKS + 2 and kept
