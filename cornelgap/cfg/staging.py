"""Changes that an operator makes by command, as pure steps of a Cfg.

A change that would break a promise in one step is made in several: a
target drains before it goes, a key is known everywhere before it signs.
"""

import dataclasses

from cornelgap.cfg.findings import find_nearest
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import KeyCfg, KeyStage

_MAX_KEY_ID = 255
# Added to the longest token lifetime before a key may go: entry instances
# adopt a change within seconds, and two operators' clocks may differ.
RETIRE_MARGIN_S = 60


def set_target_mode(cfg, name, mode):
    """Drain a target, or take it back into service.

    :param cfg: the Cfg.
    :param name: the target's name.
    :param mode: :class:`cornelgap.core.settings.TargetMode`.
    :raises CodedError: ``OPS_UNKNOWN_NAME``.
    """
    for service in cfg.services.values():
        target = service.targets.get(name)
        if target is None:
            continue
        changed = dataclasses.replace(target, mode=mode)
        targets = service.targets | {name: changed}
        kept = dataclasses.replace(service, targets=targets)
        services = cfg.services | {service.name: kept}
        return dataclasses.replace(cfg, services=services)
    known = [
        target
        for service in cfg.services.values()
        for target in service.targets
    ]
    raise refuse_name('target', name, known)


def set_instance_draining(cfg, name, draining):
    """Ask an entry instance to leave gracefully, or take that back.

    :param cfg: the Cfg.
    :param name: the instance's name.
    :param draining: whether it must leave.
    """
    names = cfg.draining_instances - {name}
    if draining:
        names |= {name}
    return dataclasses.replace(cfg, draining_instances=names)


def add_key(cfg, secret):
    """Add a key under the next free number.

    The first key signs at once, since no token can be refused for it; any
    other is only published, so that every entry instance knows it before
    the first token signed with it arrives.

    :param cfg: the Cfg.
    :param secret: 32 random bytes.
    :return: the Cfg and the key's number.
    :raises CodedError: ``OPS_NO_SUCH_STEP`` if no number is free.
    """
    free = (
        number for number in range(1, _MAX_KEY_ID + 1) if number not in cfg.keys
    )
    key_id = next(free, 0)
    if not key_id:
        raise CodedError(Code.OPS_NO_SUCH_STEP, 'all key numbers are taken')
    stage = KeyStage.PUBLISHED if cfg.keys else KeyStage.SIGNING
    return _set_key(cfg, KeyCfg(key_id, secret, stage)), key_id


def sign_with(cfg, key_id):
    """Let a published key sign; the key that signed until now retires.

    :param cfg: the Cfg.
    :param key_id: number of the published key.
    :raises CodedError: ``OPS_UNKNOWN_NAME`` or ``OPS_NO_SUCH_STEP``.
    """
    _require_stage(cfg, key_id, KeyStage.PUBLISHED)
    for key in list(cfg.keys.values()):
        if key.stage is KeyStage.SIGNING:
            cfg = _set_stage(cfg, key.key_id, KeyStage.RETIRING)
    return _set_stage(cfg, key_id, KeyStage.SIGNING)


def retire_key(cfg, key_id, retiring_s):
    """Take out a key when no valid token can be signed with it any more.

    Taken out earlier, callers whose tokens are still valid would be refused
    as forgers and lose their feeds.

    :param cfg: the Cfg.
    :param key_id: number of the retiring key.
    :param retiring_s: seconds since it stopped signing.
    :raises CodedError: ``OPS_UNKNOWN_NAME`` or ``OPS_NO_SUCH_STEP``.
    """
    _require_stage(cfg, key_id, KeyStage.RETIRING)
    longest = max(
        (service.token_s for service in cfg.services.values()), default=0
    )
    left = longest + RETIRE_MARGIN_S - retiring_s
    if left > 0:
        raise CodedError(
            Code.OPS_NO_SUCH_STEP,
            f'tokens of key {key_id} may be valid for {round(left)} s more',
        )
    keys = {number: key for number, key in cfg.keys.items() if number != key_id}
    return dataclasses.replace(cfg, keys=keys)


def _set_key(cfg, key):
    return dataclasses.replace(cfg, keys=cfg.keys | {key.key_id: key})


def _set_stage(cfg, key_id, stage):
    return _set_key(cfg, dataclasses.replace(cfg.keys[key_id], stage=stage))


def _require_stage(cfg, key_id, stage):
    key = cfg.keys.get(key_id)
    if key is None:
        raise refuse_name('key', str(key_id), map(str, cfg.keys))
    if key.stage != stage:
        raise CodedError(
            Code.OPS_NO_SUCH_STEP,
            f'key {key_id} is {key.stage}; it must be {stage} first',
        )


def refuse_name(kind, name, known):
    """Build the error of a name that does not exist, with the nearest one.

    :param kind: kind of thing.
    :param name: what was given.
    :param known: names that exist.
    """
    nearest = find_nearest(name, known)
    hint = f'; did you mean "{nearest}"?' if nearest else ''
    return CodedError(
        Code.OPS_UNKNOWN_NAME, f'there is no {kind} "{name}"{hint}'
    )
