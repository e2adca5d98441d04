"""Commands about a configuration folder: check, show, diff, apply."""

import contextlib
import dataclasses
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from cornelgap.cfg import applying
from cornelgap.cfg.comparison import fingerprint, list_gone
from cornelgap.cfg.folder import load_folder
from cornelgap.operators import printing
from cornelgap.operators.changing import ChangeOptions, change_in_force
from cornelgap.operators.connection import Connection, Reach
from cornelgap.operators.exits import Exit
from cornelgap.operators.fleet import Fleet, find_busy_targets

_HIDDEN = {'secret'}


def check(folder: Path):
    """Check a folder and print every fault.

    :param folder: the configuration folder.
    """
    cfg = _load_or_print(folder)
    if cfg is None:
        return Exit.REFUSED
    targets = sum(len(item.targets) for item in cfg.services.values())
    print(f'{len(cfg.services)} services, {targets} targets: no faults')
    return Exit.DONE


def show(
    folder: Path, *, origin: Annotated[bool, Parameter(negative='')] = False
):
    """Show the merged folder.

    :param folder: the configuration folder.
    :param origin: also show the file and line that won for each value, and
        those that it overrode.
    """
    cfg, findings, meta = load_folder(folder)
    printing.print_findings(findings)
    section = None
    for (name, option), found in sorted(meta.origins.items()):
        if name != section:
            print(f'[{name}]')
            section = name
        print(_format_setting(option, found.winner, origin))
        for loser in found.overridden if origin else ():
            print(f'#   overrides {_format_setting(option, loser, origin)}')
    return Exit.REFUSED if cfg is None else Exit.DONE


def diff(folder: Path, *, connection: Connection | None = None):
    """Show what applying a folder would change in what is in force.

    :param folder: the configuration folder.
    """
    cfg = _load_or_print(folder)
    if cfg is None:
        return Exit.REFUSED
    with Reach.from_connection(connection).open_store() as store:
        plan = applying.plan_folder(store, cfg)
    print(f'{len(plan.changes)} changes on revision {plan.base.revision}')
    printing.print_changes(plan.changes, limit=len(plan.changes))
    printing.print_findings(plan.findings)
    noted = applying.read_noted_base(folder, plan.base.era)
    if noted not in {None, plan.base.stamp}:
        print(
            f'this folder was last applied as revision {noted.revision}'
            f' of era {noted.era}; era {plan.base.era} is in force'
        )
    return Exit.DONE


def apply(
    folder: Path,
    *,
    base: int | None = None,
    options: ChangeOptions | None = None,
    connection: Connection | None = None,
):
    """Apply a folder and wait until it is in force everywhere.

    :param folder: the configuration folder.
    :param base: revision that the folder was brought up to; by default the
        one that it was last applied as.
    """
    cfg = _load_or_print(folder)
    if cfg is None:
        return Exit.REFUSED

    def make_plan(store):
        plan = applying.plan_folder(store, cfg)
        applying.require_signing_key(plan.cfg)
        busy = _find_busy(connection, store, plan)
        return dataclasses.replace(plan, findings=[*plan.findings, *busy])

    def choose_base(in_force):
        return applying.choose_base(folder, base, in_force)

    result, code = change_in_force(connection, options, make_plan, choose_base)
    if result is not None and result.accepted:
        applying.note_base(folder, result.stamp)
    return code


def _find_busy(connection, store, plan):
    """Find targets that would go while entry instances still use them."""
    gone = list_gone(plan.base, plan.cfg)
    if not gone:
        return []
    reach = Reach.from_connection(connection)
    with contextlib.closing(Fleet(reach.open_channel)) as fleet:
        statuses = fleet.ask_status(store.list_instances('entry'))
    return find_busy_targets(statuses, gone)


def _load_or_print(folder):
    cfg, findings, _ = load_folder(folder)
    printing.print_findings(findings)
    if findings:
        print(f'{len(findings)} faults')
    return cfg


def _format_setting(option, setting, origin):
    value = setting.value
    if option in _HIDDEN:
        value = _hide_secret(value)
    place = f'  # {setting.file}:{setting.line}' if origin else ''
    return f'{option} = {value}{place}'


def _hide_secret(text):
    try:
        return fingerprint(bytes.fromhex(text))
    except ValueError:
        return '(not a key)'
