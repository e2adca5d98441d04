"""The audit trail: entries chained by digests, old ones sealed in segments.

Each entry names the digest of the one before, so that an entry that was
edited or taken out shows.  The newest entries stand in the root, and so in
the same conditional write as the change that they tell of; older ones move
to content-addressed segments, which keeps the root small for its readers.
"""

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from cornelgap.cfg.comparison import Change
from cornelgap.cfg.document import digest
from cornelgap.cfg.findings import CfgFinding
from cornelgap.core.errors import Code
from cornelgap.wire import document_pb2 as wire

SEGMENT_PREFIX = 'cfg/audit/'
CHANGES_PREFIX = 'cfg/changes/'

# Every watcher reads the root at each change: 4 KB of entries cost less
# than the part that the change rewrites.
_ROOT_ENTRIES_BYTES = 4096
_INLINE_CHANGES_BYTES = 1024
_CHANGES_A_LIST = 2000
_MAX_TEXT = 500


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One entry of the trail as a reader sees it.

    :param revision: revision that the change made.
    :param who: author as stated.
    :param at_unix_ms: author's clock, milliseconds since the epoch.
    :param message: why.
    :param write_id: id of the write.
    :param changes: :class:`cornelgap.cfg.comparison.Change` records; empty
        if they stand in lists of their own, see ``change_lists``.
    :param change_count: how many values changed.
    :param change_lists: digests of the lists that hold the changes.
    :param digest: digest of this entry in hex, by which it can be pinned.
    :param previous: digest of the entry before, in hex.
    """

    revision: int
    who: str
    at_unix_ms: int
    message: str
    write_id: str
    changes: tuple
    change_count: int
    change_lists: tuple
    digest: str
    previous: str


@dataclass(frozen=True, slots=True)
class NewEntry:
    """A change about to be written.

    :param who: author.
    :param at_unix_ms: author's clock.
    :param message: why.
    :param write_id: id of the write.
    :param changes: what changes.
    """

    who: str
    at_unix_ms: int
    message: str
    write_id: str
    changes: list


@dataclass(frozen=True, slots=True)
class TrailEnd:
    """What the next root says about the trail.

    :param entries: newest entries as bytes, oldest first.
    :param segment: digest of the newest segment.
    :param objects: values by name that must be stored before the root.
    """

    entries: list
    segment: bytes
    objects: dict


def extend_trail(root, new):
    """Append an entry to the trail of the root in force.

    :param root: wire Root in force.
    :param new: the :class:`NewEntry`.
    :return: the :class:`TrailEnd` of the next root.
    """
    objects = {}
    entries = list(root.entries)
    previous = digest(entries[-1]) if entries else b''
    segment = root.segment
    entry = _encode_entry(root.revision + 1, new, previous, objects)
    if sum(map(len, entries)) + len(entry) > _ROOT_ENTRIES_BYTES and entries:
        sealed = wire.AuditSegment(entries=entries, previous=segment)
        value = sealed.SerializeToString(deterministic=True)
        segment = digest(value)
        objects[f'{SEGMENT_PREFIX}{segment.hex()}'] = value
        entries = []
    return TrailEnd([*entries, entry], segment, objects)


def _encode_entry(revision, new, previous, objects):
    entry = wire.AuditEntry(
        revision=revision,
        who=new.who[:_MAX_TEXT],
        at_unix_ms=new.at_unix_ms,
        message=new.message[:_MAX_TEXT],
        write_id=new.write_id,
        change_count=len(new.changes),
        previous=previous,
    )
    changes = [
        wire.Change(key=change.key, before=change.before, after=change.after)
        for change in new.changes
    ]
    if sum(change.ByteSize() for change in changes) <= _INLINE_CHANGES_BYTES:
        entry.changes.extend(changes)
        return entry.SerializeToString(deterministic=True)
    for start in range(0, len(changes), _CHANGES_A_LIST):
        part = wire.ChangeList(changes=changes[start : start + _CHANGES_A_LIST])
        value = part.SerializeToString(deterministic=True)
        address = digest(value)
        objects[f'{CHANGES_PREFIX}{address.hex()}'] = value
        entry.change_lists.append(address)
    return entry.SerializeToString(deterministic=True)


def decode_entry(data):
    """Decode one entry.

    :param data: entry as stored.
    :return: the :class:`AuditRecord`.
    :raises DecodeError: if the bytes are no entry.
    """
    entry = wire.AuditEntry.FromString(data)
    return AuditRecord(
        revision=entry.revision,
        who=entry.who,
        at_unix_ms=entry.at_unix_ms,
        message=entry.message,
        write_id=entry.write_id,
        changes=_decode_changes(entry.changes),
        change_count=entry.change_count,
        change_lists=tuple(entry.change_lists),
        digest=digest(data).hex(),
        previous=entry.previous.hex(),
    )


def _decode_changes(changes):
    return tuple(
        Change(change.key, change.before, change.after) for change in changes
    )


def load_changes(store, record):
    """Load all changes of an entry, also those in lists of their own.

    :param store: the platform's store.
    :param record: the :class:`AuditRecord`.
    :return: changes, and findings for lists that are missing or altered.
    """
    changes = list(record.changes)
    findings = []
    for address in record.change_lists:
        value = _fetch(store, CHANGES_PREFIX, address, findings)
        if value is not None:
            part = wire.ChangeList.FromString(value)
            changes += _decode_changes(part.changes)
    if not findings and len(changes) != record.change_count:
        findings.append(
            _report(f'revision {record.revision} lacks some of its changes')
        )
    return changes, findings


def walk_trail(store, root, findings):
    """Walk the trail from the newest entry to the first.

    The walk ends where the trail is broken; the break is a finding.

    :param store: the platform's store.
    :param root: wire Root to start from.
    :param findings: list that takes what is wrong.
    :return: iterator of :class:`AuditRecord`.
    """
    entries, segment = list(root.entries), root.segment
    expected = None
    revision = root.revision
    while entries:
        for data in reversed(entries):
            if expected is not None and digest(data).hex() != expected:
                findings.append(
                    _report(f'the entry of revision {revision} was altered')
                )
                return
            record = _decode_or_report(data, revision, findings)
            if record is None:
                return
            yield record
            expected, revision = record.previous, revision - 1
        entries, segment = _open_segment(store, segment, findings)
    if not findings and (revision or expected):
        findings.append(_report(f'the entry of revision {revision} is missing'))


def _decode_or_report(data, revision, findings):
    try:
        record = decode_entry(data)
    except DecodeError:
        findings.append(_report(f'entry {revision} cannot be decoded'))
        return None
    if record.revision != revision:
        findings.append(
            _report(
                f'revision {record.revision} stands where {revision} should'
            )
        )
        return None
    return record


def _open_segment(store, address, findings):
    if not address:
        return [], b''
    value = _fetch(store, SEGMENT_PREFIX, address, findings)
    if value is None:
        return [], b''
    segment = wire.AuditSegment.FromString(value)
    return list(segment.entries), segment.previous


def _fetch(store, prefix, address, findings):
    """Get a content-addressed object, or report that it is not what it was."""
    name = f'{prefix}{address.hex()}'
    found = store.get(name)
    if found is None:
        findings.append(_report(f'{name} is missing'))
        return None
    if digest(found.value) != address:
        findings.append(_report(f'{name} was altered'))
        return None
    return found.value


def verify_trail(store, root, pinned=None):
    """Verify the whole trail.

    A chain that was rewritten from some entry on is whole in itself; only
    a digest that was noted elsewhere shows it, hence ``pinned``.

    :param store: the platform's store.
    :param root: wire Root in force.
    :param pinned: digest in hex by revision, as noted earlier.
    :return: how many entries were verified, and findings.
    """
    findings = []
    count = 0
    pins = dict(pinned or {})
    for record in walk_trail(store, root, findings):
        count += 1
        findings += load_changes(store, record)[1]
        if pins.pop(record.revision, record.digest) != record.digest:
            findings.append(
                _report(
                    f'revision {record.revision} is not the one noted earlier'
                )
            )
    findings += [
        _report(f'revision {revision}, noted earlier, is missing')
        for revision in pins
    ]
    return count, findings


def _report(text):
    return CfgFinding(Code.OPS_AUDIT_BROKEN, text)
