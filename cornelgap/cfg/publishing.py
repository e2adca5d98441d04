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
from cornelgap.cfg.pruning import prune_parts
from cornelgap.cfg.reading import (
    ROOT_NAME,
    list_since,
    name_part,
    read_base,
    read_current,
    read_root,
)
from cornelgap.core.errors import Code, CodedError

# Reading is used along with publishing, so it is found here as well.
__all__ = (
    'ROOT_NAME',
    'PublishResult',
    'publish',
    'read_current',
    'read_root',
    'settle_earlier',
)


_PRUNE_EVERY = 16

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
        result = _publish(store, cfg, new, base_revision, pause)
    except CodedError as exc:
        return PublishResult(False, exc.code, write_id=write_id, text=exc.text)
    if result.accepted and result.revision % _PRUNE_EVERY == 0:
        prune_parts(store)
    return result


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


def settle_earlier(store, base_revision, write_id):
    """Say how an earlier try ended, without writing anything.

    For a change whose base is not in force: it was accepted earlier, or it
    has lost the race.

    :param store: the platform's store.
    :param base_revision: revision that the change was made from.
    :param write_id: id of the earlier try.
    :return: a :class:`PublishResult`.
    """
    try:
        _, root = read_root(store)
        done = _find_own(store, root, write_id)
        if done is not None:
            return PublishResult(True, '', done.revision, write_id)
        return _refuse_stale_base(store, root, base_revision, write_id)
    except CodedError as exc:
        return PublishResult(False, exc.code, write_id=write_id, text=exc.text)


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
    known = {ref.digest: ref.revision for ref in base.parts}
    refs = {
        address: known.get(address, following.revision) for address in parts
    }
    root = document.encode_root(following, refs, trail.entries, trail.segment)
    objects = {
        name_part(address, refs[address]): value
        for address, value in parts.items()
        if address not in known
    }
    return _Attempt(base, version, root, objects | trail.objects)


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


def _find_own(store, root, write_id):
    """Find a repeated publication's entry among the newest ones."""
    for data in root.entries:
        record = audit.decode_entry(data)
        if record.write_id == write_id:
            return record
    return None
