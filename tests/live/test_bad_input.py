"""Malformed input: only its sender is affected."""

import asyncio
import os
import signal
import struct

from standins.deployment import Deployment, DeploymentOptions, run_sql
from tests.certificates import write_certificates

LOGIN_BOUND_S = 5.0
MEMORY_BOUND_BYTES = 256 << 20


def read_memory(deployment):
    pid = deployment.processes["host-0"].pid
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def send_raw(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    return reader, writer


async def test_malformed_and_idle_connections_do_not_affect_others():
    deployment = Deployment(options=DeploymentOptions(hosts=1))
    try:
        await deployment.start()
        port = deployment.host_ports(0)[0]
        good = await deployment.connect(0)
        silent = await send_raw(port, b"")
        broken = [
            await send_raw(port, data)
            for data in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\xff" * 64,
                struct.pack("<I", 0xFFFFFF)[:3] + b"\x01" + b"A" * 70_000,
                os.urandom(512),
                b"\x00\x00\x00\x01",
            )
        ]
        flood = [await send_raw(port, b"") for _ in range(300)]
        assert await run_sql(good, "SELECT COUNT(*) FROM delivery") == ((0,),)
        await asyncio.wait_for(silent[0].read(), LOGIN_BOUND_S)
        for _, writer in [silent, *broken, *flood]:
            writer.close()
        assert await run_sql(good, "SELECT COUNT(*) FROM delivery") == ((0,),)
        assert read_memory(deployment) < MEMORY_BOUND_BYTES
    finally:
        deployment.stop()


async def test_unauthenticated_data_at_peer_port_has_no_effect(tmp_path):
    tls = write_certificates(tmp_path)
    options = DeploymentOptions(hosts=2, peer_tls=tls)
    deployment = Deployment(options=options)
    try:
        await deployment.start()
        connection = await deployment.connect(0)
        await run_sql(connection, "INSERT INTO delivery (member) VALUES ('x')")
        port = deployment.host_ports(1)[1]
        reader, writer = await send_raw(port, b"\x00" * 64)
        # The host closes the link, possibly after a TLS alert, and sends no message.
        assert len(await asyncio.wait_for(reader.read(), LOGIN_BOUND_S)) < 16
        writer.close()
        assert await run_sql(connection, "SELECT COUNT(*) FROM delivery") == ((1,),)
        deployment.signal("host-1", signal.SIGKILL)
        assert await run_sql(connection, "SELECT COUNT(*) FROM delivery") == ((1,),)
    finally:
        deployment.stop()
