"""Compare two configurations: what changes, and what may not change at once."""

import dataclasses
import hashlib

from cornelgap.cfg.findings import CfgFinding
from cornelgap.core.errors import Code
from cornelgap.core.settings import KeyStage, TargetMode

_FINGERPRINT_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One value that differs.

    :param key: such as ``target.t1.mode``.
    :param before: value before, empty if it did not exist.
    :param after: value after, empty if it no longer exists.
    """

    key: str
    before: str
    after: str

    def __str__(self):
        """Format for a person."""
        before = self.before or '(absent)'
        after = self.after or '(absent)'
        return f'{self.key}: {before} -> {after}'


def fingerprint(secret):
    """Name a secret without telling it, for output, logs and audit.

    :param secret: 32 random bytes; a short digest tells nothing of them.
    """
    name = hashlib.blake2b(
        secret, digest_size=_FINGERPRINT_BYTES, person=b'fingerprint'
    )
    return f'fingerprint:{name.hexdigest()}'


def list_gone(old, new):
    """List the names of targets that go, or go on at another address.

    :param old: Cfg in force.
    :param new: Cfg that is to follow it.
    """
    places = dict(_list_places(new))
    return {name for place, name in _list_places(old) if place not in places}


def _list_places(cfg):
    return [
        ((service.name, target.name, target.address), target.name)
        for service in cfg.services.values()
        for target in service.targets.values()
    ]


def list_changes(old, new):
    """List the values that differ between two configurations.

    :param old: Cfg before.
    :param new: Cfg after.
    :return: :class:`Change` records in the order of their keys.
    """
    before = {}
    after = {}
    for name in old.services.keys() | new.services.keys():
        left = old.services.get(name)
        right = new.services.get(name)
        if left == right:
            continue
        _flatten_service(left, before)
        _flatten_service(right, after)
    _flatten_rest(old, before)
    _flatten_rest(new, after)
    return [
        Change(key, before.get(key, ''), after.get(key, ''))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def _flatten_service(service, values):
    if service is None:
        return
    prefix = f'service.{service.name}'
    for item in dataclasses.fields(service):
        if item.name not in {'name', 'targets'}:
            value = getattr(service, item.name)
            values[f'{prefix}.{item.name}'] = str(value)
    for target in service.targets.values():
        prefix = f'target.{target.name}'
        values[f'{prefix}.service'] = service.name
        for part in dataclasses.fields(target):
            if part.name != 'name':
                values[f'{prefix}.{part.name}'] = str(
                    getattr(target, part.name)
                )


def _flatten_rest(cfg, values):
    for key in cfg.keys.values():
        values[f'key.{key.key_id}.secret'] = fingerprint(key.secret)
        values[f'key.{key.key_id}.stage'] = str(key.stage)
    for name in cfg.draining_instances:
        values[f'instance.{name}.draining'] = 'yes'


def find_unsafe(old, new):
    """Find changes that would break a promise if made in one step.

    :param old: Cfg in force.
    :param new: Cfg that is to follow it.
    :return: findings with ``OPS_UNSAFE_CHANGE``, each saying which step
        must come first.
    """
    return [
        *_find_lost_targets(old, new),
        *_find_replaced_targets(old, new),
        *_find_moved_addresses(old, new, _target_addresses, 'target'),
        *_find_moved_addresses(old, new, _service_addresses, 'service'),
        *_find_key_jumps(old, new),
    ]


def _refuse(section, option, text, expected):
    return CfgFinding(
        Code.OPS_UNSAFE_CHANGE,
        text,
        section=section,
        option=option,
        expected=expected,
    )


def _find_lost_targets(old, new):
    """Refuse to remove a target that was not draining.

    Its flows would break at once; callers would see their feeds stop.  A
    target that drains first hands its flows on before it goes.
    """
    findings = []
    for service in old.services.values():
        kept = new.services.get(service.name)
        if kept is None and service.targets:
            findings.append(
                _refuse(
                    f'service {service.name}',
                    '',
                    f'the service goes with {len(service.targets)} targets',
                    'its targets removed first',
                )
            )
        names = kept.targets if kept else {}
        findings += [
            _refuse(
                f'target {target.name}',
                'mode',
                'the target goes without draining',
                'mode = draining in a change before this one',
            )
            for target in service.targets.values()
            if kept
            and target.name not in names
            and target.mode is not TargetMode.DRAINING
        ]
    return findings


def _find_replaced_targets(old, new):
    """Refuse another address for a target that was not draining.

    Another process answers there, which knows none of the target's feeds;
    they would break as if the target had been removed.
    """
    return [
        _refuse(
            f'target {name}',
            'address',
            'the address changes without draining',
            'mode = draining in a change before this one',
        )
        for service in old.services.values()
        if service.name in new.services
        for name, target in service.targets.items()
        if target.mode is not TargetMode.DRAINING
        and name in new.services[service.name].targets
        and new.services[service.name].targets[name].address != target.address
    ]


def _target_addresses(cfg):
    return {
        target.address: (service.name, target.name)
        for service in cfg.services.values()
        for target in service.targets.values()
    }


def _service_addresses(cfg):
    return {
        service.address: (service.name, service.name)
        for service in cfg.services.values()
        if service.address
    }


def _find_moved_addresses(old, new, list_addresses, kind):
    """Refuse an address that passes from one service to another.

    Entry instances adopt a change at different moments: one with the old
    revision would send the old service's packets to the new owner.
    """
    before = list_addresses(old)
    return [
        _refuse(
            f'{kind} {name}',
            'address',
            f'the address belonged to service "{before[address][0]}"',
            'a change without this address before this one',
        )
        for address, (service, name) in list_addresses(new).items()
        if address in before and before[address][0] != service
    ]


def _find_key_jumps(old, new):
    """Refuse key steps that make entry instances refuse valid tokens.

    An entry instance that has not heard of a key yet cannot read tokens
    signed with it, and tokens outlive the signing of their key.
    """
    if not old.keys:
        return []
    findings = [
        _refuse(
            f'key {key_id}',
            'secret',
            'the secret of a known key changes',
            'a key with a number of its own',
        )
        for key_id, key in new.keys.items()
        if key_id in old.keys and old.keys[key_id].secret != key.secret
    ]
    findings += [
        _refuse(
            f'key {key_id}',
            'stage',
            'the key signs before every entry instance has it',
            'stage = published in a change before this one',
        )
        for key_id, key in new.keys.items()
        if key_id not in old.keys and key.stage is KeyStage.SIGNING
    ]
    return findings


def find_key_steps(old, new):
    """Find key steps that only a command may make, not a folder.

    The commands look first whether every entry instance has the key, and
    whether tokens of it are still valid; a folder cannot.

    :param old: Cfg in force.
    :param new: Cfg of the folder.
    """
    return [
        _refuse(
            f'key {key_id}',
            'stage',
            f'the stage goes from {old.keys[key_id].stage} to {key.stage}',
            'cornelgap key sign or key retire',
        )
        for key_id, key in new.keys.items()
        if key_id in old.keys and old.keys[key_id].stage != key.stage
    ]
