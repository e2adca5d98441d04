"""Plan what applying a folder would change, before anything is written."""

import dataclasses
from dataclasses import dataclass
from pathlib import Path

from cornelgap.cfg import publishing
from cornelgap.cfg.comparison import find_key_steps, find_unsafe, list_changes
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import KeyStage

# The revision that the folder was last applied as.  Without it a second
# operator's older copy would undo the first one's change unseen.
_BASE_FILE = '.base-revision'


@dataclass(frozen=True, slots=True)
class ApplyPlan:
    """What a change would do.

    :param base: Cfg in force.
    :param cfg: Cfg that would follow.
    :param changes: :class:`cornelgap.cfg.comparison.Change` records.
    :param findings: what forbids it, see
        :func:`cornelgap.cfg.comparison.find_unsafe`.
    """

    base: object
    cfg: object
    changes: list
    findings: list


def plan_folder(store, cfg):
    """Plan to apply a loaded folder.

    Keys stay as they are: a folder may add some, while their later steps
    are made by commands.  Draining instances that were set by command stay
    so unless the folder has sections of that kind itself.

    :param store: the platform's store.
    :param cfg: the folder's Cfg.
    :raises CodedError: if what is in force cannot be read.
    """
    base = load_base(store)
    cfg = dataclasses.replace(cfg, keys=base.keys | cfg.keys)
    if not cfg.draining_instances:
        cfg = dataclasses.replace(
            cfg, draining_instances=base.draining_instances
        )
    plan = plan_change(base, cfg)
    steps = find_key_steps(base, cfg)
    return dataclasses.replace(plan, findings=[*plan.findings, *steps])


def plan_change(base, cfg):
    """Plan to put one Cfg after another.

    :param base: Cfg in force.
    :param cfg: Cfg that is to follow.
    """
    changes = list_changes(base, cfg)
    return ApplyPlan(base, cfg, changes, find_unsafe(base, cfg))


def load_base(store):
    """Load the Cfg in force.

    :param store: the platform's store.
    :raises CodedError: ``PLT_DOWN`` or ``PLT_CORRUPT``.
    """
    cfg, _, findings = publishing.read_current(store)
    if findings:
        raise CodedError(findings[0].code, findings[0].text, findings[0].file)
    return cfg


def require_signing_key(cfg):
    """Refuse a configuration under which no token could be signed.

    :raises CodedError: ``CFG_MISSING_OPTION``.
    """
    if any(key.stage is KeyStage.SIGNING for key in cfg.keys.values()):
        return
    raise CodedError(
        Code.CFG_MISSING_OPTION,
        'no key signs tokens; run: cornelgap key add -m "first key"',
    )


def choose_base(folder, given, in_force):
    """Choose the revision that a folder's change was made from.

    :param folder: the folder.
    :param given: revision that the operator states, or None.
    :param in_force: revision in force, 0 if nothing was published yet.
    :raises CodedError: ``OPS_NO_BASE`` if nothing tells the base.
    """
    if given is not None:
        return given
    noted = read_noted_base(folder)
    if noted is not None:
        return noted
    if in_force == 0:
        return 0
    raise CodedError(
        Code.OPS_NO_BASE,
        f'this folder was never applied; look at: cornelgap diff {folder}, '
        f'then repeat with --base {in_force}',
    )


def read_noted_base(folder):
    """Read the revision that the folder was last applied as, or None."""
    try:
        return int((Path(folder) / _BASE_FILE).read_text())
    except (OSError, ValueError):
        return None


def note_base(folder, revision):
    """Note in the folder which revision it was applied as.

    :param folder: the folder.
    :param revision: the accepted revision.
    """
    (Path(folder) / _BASE_FILE).write_text(f'{revision}\n')
