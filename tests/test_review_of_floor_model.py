"""Whether the model of failures counts the servers that a host counts."""

import os

from apricotshore.decisions.log_members import LogMembers
from apricotshore.decisions.placement import Distance
from apricotshore.identifiers import DataCentreId, ServerId
from apricotshore.pooling.group import Group
from apricotshore.pooling.journal import Journal
from apricotshore.routes import ListedServer
from standins.in_memory import GROUP, ModelDialer, ModelGroup

from .logfloormodel import Failures, LogFloorModel, Server, run_event

S2 = ServerId("s2")


def make_host_group() -> Group:
    group = Group(
        group=GROUP,
        dialer=ModelDialer(group=ModelGroup.make(), host_name="host-0"),
        locate=lambda data_centre: Distance.SAME_DATA_CENTRE,
        journal=Journal(host="h", descriptor=os.open(os.devnull, os.O_WRONLY)),
    )
    group.members = LogMembers()
    return group


def show(group: Group, server: Server) -> None:
    """Have a host's group see the entry of a server of the model, or none."""
    if not server.is_listed:
        group.remove_server(server.name)
        return
    group.update_server(
        ListedServer(
            server=server.name,
            group=GROUP,
            address=server.address,
            data_centre=DataCentreId("a"),
            slots=1,
            leaving=server.is_leaving,
            reports_primary=server.is_primary,
            started_ms=server.started_ms,
        )
    )


def test_model_counts_a_leaving_server_without_an_entry_as_a_host_does():
    model, group = LogFloorModel((2, 2, 1), Failures(leaves=1)), make_host_group()
    for server in model.servers.values():
        show(group, server)
    for event in ("begin_to_leave", "end", "run_out"):
        run_event(model, event, (S2,))
        show(group, model.servers[S2])
    assert model.known.members.counted.keys() == group.members.counted.keys()
