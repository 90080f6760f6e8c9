"""Parts of a run of the soak."""

from .fleet import Host
from .run import Soak
from .tcpproxy import TcpProxy


def make_soak(folder) -> Soak:
    return Soak(
        seed=1,
        hosts=0,
        groups=1,
        callers=0,
        connections=10,
        restores=False,
        releases=False,
        changes="",
        fault_pause_s=0.0,
        folder=folder,
    )


def make_host(name: str, folder) -> Host:
    proxies = [TcpProxy(target=0) for _ in range(3)]
    return Host(
        name=name,
        zone="a",
        folder=folder,
        store_proxy=proxies[0],
        caller_proxy=proxies[1],
        peer_proxy=proxies[2],
        ready_port=0,
        metrics_port=0,
    )


async def test_successor_of_a_server_that_left_has_its_address_and_its_log(tmp_path):
    soak = make_soak(tmp_path)
    soak.hosts += [make_host("h0", tmp_path), make_host("h1", tmp_path)]
    (group,) = soak.groups.values()
    for server in group.servers.values():
        await soak._start_server(group, server)
    left = next(iter(group.servers.values()))
    before = {h.name: soak.store.addresses[h.name, left.name] for h in soak.hosts}
    await soak._replace_server(group, left)
    *_, successor = group.servers.values()
    port = soak.servers[successor.name].port
    after = {h.name: soak.store.addresses[h.name, successor.name] for h in soak.hosts}
    assert after == before
    assert {h.server_proxies[successor.name].target for h in soak.hosts} == {port}
    assert successor.log == left.log


def test_callers_and_the_operator_draw_nothing_from_the_seeded_faults(tmp_path):
    soak = make_soak(tmp_path)
    soak.hosts += [make_host("h0", tmp_path), make_host("h1", tmp_path)]
    before = soak.random.getstate()
    for _ in range(3):
        soak._choose_host(0)
    soak.operator.random.random()
    assert soak.random.getstate() == before
