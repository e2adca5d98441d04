"""Commands about running entry instances and targets."""

import contextlib
from typing import Annotated, Literal

from cyclopts import Parameter

from cornelgap.cfg import applying, staging
from cornelgap.core.settings import TargetMode
from cornelgap.operators import printing
from cornelgap.operators.changing import ChangeOptions, change_in_force
from cornelgap.operators.connection import Connection, Reach
from cornelgap.operators.exits import Exit
from cornelgap.operators.fleet import Fleet

Kind = Literal['target', 'instance']


def status(
    *,
    json: Annotated[bool, Parameter(negative='')] = False,
    connection: Connection | None = None,
):
    """Show entry instances, targets, flows and refusals.

    :param json: print one JSON document.
    """
    reach = Reach.from_connection(connection)
    with reach.open_store() as store:
        instances = store.list_instances('entry')
    with contextlib.closing(Fleet(reach.open_channel)) as fleet:
        statuses = fleet.ask_status(instances)
    printing.print_status(statuses, json)
    silent = [item for item in statuses if item.reply is None]
    return Exit.REFUSED if silent else Exit.DONE


def drain(
    kind: Kind,
    name: str,
    *,
    options: ChangeOptions | None = None,
    connection: Connection | None = None,
):
    """Let a target or an entry instance finish its work and get no new.

    :param kind: target or instance.
    :param name: its name.
    """
    return _set_draining(kind, name, True, options, connection)


def undrain(
    kind: Kind,
    name: str,
    *,
    options: ChangeOptions | None = None,
    connection: Connection | None = None,
):
    """Take a drained target or entry instance back into service.

    :param kind: target or instance.
    :param name: its name.
    """
    return _set_draining(kind, name, False, options, connection)


def _set_draining(kind, name, draining, options, connection):
    def plan_target(store):
        base = applying.load_base(store)
        mode = TargetMode.DRAINING if draining else TargetMode.ACTIVE
        cfg = staging.set_target_mode(base, name, mode)
        return applying.plan_change(base, cfg)

    def plan_instance(store):
        base = applying.load_base(store)
        known = {item.name for item in store.list_instances('entry')}
        known |= base.draining_instances
        if name not in known:
            raise staging.refuse_name(kind, name, known)
        cfg = staging.set_instance_draining(base, name, draining)
        return applying.plan_change(base, cfg)

    make_plan = plan_target if kind == 'target' else plan_instance
    result, code = change_in_force(connection, options, make_plan)
    accepted = result is not None and result.accepted
    if accepted and draining and kind == 'instance':
        _ask_drain(connection, name)
    return code


def _ask_drain(connection, name):
    """Tell the instance itself as well, so that it starts at once."""
    reach = Reach.from_connection(connection)
    with reach.open_store() as store:
        instances = store.list_instances('entry')
    with contextlib.closing(Fleet(reach.open_channel)) as fleet:
        for instance in instances:
            if instance.name == name:
                fleet.ask_drain(instance, reach.author)
                print(f'{name}: has started its planned stop')
