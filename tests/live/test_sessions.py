"""Sessions of stock drivers, without token or name, on live processes.

Guards against a new connection at another host reading from a replica that lags
behind the caller's earlier writes.
"""

from standins.deployment import Deployment, DeploymentOptions, run_sql

LAG_MS = 1_500


async def test_new_connection_without_token_or_name_reads_earlier_writes():
    options = DeploymentOptions(hosts=3, lag_ms=LAG_MS)
    deployment = Deployment(options=options)
    try:
        await deployment.start()
        for number in range(9):
            writer = await deployment.connect(number % 3)
            insert = f"INSERT INTO delivery (member) VALUES ('m{number}')"
            await run_sql(writer, insert)
            writer.close()
            reader = await deployment.connect((number + 1) % 3)
            select = "SELECT COUNT(*) FROM delivery /* kind='balance' */"
            assert await run_sql(reader, select) == ((number + 1,),)
            reader.close()
    finally:
        deployment.stop()
