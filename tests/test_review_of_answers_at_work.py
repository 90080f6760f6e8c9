"""Whether an answer that is being written counts as at work, found in a review."""

import asyncio
from types import SimpleNamespace

from mysql_mimic.connection import Connection
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import Capabilities, ColumnType

from apricotshore.services.callersession import CallerSession

COLUMNS = 13
# Written in turns of 10,000; after 15 of them 256 packets have passed 586 times.
ROWS = 160_000


async def test_answer_of_many_rows_never_counts_as_idle_before_its_end():
    """The library counts packets modulo 256, so that a stop ended it amid its rows."""

    async def drain():
        return

    writer = SimpleNamespace(write=lambda data: None, drain=drain)
    stream = MysqlStream(None, writer)
    connection = Connection.__new__(Connection)
    connection.stream = stream
    connection.capabilities = connection.server_capabilities = Capabilities(0)
    session = CallerSession(context=None, writer=writer)
    session.connection = connection
    connection.session = session
    connection.eof = connection.ok_or_eof = lambda **fields: b"\xfe\0\0\0\0"
    next(stream.seq)
    columns = [ResultColumn(f"c{n}", ColumnType.VARCHAR) for n in range(COLUMNS)]
    rows = [("a",) * COLUMNS] * ROWS
    writing = asyncio.create_task(
        Connection.write_text_resultset(connection, ResultSet(rows, columns))
    )
    await asyncio.sleep(0)
    idle_turns = 0
    while not writing.done():
        idle_turns += not session.at_work
        await asyncio.sleep(0)
    writing.result()
    assert idle_turns == 0
