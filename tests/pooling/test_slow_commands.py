"""Changes of primary at servers that take long for a command."""

from .support import running, wait_until
from .test_orders_of_promotions import S1
from .test_orders_without_effect import LIMIT_S, make_former_primary

# Less than the wait for a command, more than that for one that is repeated.
COMMAND_S = 0.25


async def test_group_whose_servers_answer_slowly_gets_a_primary():
    """Their answers come later than commands are waited for while others are held."""
    model, _, host = await make_former_primary()
    model.command_delay_s = (COMMAND_S, COMMAND_S)
    async with running(host):
        await wait_until(lambda: model.promotions, LIMIT_S)
    assert model.promotions[0][0] != S1
    assert model.lost == []
