"""Publish a planned change, show how it went, and wait until in force."""

import uuid
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

from cornelgap.cfg import audit, publishing
from cornelgap.core.errors import Code, CodedError
from cornelgap.operators import printing
from cornelgap.operators.connection import Reach
from cornelgap.operators.exits import Exit, choose_exit
from cornelgap.operators.fleet import Fleet, require_in_force, wait_in_force

# Twice the time in which a change has to be in force everywhere.
_WAIT_S = 36


@Parameter(name='*')
@dataclass(frozen=True)
class ChangeOptions:
    """Options that every changing command takes."""

    message: Annotated[
        str, Parameter(name=('--message', '-m'), help='Why; required.')
    ] = ''
    dry_run: Annotated[
        bool, Parameter(negative='', help='Show the change, write nothing.')
    ] = False
    wait_s: Annotated[
        float, Parameter(help='How long to wait until in force; 0: not.')
    ] = _WAIT_S
    write_id: Annotated[
        str, Parameter(help='Repeat an earlier try whose answer was lost.')
    ] = ''


def change_in_force(connection, options, make_plan, choose_base=None):
    """Plan a change, publish it and wait until it is in force.

    :param connection: :class:`cornelgap.operators.connection.Connection`.
    :param options: :class:`ChangeOptions`.
    :param make_plan: gives the :class:`cornelgap.cfg.applying.ApplyPlan`
        for a store.
    :param choose_base: gives the stamp that the change was made from for
        the one in force; by default the one in force.
    :return: the publication's result, None if there was none, and the exit
        code.
    """
    options = options or ChangeOptions()
    if not options.message.strip():
        raise CodedError(Code.OPS_NO_MESSAGE, 'say why with -m MESSAGE')
    reach = Reach.from_connection(connection)
    with reach.open_store() as store:
        plan = make_plan(store)
        base = plan.base.stamp
        if choose_base is not None:
            base = choose_base(base)
        write_id = options.write_id or uuid.uuid4().hex
        if base != plan.base.stamp:
            # The plan was made on another revision than the one stated, so
            # it must not be written even if that one comes in force now.
            result = publishing.settle_earlier(store, base, write_id)
        elif not _show_plan(plan):
            return None, Exit.UNSAFE
        elif options.dry_run:
            print(f'dry run: nothing written, base is revision {base.revision}')
            return None, Exit.DONE
        else:
            result = publishing.publish(
                store, plan.cfg, reach.author, options.message, write_id, base
            )
        _show_result(store, result, base)
        if not result.accepted:
            return result, choose_exit(result.code)
        if options.wait_s <= 0:
            return result, Exit.DONE
        return result, show_in_force(reach, store, result.stamp, options.wait_s)


def show_in_force(reach, store, stamp, wait_s):
    """Wait until a configuration is in force and print each instance.

    :param stamp: its :class:`~cornelgap.core.stamps.Stamp`.
    :return: the exit code.
    """
    fleet = Fleet(reach.open_channel)
    try:
        outcomes = wait_in_force(
            lambda: store.list_instances('entry'), fleet, stamp, wait_s
        )
    finally:
        fleet.close()
    printing.print_in_force(outcomes, stamp.revision)
    try:
        require_in_force(outcomes, stamp.revision)
    except CodedError as exc:
        printing.print_error(exc)
        return choose_exit(exc.code)
    return Exit.DONE


def _show_plan(plan):
    """Print a plan; say whether it may be published."""
    print(f'{len(plan.changes)} changes on revision {plan.base.revision}')
    printing.print_changes(plan.changes)
    printing.print_findings(plan.findings)
    return not plan.findings


def _show_result(store, result, base):
    if result.accepted:
        print(result.text or f'accepted as revision {result.revision}')
        return
    printing.print_error(CodedError(result.code, result.text))
    if result.code == Code.PLT_ANSWER_LOST:
        print(f'repeat with --write-id {result.write_id}')
    if result.meanwhile:
        print(f'changed since revision {base.revision}:')
    for record in reversed(result.meanwhile):
        changes, _ = audit.load_changes(store, record)
        printing.print_entry(record, changes)
