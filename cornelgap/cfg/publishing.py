"""Publish a configuration: parts first, then one conditional write.

The root names revision, parts, author, write id and audit entry together,
so that a change and its entry are in force at the same moment or not at
all.  Two operators who race write the same version: one wins, and the
other is shown what changed.
"""

import dataclasses
import time
from dataclasses import dataclass, field

from cornelgap.cfg import audit, document
from cornelgap.cfg.comparison import list_changes
from cornelgap.cfg.findings import CfgFinding
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import Cfg
from cornelgap.wire import document_pb2 as wire

ROOT_NAME = 'cfg/root'
PART_PREFIX = 'cfg/part/'

# Waits between tries to settle a lost answer: about 6 s in all, the length
# of a short outage.  After that the operator repeats with the write id.
_PAUSES_S = (0.1, 0.2, 0.5, 1, 2, 2)


@dataclass(frozen=True, slots=True)
class PublishResult:
    """How a publication ended.

    :param accepted: whether the change is in force.
    :param code: error code if not: ``OPS_RACE_LOST``, ``PLT_DOWN``
        (nothing changed), ``PLT_ANSWER_LOST`` (unknown; repeat with the
        same write id) or another.
    :param revision: the change's revision, or the one in force if refused.
    :param write_id: id to settle with.
    :param meanwhile: :class:`cornelgap.cfg.audit.AuditRecord` of the
        changes that others made since the base, newest first.
    :param text: one short sentence.
    """

    accepted: bool
    code: str = ''
    revision: int = 0
    write_id: str = ''
    meanwhile: tuple = ()
    text: str = ''


@dataclass(slots=True)
class _Attempt:
    """One publication under way.

    :param base: wire Root that the change is made from.
    :param version: version of the root object, 0 if there is none.
    :param root: next root as bytes.
    :param objects: values by name to store before it.
    """

    base: object
    version: int = 0
    root: bytes = b''
    objects: dict = field(default_factory=dict)


def read_root(store):
    """Read the root in force.

    :param store: the platform's store.
    :return: version of the object, and the wire Root; version 0 and an
        empty Root if nothing was published yet.
    :raises CodedError: ``PLT_DOWN`` or ``PLT_CORRUPT``.
    """
    found = store.get(ROOT_NAME)
    if found is None:
        return 0, wire.Root(format=document.FORMAT)
    root, findings = document.read_root(found.value)
    if findings:
        raise CodedError(Code.PLT_CORRUPT, findings[0].text, ROOT_NAME)
    return found.version, root


def read_current(store, known=b''):
    """Read the configuration in force.

    :param store: the platform's store.
    :param known: a bundle read earlier; parts in it are not read again.
    :return: the Cfg, its bundle and findings.  The Cfg is None if anything
        is wrong; it has revision 0 and an empty bundle if nothing was
        published yet.
    """
    try:
        found = store.get(ROOT_NAME)
        if found is None:
            return Cfg(), b'', []
        bundle = _fetch_bundle(store, found.value, known)
    except CodedError as exc:
        return None, b'', [CfgFinding(exc.code, exc.text, file=exc.place)]
    cfg, findings = document.decode_bundle(bundle)
    return cfg, bundle, findings


def _fetch_bundle(store, data, known):
    root, findings = document.read_root(data)
    if findings:
        raise CodedError(Code.PLT_CORRUPT, findings[0].text, ROOT_NAME)
    have = document.list_parts(known)
    for address in root.parts:
        if address in have:
            continue
        name = f'{PART_PREFIX}{address.hex()}'
        part = store.get(name)
        if part is None:
            raise CodedError(Code.PLT_CORRUPT, 'the part is missing', name)
        have[address] = part.value
    return document.join_bundle(data, [have[item] for item in root.parts])


def publish(
    store,
    cfg,
    author,
    message,
    write_id,
    base_revision=None,
    now_ms=None,
    pause=time.sleep,
):
    """Publish a configuration as the next revision.

    :param store: the platform's store.
    :param cfg: the Cfg; its revision is ignored.
    :param author: who changes it.
    :param message: why; must not be empty.
    :param write_id: unique id, by which a lost answer is settled.
    :param base_revision: revision that the change was made from; if another
        is in force, the race is lost.  None means the one in force.
    :param now_ms: author's clock, milliseconds since the epoch.
    :param pause: waits for a number of seconds between tries.
    :return: a :class:`PublishResult`.
    """
    if not message.strip():
        return PublishResult(
            False, Code.OPS_NO_MESSAGE, text='a message is required'
        )
    at_unix_ms = int(time.time() * 1000) if now_ms is None else now_ms
    new = audit.NewEntry(author, at_unix_ms, message, write_id, [])
    try:
        return _publish(store, cfg, new, base_revision, pause)
    except CodedError as exc:
        return PublishResult(False, exc.code, write_id=write_id, text=exc.text)


def _publish(store, cfg, new, base_revision, pause):
    version, base = read_root(store)
    done = _find_own(store, base, new.write_id)
    if done is not None:
        return PublishResult(True, '', done.revision, new.write_id)
    if base_revision is not None and base_revision != base.revision:
        return _refuse_stale_base(store, base, base_revision, new.write_id)
    attempt = _prepare(store, cfg, new, base, version)
    if attempt is None:
        return PublishResult(
            True, '', base.revision, new.write_id, text='nothing to change'
        )
    for name, value in attempt.objects.items():
        _store_part(store, name, value, pause)
    return _write_root(store, attempt, new.write_id, pause)


def _prepare(store, cfg, new, base, version):
    """Build the next root and what it names, or None if nothing changes."""
    old, _, findings = read_base(store, base)
    if findings:
        raise CodedError(Code.PLT_CORRUPT, findings[0].text)
    changes = list_changes(old, cfg)
    if not changes:
        return None
    entry = dataclasses.replace(new, changes=changes)
    trail = audit.extend_trail(base, entry)
    parts = document.encode_parts(cfg)
    following = dataclasses.replace(cfg, revision=base.revision + 1)
    root = document.encode_root(following, parts, trail.entries, trail.segment)
    objects = {
        f'{PART_PREFIX}{address.hex()}': value
        for address, value in parts.items()
        if address not in base.parts
    }
    return _Attempt(base, version, root, objects | trail.objects)


def read_base(store, root):
    """Read the configuration that a root names.

    :param store: the platform's store.
    :param root: wire Root.
    :return: the Cfg, its bundle and findings.
    """
    if not root.revision:
        return Cfg(), b'', []
    bundle = _fetch_bundle(store, document.seal_root(root), b'')
    cfg, findings = document.decode_bundle(bundle)
    return cfg, bundle, findings


def _store_part(store, name, value, pause):
    """Store a content-addressed object; one that exists already is as good.

    A lost answer leaves no doubt here: the same bytes are written again.
    While no root names the object, nothing has changed, and the writer must
    not be told that its change may be in force.
    """
    for wait in (0, *_PAUSES_S):
        if wait:
            pause(wait)
        try:
            accepted, current = store.put(name, 0, value)
        except CodedError as exc:
            if exc.code != Code.PLT_ANSWER_LOST:
                raise
            continue
        if not accepted and (current is None or current.value != value):
            raise CodedError(Code.PLT_CORRUPT, 'an altered object exists', name)
        return
    raise CodedError(Code.PLT_DOWN, 'the platform takes no writes', name)


def _write_root(store, attempt, write_id, pause):
    """Write the root; settle a lost answer by writing and reading again.

    A write whose answer is lost may take effect at any later moment, so
    reading alone cannot tell that it failed.  The same conditional write is
    sent again: it can take effect once, and where it is refused, the root
    in force tells by the write id whether the first one had.
    """
    doubt = None
    for wait in (0, *_PAUSES_S):
        if wait:
            pause(wait)
        try:
            accepted, current = store.put(
                ROOT_NAME, attempt.version, attempt.root
            )
            if accepted:
                revision = attempt.base.revision + 1
                return PublishResult(True, '', revision, write_id)
            return _settle(store, attempt, current, write_id)
        except CodedError as exc:
            if doubt is None and exc.code != Code.PLT_ANSWER_LOST:
                raise
            doubt = exc
    return PublishResult(
        False,
        Code.PLT_ANSWER_LOST,
        attempt.base.revision,
        write_id,
        text='it is not known whether the change is in force; '
        f'repeat with write id {write_id}',
    )


def _settle(store, attempt, current, write_id):
    """Say from the root in force who won."""
    if current is None:
        raise CodedError(Code.PLT_CORRUPT, 'the root is gone', ROOT_NAME)
    root, findings = document.read_root(current.value)
    if findings:
        raise CodedError(Code.PLT_CORRUPT, findings[0].text, ROOT_NAME)
    since = list_since(store, root, attempt.base.revision)
    own = [entry for entry in since if entry.write_id == write_id]
    if own:
        return PublishResult(True, '', own[0].revision, write_id)
    return _lose_race(root, since, write_id)


def _lose_race(root, since, write_id):
    return PublishResult(
        False,
        Code.OPS_RACE_LOST,
        root.revision,
        write_id,
        tuple(since),
        f'revision {root.revision} came first',
    )


def _refuse_stale_base(store, root, base_revision, write_id):
    if root.revision < base_revision:
        # A lagging store would make an accepted change look reverted.
        return PublishResult(
            False,
            Code.PLT_CONFLICT,
            root.revision,
            write_id,
            text=f'the platform shows revision {root.revision}, older than '
            f'the base {base_revision}',
        )
    since = list_since(store, root, base_revision)
    own = [entry for entry in since if entry.write_id == write_id]
    if own:
        return PublishResult(True, '', own[0].revision, write_id)
    return _lose_race(root, since, write_id)


def list_since(store, root, revision):
    """List the audit entries after a revision, newest first.

    :param store: the platform's store.
    :param root: wire Root in force.
    :param revision: entries up to this one are left out.
    :raises CodedError: ``OPS_AUDIT_BROKEN`` if the trail is broken before.
    """
    findings = []
    entries = []
    for record in audit.walk_trail(store, root, findings):
        if record.revision <= revision:
            return entries
        entries.append(record)
    if findings:
        raise CodedError(Code.OPS_AUDIT_BROKEN, findings[0].text)
    return entries


def _find_own(store, root, write_id):
    """Find a repeated publication's entry among the newest ones."""
    for data in root.entries:
        record = audit.decode_entry(data)
        if record.write_id == write_id:
            return record
    return None
