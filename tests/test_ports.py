"""Ports of test processes: runs beside each other never share one."""

import json
import socket
import subprocess
import sys
from pathlib import Path

from standins.deployment import Deployment, DeploymentOptions
from standins.ports import find_free_port, reserve_port

COUNT = 200
SCRIPT = (
    "import json, sys; from standins.ports import find_free_port; "
    f"print(json.dumps([find_free_port() for _ in range({COUNT})]), flush=True); "
    "sys.stdin.read()"
)


def test_processes_are_given_different_ports():
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=Path(__file__).parent.parent,
        )
        for _ in range(4)
    ]
    try:
        ports = [
            p for process in processes for p in json.loads(process.stdout.readline())
        ]
    finally:
        for process in processes:
            process.communicate()
    assert len(set(ports)) == 4 * COUNT


def test_reserved_port_is_free_for_a_server_that_asks_for_it_and_for_no_other():
    port = find_free_port()
    with socket.create_server(("127.0.0.1", port)) as server:
        with socket.create_connection(("127.0.0.1", port)) as client:
            assert client.getpeername()[1] == server.getsockname()[1] == port
        others = [reserve_port() for _ in range(COUNT)]
        try:
            assert port not in {other.getsockname()[1] for other in others}
        finally:
            for other in others:
                other.close()


def test_deployments_share_no_port_and_keep_theirs_until_they_stop():
    options = DeploymentOptions(hosts=3, databases=("deliveries", "orders"))
    deployments = [Deployment(options=options) for _ in range(2)]

    def list_ports(deployment):
        names = [n for d in options.databases for n in deployment.server_names(d)]
        ports = [int(deployment.platform_address.rpartition(":")[2])]
        ports += [deployment.server_port(name) for name in names]
        ports += [deployment.replication_port(name) for name in names]
        return ports + [p for n in range(3) for p in deployment.host_ports(n)]

    try:
        ports = [list_ports(deployment) for deployment in deployments]
        assert ports == [list_ports(deployment) for deployment in deployments]
        assert len(set(ports[0] + ports[1])) == 2 * (1 + 2 * 6 + 3 * 3)
    finally:
        for deployment in deployments:
            deployment.stop()
    assert all(deployment.ports == {} for deployment in deployments)
