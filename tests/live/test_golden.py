"""Golden files of sessions, as a caller's driver shows results and errors."""

import re

from pymysql.err import MySQLError

from standins.deployment import Deployment, DeploymentOptions, run_sql

ENTRY = (
    "INSERT INTO delivery (member, amount, note) VALUES ('maria', 7, 'a') "
    "/* kind='delivery',idempotent='no',request_id='maria-1' */"
)
BALANCE = "SELECT SUM(amount) FROM delivery WHERE member = 'maria' /* kind='balance' */"


def mask(text):
    text = re.sub(r"deliveries:\d+:\d+", "deliveries:TERM:POSITION", str(text))
    return re.sub(r"[0-9a-f]{32}", "ID", text)


async def run_statements(connection, statements):
    lines = []
    for sql in statements:
        try:
            async with connection.cursor() as cursor:
                affected = await cursor.execute(sql)
                rows = await cursor.fetchall() if cursor.description else None
                shown = f"{rows}" if rows is not None else f"ok, {affected} rows"
        except MySQLError as error:
            shown = f"error {error.args}"
        lines.append(f"> {sql}\n{mask(shown)}")
    return "\n".join(lines)


async def test_sessions_look_as_recorded(snapshot):
    deployment = Deployment(options=DeploymentOptions(hosts=2))
    try:
        await deployment.start()
        first = await deployment.connect(0)
        second = await deployment.connect(1)
        assert snapshot(name="member") == await run_statements(
            first, [ENTRY, BALANCE, "SELECT @apricotshore_token"]
        )
        assert snapshot(name="duplicate at another host") == await run_statements(
            second, [ENTRY, BALANCE, ENTRY.replace("7, 'a'", "9, 'b'"), BALANCE]
        )
        assert snapshot(name="transaction") == await run_statements(
            first,
            [
                "BEGIN",
                "INSERT INTO delivery (member, amount) VALUES ('rosa', 1)",
                "SELECT COUNT(*) FROM delivery WHERE member = 'rosa'",
                "SELECT no_such_column FROM delivery",
                "COMMIT",
                "SELECT COUNT(*) FROM delivery WHERE member = 'rosa'",
                "BEGIN",
                "DELETE FROM delivery",
                "ROLLBACK",
                "SELECT COUNT(*) FROM delivery WHERE member = 'rosa'",
            ],
        )
        assert snapshot(name="refused") == await run_statements(
            second,
            [
                "SELECT 1; DELETE FROM delivery",
                "SELECT 1 /* open",
                "SELECT 1 /*! + 1 */",
                "FLUSH TABLES",
                "SELECT 1 FROM delivery /* deadline_ms='soon' */",
                "SET @apricotshore_token = 'nonsense'",
                "INSERT INTO delivery (id, member) VALUES (1, 'twice')",
            ],
        )
        await run_sql(second, "SET autocommit = 0")
        assert snapshot(name="autocommit off") == await run_statements(
            second,
            [
                "INSERT INTO delivery (member, amount) VALUES ('ines', 2)",
                "ROLLBACK",
                "SELECT COUNT(*) FROM delivery WHERE member = 'ines'",
            ],
        )
    finally:
        deployment.stop()
