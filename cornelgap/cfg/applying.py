"""Plan what applying a folder would change, before anything is written."""

import dataclasses
from dataclasses import dataclass
from pathlib import Path

from cornelgap.cfg import publishing
from cornelgap.cfg.comparison import find_key_steps, find_unsafe, list_changes
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import KeyStage
from cornelgap.core.stamps import Stamp

# Revision and era that the folder was last applied as.  Without it a second
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
    """Choose the configuration that a folder's change was made from.

    :param folder: the folder.
    :param given: revision that the operator states, or None; it is one of
        the era of what is in force.
    :param in_force: :class:`~cornelgap.core.stamps.Stamp` of what is in
        force, revision 0 if nothing was published yet.
    :return: its stamp.
    :raises CodedError: ``OPS_NO_BASE`` if nothing tells the base.
    """
    if given is not None:
        return Stamp(in_force.era, given)
    noted = read_noted_base(folder, in_force.era)
    if noted is not None:
        return noted
    if not in_force.revision:
        return in_force
    raise CodedError(
        Code.OPS_NO_BASE,
        f'this folder was never applied; look at: cornelgap diff {folder}, '
        f'then repeat with --base {in_force.revision}',
    )


def read_noted_base(folder, era):
    """Read as what the folder was last applied.

    :param folder: the folder.
    :param era: era in force, which a note without one is taken to be of.
    :return: its :class:`~cornelgap.core.stamps.Stamp`, or None if there is
        no note.
    """
    try:
        text = (Path(folder) / _BASE_FILE).read_text()
        revision, *eras = map(int, text.split())
        noted = Stamp(*eras, revision=revision)
    except (OSError, TypeError, ValueError):
        return None
    return Stamp(noted.era or era, revision)


def note_base(folder, stamp):
    """Note in the folder as what it was applied.

    :param folder: the folder.
    :param stamp: :class:`~cornelgap.core.stamps.Stamp` of the accepted
        configuration.
    """
    (Path(folder) / _BASE_FILE).write_text(f'{stamp.revision} {stamp.era}\n')
