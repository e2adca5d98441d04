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
    read_root_object,
)
from cornelgap.cfg.store import Versioned
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.stamps import Stamp

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
    :param era: era of the platform's store that the revision is of.
    """

    accepted: bool
    code: str = ''
    revision: int = 0
    write_id: str = ''
    meanwhile: tuple = ()
    text: str = ''
    era: int = 0

    @property
    def stamp(self):
        """Return the revision's place among all configurations."""
        return Stamp(self.era, self.revision)


@dataclass(slots=True)
class _Attempt:
    """One publication under way.

    :param base: wire Root that the change is made from.
    :param found: object of that root, version 0 if there is none.
    :param root: next root as bytes.
    :param objects: values by name to store before it.
    """

    base: object
    found: Versioned
    root: bytes = b''
    objects: dict = field(default_factory=dict)


def publish(
    store,
    cfg,
    author,
    message,
    write_id,
    base=None,
    now_ms=None,
    pause=time.sleep,
):
    """Publish a configuration as the next revision.

    :param store: the platform's store.
    :param cfg: the Cfg; its revision is ignored.
    :param author: who changes it.
    :param message: why; must not be empty.
    :param write_id: unique id, by which a lost answer is settled.
    :param base: :class:`~cornelgap.core.stamps.Stamp` of the configuration
        that the change was made from; if another is in force, the race is
        lost.  None means the one in force.
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
        result = _publish(store, cfg, new, base, pause)
    except CodedError as exc:
        return PublishResult(False, exc.code, write_id=write_id, text=exc.text)
    if result.accepted and result.revision % _PRUNE_EVERY == 0:
        prune_parts(store)
    return result


def _publish(store, cfg, new, base, pause):
    found, root = read_root_object(store)
    done = _find_own(root, new.write_id)
    if done is not None:
        return _accept(found, done.revision, new.write_id)
    if base is not None and base != Stamp(found.era, root.revision):
        return _refuse_stale_base(store, found, root, base, new.write_id)
    attempt = _prepare(store, cfg, new, root, found)
    if attempt is None:
        return _accept(found, root.revision, new.write_id, 'nothing to change')
    for name, value in attempt.objects.items():
        _store_part(store, name, value, pause)
    return _write_root(store, attempt, new.write_id, pause)


def _accept(found, revision, write_id, text=''):
    return PublishResult(True, '', revision, write_id, text=text, era=found.era)


def settle_earlier(store, base, write_id):
    """Say how an earlier try ended, without writing anything.

    For a change whose base is not in force: it was accepted earlier, or it
    has lost the race.

    :param store: the platform's store.
    :param base: :class:`~cornelgap.core.stamps.Stamp` that the change was
        made from.
    :param write_id: id of the earlier try.
    :return: a :class:`PublishResult`.
    """
    try:
        found, root = read_root_object(store)
        done = _find_own(root, write_id)
        if done is not None:
            return _accept(found, done.revision, write_id)
        return _refuse_stale_base(store, found, root, base, write_id)
    except CodedError as exc:
        return PublishResult(False, exc.code, write_id=write_id, text=exc.text)


def _prepare(store, cfg, new, base, found):
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
    return _Attempt(base, found, root, objects | trail.objects)


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
                ROOT_NAME,
                attempt.found.version,
                attempt.root,
                attempt.found.era,
            )
            if accepted:
                return _accept(current, attempt.base.revision + 1, write_id)
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
        era=attempt.found.era,
    )


def _settle(store, attempt, current, write_id):
    """Say from the root in force who won."""
    if current is None:
        raise CodedError(Code.PLT_CORRUPT, 'the root is gone', ROOT_NAME)
    root, findings = document.read_root(current.value)
    if findings:
        raise CodedError(Code.PLT_CORRUPT, findings[0].text, ROOT_NAME)
    base = Stamp(attempt.found.era, attempt.base.revision)
    return _compare_trail(store, current, root, base, write_id)


def _compare_trail(store, found, root, base, write_id):
    """Say from what came after the base whether the change is in force."""
    since = list_since(store, root, base.revision)
    own = [entry for entry in since if entry.write_id == write_id]
    if own:
        return _accept(found, own[0].revision, write_id)
    text = f'revision {root.revision} came first'
    if base.revision and found.era != base.era:
        # The numbers of another era do not tell what came since the base.
        since = ()
        text = (
            "the platform's store was restored from a backup; "
            f'revision {root.revision} is in force'
        )
    return PublishResult(
        False,
        Code.OPS_RACE_LOST,
        root.revision,
        write_id,
        tuple(since),
        text,
        found.era,
    )


def _refuse_stale_base(store, found, root, base, write_id):
    if Stamp(found.era, root.revision) < base:
        # A lagging store would make an accepted change look reverted.
        return PublishResult(
            False,
            Code.PLT_CONFLICT,
            root.revision,
            write_id,
            text=f'the platform shows revision {root.revision}, older than '
            f'the base {base.revision}',
            era=found.era,
        )
    return _compare_trail(store, found, root, base, write_id)


def _find_own(root, write_id):
    """Find a repeated publication's entry among the newest ones."""
    for data in root.entries:
        record = audit.decode_entry(data)
        if record.write_id == write_id:
            return record
    return None
