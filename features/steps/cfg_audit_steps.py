"""Steps about the audit trail and its verification."""

import dataclasses

from behave import given, then, when

from cornelgap.cfg import audit, document, publishing
from cornelgap.core.settings import KeyCfg, KeyStage
from cornelgap.wire import document_pb2 as wire

ROOT = publishing.ROOT_NAME
SECRET = b'0123456789abcdef' * 2


@given('{count:d} cfg changes follow')
def publish_many(context, count):
    cfg = context.cfg
    for number in range(count):
        service = dataclasses.replace(
            cfg.services['s1'], queue_limit=number + 100
        )
        services = cfg.services | {'s1': service}
        cfg = dataclasses.replace(cfg, services=services)
        done = publishing.publish(
            context.store, cfg, 'omar', f'step {number}', f'many-{number}'
        )
        assert done.accepted, done
    context.cfg = cfg


def load_objects(context):
    return context.store.state._objects


def read_root(context):
    return publishing.read_root(context.store)[1]


def replace_root(context, root):
    version, _ = load_objects(context)[ROOT]
    load_objects(context)[ROOT] = (version, document.seal_root(root))


def edit_value(context, name):
    version, value = load_objects(context)[name]
    load_objects(context)[name] = (version, value.replace(b's1', b's2'))


@when("the cfg audit's newest segment is removed")
def remove_segment(context):
    address = read_root(context).segment.hex()
    load_objects(context).pop(f'{audit.SEGMENT_PREFIX}{address}')


@when("the cfg audit's newest segment is edited")
def edit_segment(context):
    address = read_root(context).segment.hex()
    edit_value(context, f'{audit.SEGMENT_PREFIX}{address}')


@when("the cfg audit's last entry but one in the root is edited")
def edit_entry(context):
    root = read_root(context)
    entry = root.entries[-2]
    root.entries[-2] = entry.replace(b'omar', b'huda').replace(b'amal', b'huda')
    replace_root(context, root)


@when("the cfg audit's last entry but one in the root is removed")
def remove_entry(context):
    root = read_root(context)
    last = wire.AuditEntry.FromString(root.entries[-1])
    last.previous = document.digest(root.entries[-3])
    del root.entries[-2:]
    root.entries.append(last.SerializeToString(deterministic=True))
    replace_root(context, root)


@when("the cfg audit's trail is cut below the root")
def cut_trail(context):
    root = read_root(context)
    root.segment = b''
    replace_root(context, root)


@when("the cfg audit's list of a large change is {damage}")
def damage_list(context, damage):
    objects = load_objects(context)
    name = min(key for key in objects if key.startswith(audit.CHANGES_PREFIX))
    if damage == 'edited':
        edit_value(context, name)
    else:
        objects.pop(name)


def verify(context, pinned=None):
    return audit.verify_trail(context.store, read_root(context), pinned)


@then('the cfg audit finds "{code}" saying "{text}"')
def check_broken(context, code, text):
    _, findings = verify(context)
    assert findings, 'nothing found'
    assert all(finding.code == code for finding in findings), findings
    assert any(text in finding.text for finding in findings), findings


@then('the cfg root is smaller than {limit:d} bytes')
def check_root_size(context, limit):
    assert len(load_objects(context)[ROOT][1]) < limit


@then('the cfg audit verifies {count:d} entries')
def check_whole(context, count):
    found, findings = verify(context)
    assert not findings, findings
    assert found == count


@given('the cfg audit digest of revision {revision:d} was noted')
def note_digest(context, revision):
    records = audit.walk_trail(context.store, read_root(context), [])
    context.noted = {
        record.revision: record.digest
        for record in records
        if record.revision == revision
    }


@when('the cfg audit trail is rewritten from revision {revision:d} on')
def rewrite_trail(context, revision):
    entries = []
    root = read_root(context)
    segment, segments = root.segment, [list(root.entries)]
    while segment:
        name = f'{audit.SEGMENT_PREFIX}{segment.hex()}'
        sealed = wire.AuditSegment.FromString(load_objects(context)[name][1])
        segments.insert(0, list(sealed.entries))
        segment = sealed.previous
    previous = b''
    for data in sum(segments, []):
        entry = wire.AuditEntry.FromString(data)
        entry.previous = previous
        if entry.revision == revision:
            entry.who = 'nobody'
        entries.append(entry.SerializeToString(deterministic=True))
        previous = document.digest(entries[-1])
    del root.entries[:]
    root.entries.extend(entries)
    root.segment = b''
    replace_root(context, root)


@then('the cfg audit with the noted digest finds "{code}" saying "{text}"')
def check_noted(context, code, text):
    _, (finding,) = verify(context, context.noted)
    assert finding.code == code
    assert text in finding.text


@then('the newest cfg audit entry has more than {count:d} changes')
def check_changes(context, count):
    record = next(audit.walk_trail(context.store, read_root(context), []))
    changes, findings = audit.load_changes(context.store, record)
    assert not findings, findings
    assert len(changes) == record.change_count > count


@when('a cfg key is added and published')
def publish_key(context):
    key = KeyCfg(9, SECRET, KeyStage.PUBLISHED)
    cfg = dataclasses.replace(context.cfg, keys=context.cfg.keys | {9: key})
    done = publishing.publish(context.store, cfg, 'omar', 'key', 'key')
    assert done.accepted, done


@then('the cfg audit objects hold no secret')
def check_no_secret(context):
    root = read_root(context)
    assert b'key.9.secret' in root.entries[-1]
    for name, (_, value) in load_objects(context).items():
        if not name.startswith('cfg/part/'):
            assert SECRET not in value, name
            assert SECRET.hex().encode() not in value, name
