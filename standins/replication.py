"""Log replication between stand-in backend servers, as JSON lines."""

import asyncio
import contextlib
import json
import time

from .group import Group
from .log import Entry

HEARTBEAT_S = 0.05
RECONNECT_S = 0.1
STREAM_SILENCE_S = 1.0
STREAM_LIMIT_BYTES = 1 << 24


class Replication:
    """Replication streams: a primary serves them, a replica opens one."""

    def __init__(self, *, group: Group) -> None:
        self.group = group

    async def serve(self, reader, writer) -> None:
        """Serve one replication stream."""
        group = self.group
        task = asyncio.current_task()
        group.streams.add(task)
        try:
            await self.send_stream(reader, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            group.streams.discard(task)
            writer.close()

    async def send_stream(self, reader, writer) -> None:
        """Send entries and heartbeats to a replica, while this is the primary.

        The first message tells the replica where to truncate its log.
        """
        group = self.group
        handshake = json.loads(await reader.readline())
        if group.role != "primary" or group.faults.cut_replication:
            return
        term = group.term
        if handshake["term"] > term:
            return
        name = handshake["server"]
        common = group.log.find_common_end(handshake["end"], handshake["starts"])
        self.write(writer, {"truncate": common, "term": term})
        sent = common
        acks = asyncio.create_task(self.read_acks(reader, name, term))
        try:
            while group.role == "primary" and group.term == term and not acks.done():
                if group.faults.cut_replication:
                    return
                while sent < group.log.end:
                    entry = group.log.entries[sent]
                    sent += 1
                    message = {"entry": sent, "term": entry.term}
                    self.write(writer, message | {"statements": entry.statements})
                self.write(writer, {"commit": group.commit})
                await writer.drain()
                group.ping.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(group.ping.wait(), HEARTBEAT_S)
        finally:
            acks.cancel()

    async def read_acks(self, reader, name: str, term: int) -> None:
        """Record a replica's acknowledgements and advance the commit index."""
        group = self.group
        while line := await reader.readline():
            ack = json.loads(line)
            if group.term != term or group.role != "primary":
                return
            before = group.commit
            group.acks[name] = ack["ack"]
            group.ack_times[name] = time.monotonic()
            group.advance_commit()
            group.notify()
            if group.commit > before:
                group.ping.set()

    def write(self, writer, message) -> None:
        """Write a message as a JSON line."""
        writer.write(json.dumps(message).encode() + b"\n")

    async def pull_loop(self) -> None:
        """Keep a stream open to the primary, with a pause between attempts."""
        group = self.group
        while True:
            address = group.primary_address
            cut = group.faults.cut_replication
            if address and group.role != "primary" and not cut:
                with contextlib.suppress(
                    OSError, ValueError, asyncio.IncompleteReadError
                ):
                    await self.connect(address)
            await asyncio.sleep(RECONNECT_S)

    async def connect(self, address) -> None:
        """Open a stream to the primary and receive it until it ends."""
        group = self.group
        reader, writer = await asyncio.open_connection(
            *address, limit=STREAM_LIMIT_BYTES
        )
        handshake = {"server": group.options.server, "term": group.term}
        handshake |= {"end": group.log.end, "starts": group.log.starts()}
        try:
            self.write(writer, handshake)
            await self.receive(reader, writer, address)
        finally:
            writer.close()

    async def receive(self, reader, writer, address) -> None:
        """Apply the messages of a stream to the log until the stream ends."""
        group = self.group
        while line := await asyncio.wait_for(reader.readline(), STREAM_SILENCE_S):
            while group.faults.mute or group.faults.cut_replication:
                if group.faults.cut_replication:
                    return
                await asyncio.sleep(0.02)
            message = json.loads(line)
            if group.primary_address != address or group.role == "primary":
                return
            if "truncate" in message:
                if message["term"] < group.term:
                    return
                stream_term = group.term = message["term"]
                async with group.write_lock:
                    group.rebuild(message["truncate"])
                    group.arrivals = group.arrivals[: group.log.end]
                    group.role = "replica"
            elif group.term != stream_term:
                return
            elif "entry" in message:
                statements = tuple(message["statements"])
                group.log.append(Entry(term=message["term"], statements=statements))
                group.arrivals.append(time.monotonic())
                continue
            else:
                group.known_commit = message["commit"]
                group.commit = max(group.commit, min(message["commit"], group.log.end))
            group.last_contact = time.monotonic()
            self.write(writer, {"ack": group.log.end})
