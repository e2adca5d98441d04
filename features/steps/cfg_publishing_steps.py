"""Steps about publishing, settling and reading a configuration."""

import dataclasses
import threading

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from cornelgap.cfg import audit, document, pruning, publishing, reading
from cornelgap.cfg.store import PlatformStore
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.core.stamps import Stamp
from cornelgap.entry.distribution import Distribution
from cornelgap.wire import platform_pb2
from standins.memory import MemoryStore
from standins.platform import start_platform

ROOT = publishing.ROOT_NAME


class HookedStore(MemoryStore):
    """Store whose root writes go through a list of hooks, one a write."""

    def __init__(self):
        super().__init__()
        self.hooks = []
        self.late = []

    def put(self, name, *args):
        if name == ROOT and self.hooks:
            return self.hooks.pop(0)(name, *args)
        for late in self.late:
            super().put(*late)
        self.late.clear()
        return super().put(name, *args)

    def lose_answer(self, *args):
        super().put(*args)
        raise CodedError(Code.PLT_ANSWER_LOST, 'lost')

    def drop_write(self, *args):
        raise CodedError(Code.PLT_ANSWER_LOST, 'dropped')

    def delay_write(self, *args):
        self.late.append(args)
        raise CodedError(Code.PLT_ANSWER_LOST, 'late')


def build_cfg(services, targets=None):
    """Build a Cfg of services s0, s1, ... with two targets each."""
    count = (targets or 2 * services) // services
    return Cfg(
        services={
            f's{number}': ServiceCfg(
                f's{number}',
                f'10.0.{number // 250}.{number % 250}:9000',
                {
                    f't{number}-{item}': TargetCfg(
                        f't{number}-{item}',
                        f'10.{item + 1}.{number // 250}.{number % 250}:70',
                        'a',
                    )
                    for item in range(count)
                },
            )
            for number in range(services)
        },
        keys={1: KeyCfg(1, b'k' * 32)},
    )


def change_service(cfg, name, **values):
    """Copy a Cfg with one service's figures changed."""
    changed = dataclasses.replace(cfg.services[name], **values)
    return dataclasses.replace(cfg, services=cfg.services | {name: changed})


def publish_change(context, who, name, message='why', base=None, **values):
    """Change one service of the configuration in force and publish."""
    context.writes = getattr(context, 'writes', 0) + 1
    cfg, _, _ = publishing.read_current(context.store)
    new = change_service(cfg or context.cfg, name, **values)
    context.again = (new, who, message, f'write-{context.writes}', base)
    return send_again(context)


def send_again(context):
    new, who, message, write_id, base = context.again
    return publishing.publish(
        context.store,
        new,
        who,
        message,
        write_id,
        base,
        now_ms=1764700000000,
        pause=lambda seconds: None,
    )


@given('a cfg store in memory')
def open_store(context):
    context.store = HookedStore()


@given('a cfg of {services:d} services is published by "{who}"')
def publish_first(context, services, who):
    context.cfg = build_cfg(services)
    done = publishing.publish(context.store, context.cfg, who, 'first', 'w0')
    assert done.accepted, done


@given(
    'a cfg of {services:d} services with {targets:d} targets '
    'is published by "{who}"'
)
def publish_large(context, services, targets, who):
    cfg = build_cfg(services, targets)
    done = publishing.publish(context.store, cfg, who, 'large', 'large')
    assert done.accepted, done
    context.bytes_before = context.store.state.count_calls().bytes_written


@given('the cfg store loses the answer of the next root write')
def lose_answer(context):
    context.store.hooks.append(context.store.lose_answer)


@given('the cfg store loses the answers of the next {count:d} writes')
def lose_answers(context, count):
    faults = platform_pb2.Faults(lose_answers=count)
    context.store.state.set_faults(faults)


@given('the cfg store drops the next root write')
def drop_write(context):
    context.store.hooks.append(context.store.drop_write)


@given('the cfg store delays the next root write until the writer tries again')
def delay_write(context):
    context.store.hooks.append(context.store.delay_write)


@given(
    '"{who}" publishes token life {life:d} before the cfg writer looks again'
)
def publish_between(context, who, life):
    def publish_then_put(*args):
        cfg, _, _ = publishing.read_current(context.store)
        new = change_service(cfg, 's2', token_s=life)
        done = publishing.publish(context.store, new, who, 'too', 'between')
        assert done.accepted, done
        return context.store.put(*args)

    context.store.hooks.append(publish_then_put)


@given('the cfg store goes down after it')
def fall_after(context):
    first = context.store.hooks.pop()

    def put_then_fall(*args):
        context.store.state.set_faults(platform_pb2.Faults(down=True))
        raise CodedError(Code.PLT_ANSWER_LOST, 'lost')

    def put_and_note(*args):
        try:
            return first(*args)
        finally:
            context.store.state.set_faults(platform_pb2.Faults(down=True))

    context.store.hooks += [put_and_note, put_then_fall]


@given('the cfg store is down')
def fall(context):
    context.store.state.set_faults(platform_pb2.Faults(down=True))


@given('"{who}" has published token life {life:d} for service "{name}"')
def publish_before(context, who, life, name):
    context.objects_before = dict(context.store.state._objects)
    assert publish_change(context, who, name, token_s=life).accepted


@given(
    'the cfg store loses that, and "{who}" publishes token life {life:d} instead'
)
def reissue(context, who, life):
    context.store.state.restore(context.objects_before)
    cfg, _, _ = publishing.read_current(context.store)
    new = change_service(cfg, 's2', token_s=life)
    done = publishing.publish(context.store, new, who, 'too', 'instead')
    assert done.accepted, done


@given(
    'right before the next root write the cfg store loses that, and "{who}" '
    'publishes token life {life:d} instead'
)
def reissue_late(context, who, life):
    def reissue_then_put(*args):
        reissue(context, who, life)
        return context.store.put(*args)

    context.store.hooks.append(reissue_then_put)


@given('the cfg store answers reads with the state before that')
def answer_stale(context):
    context.store.state.set_faults(platform_pb2.Faults(stale_reads=True))
    context.store.state._snapshot = context.objects_before


@when(
    '"{who}" publishes queue limit {limit:d} for service "{name}" because "{message}"'
)
def publish_limit(context, who, limit, name, message):
    context.result = publish_change(
        context, who, name, message, queue_limit=limit
    )


@when(
    '"{who}" publishes queue limit {limit:d} for service "{name}" from cfg revision {base:d}'
)
def publish_from(context, who, limit, name, base):
    context.result = publish_change(
        context, who, name, base=Stamp(1, base), queue_limit=limit
    )


@when('the cfg store is up again and "{who}" repeats the publication')
def repeat(context, who):
    context.store.state.set_faults(platform_pb2.Faults())
    context.store.hooks.clear()
    context.result = send_again(context)


@when(
    'the cfg store is up again and "{who}" sets queue limit {limit:d} '
    'for service "{name}"'
)
def publish_over(context, who, limit, name):
    context.store.state.set_faults(platform_pb2.Faults())
    context.store.hooks.clear()
    first = context.again
    assert publish_change(context, who, name, queue_limit=limit).accepted
    context.again = first


@then('the cfg publication is accepted as revision {revision:d}')
def check_accepted(context, revision):
    assert context.result.accepted, context.result
    assert context.result.revision == revision, context.result


@then('the cfg publication is refused with "{code}"')
def check_refused(context, code):
    assert not context.result.accepted, context.result
    assert context.result.code == code, context.result


@then('it names the cfg change of "{who}"')
def check_meanwhile(context, who):
    (entry,) = context.result.meanwhile
    assert entry.who == who
    assert entry.changes[0].key == 'service.s2.token_s'


@then('the cfg in force has queue limit {limit:d} for service "{name}"')
def check_limit(context, limit, name):
    cfg, _, findings = publishing.read_current(context.store)
    assert not findings, findings
    assert cfg.services[name].queue_limit == limit


@then('the cfg in force has revision {revision:d}')
def check_revision(context, revision):
    cfg, _, findings = publishing.read_current(context.store)
    assert not findings, findings
    assert cfg.revision == revision


def read_trail(store):
    """Read the whole trail, newest first, and check that it is whole."""
    _, root = publishing.read_root(store)
    findings = []
    records = list(audit.walk_trail(store, root, findings))
    assert not findings, findings
    return records


@then(
    'the cfg audit entry of revision {revision:d} is by "{who}" because "{why}"'
)
def check_entry(context, revision, who, why):
    (context.entry,) = [
        record
        for record in read_trail(context.store)
        if record.revision == revision
    ]
    assert (context.entry.who, context.entry.message) == (who, why)


@then('it says that "{key}" went from "{before}" to "{after}"')
def check_change(context, key, before, after):
    (change,) = context.entry.changes
    assert (change.key, change.before, change.after) == (key, before, after)


@then('write ids in the cfg audit trail are unique')
def check_unique(context):
    ids = [record.write_id for record in read_trail(context.store)]
    assert len(ids) == len(set(ids)), ids


@then('no cfg object is longer than {limit:d} bytes')
def check_sizes(context, limit):
    objects = context.store.state._objects
    longest = max(len(value) for _, value in objects.values())
    assert longest <= limit, longest


@then('the cfg change wrote fewer than {limit:d} bytes')
def check_written(context, limit):
    assert context.result.accepted
    written = context.store.state.count_calls().bytes_written
    assert written - context.bytes_before < limit


@when('a cfg {kind} in the store is {damage}')
def damage_object(context, kind, damage):
    objects = context.store.state._objects
    name = ROOT
    if kind == 'part':
        name = min(
            key
            for key, (_, value) in objects.items()
            if key.startswith('cfg/part/') and b'10.' in value
        )
    version, value = objects.pop(name)
    if damage == 'altered' and kind == 'root':
        value = value[:-1] + bytes([value[-1] ^ 1])
        objects[name] = (version, value)
    elif damage == 'altered':
        objects[name] = (version, value.replace(b'10.', b'11.', 1))


@then('reading the cfg in force finds "{code}" and gives none')
def check_unreadable(context, code):
    cfg, bundle, findings = publishing.read_current(context.store)
    assert cfg is None
    assert code in {finding.code for finding in findings}, findings


@when('a cfg value of {size:d} bytes is put into the store')
def put_large(context, size):
    store = PlatformStore.from_address('127.0.0.1:1')
    context.cleanups.append(store.close)
    try:
        store.put('cfg/large', 0, bytes(size))
    except CodedError as exc:
        context.error = exc


@when('{count:d} cfg changes are published one after another')
def publish_series(context, count):
    context.roots = getattr(context, 'roots', [])
    for number in range(count):
        context.roots.append(publishing.read_root(context.store)[1])
        done = publish_change(context, 'omar', 's1', queue_limit=200 + number)
        assert done.accepted, done


@then('the cfg store holds fewer than {limit:d} parts and a whole cfg')
def check_pruned(context, limit):
    parts = context.store.list(reading.PART_PREFIX, names_only=True)
    assert len(parts) < limit, len(parts)
    check_revision(context, publishing.read_root(context.store)[1].revision)


@then('a cfg pruner that was paused at each of these revisions harms nothing')
def check_paused_pruner(context):
    for root in context.roots:
        for item in pruning.list_unused(context.store, root):
            context.store.delete(item.name, item.version)
    check_revision(context, publishing.read_root(context.store)[1].revision)


@when(
    'a cfg pruner has read the root after {count:d} changes and the store '
    'loses them'
)
def prune_overtaken(context, count):
    class Overtaken:
        """A store that is restored before it lists its parts."""

        def __init__(self, store):
            self.get = store.get
            self.delete = store.delete

        def list(self, *args, **options):
            context.store.state.restore(context.objects_before)
            return context.store.list(*args, **options)

    publish_series(context, count)
    pruning.prune_parts(Overtaken(context.store))


@then('the cfg store has a whole cfg of revision {revision:d}')
def check_whole(context, revision):
    check_revision(context, revision)


@when('a slow reader has read the cfg root and {count:d} changes follow')
def read_slowly(context, count):
    class SlowReader:
        def __init__(self, store):
            self.store = store
            self.left = 1

        def get(self, name):
            found = self.store.get(name)
            if name == ROOT and self.left:
                self.left = 0
                publish_series(context, count)
            return found

    context.read = publishing.read_current(SlowReader(context.store))


@then('the slow reader has cfg revision {revision:d}')
def check_slow_reader(context, revision):
    cfg, _, findings = context.read
    assert not findings, findings
    assert cfg.revision == revision


@then('the cfg store refuses it with "{code}"')
def check_too_large(context, code):
    assert context.error.code == code


NAMES = strategies.from_regex('[a-z][a-z0-9-]{0,8}', fullmatch=True)
TARGETS = strategies.builds(
    TargetCfg,
    name=NAMES,
    address=NAMES,
    zone=NAMES,
    slots=strategies.integers(1, 1000),
    conns=strategies.integers(1, 10000),
    mode=strategies.sampled_from(['active', 'draining']),
)
SERVICES = strategies.builds(
    ServiceCfg,
    name=NAMES,
    address=NAMES,
    targets=strategies.lists(TARGETS, max_size=3).map(
        lambda found: {target.name: target for target in found}
    ),
    imbalance_weight=strategies.floats(0, 1),
    queue_limit=strategies.integers(0, 1000),
    long_share=strategies.floats(0, 1),
)
KEYS = strategies.builds(
    KeyCfg,
    key_id=strategies.integers(1, 255),
    secret=strategies.binary(min_size=32, max_size=32),
    stage=strategies.sampled_from(['published', 'signing', 'retiring']),
)
CFGS = strategies.builds(
    Cfg,
    revision=strategies.integers(1, 2**40),
    services=strategies.lists(SERVICES, max_size=90).map(
        lambda found: {service.name: service for service in found}
    ),
    keys=strategies.lists(KEYS, max_size=3).map(
        lambda found: {key.key_id: key for key in found}
    ),
    draining_instances=strategies.frozensets(NAMES, max_size=3),
)


def check_generated(check, *generators):
    settings(derandomize=True, database=None, deadline=None, max_examples=30)(
        hypothesis_given(*generators)(check)
    )()


@then('generated cfgs are the same after encoding and decoding')
def check_round_trip(context):
    def check(cfg):
        decoded, findings = document.decode_bundle(document.encode_bundle(cfg))
        assert not findings, findings
        assert decoded == cfg

    check_generated(check, CFGS)


@then('a generated cfg bundle trimmed by its older one is completed by it')
def check_trimming(context):
    def check(older, newer):
        merged = dataclasses.replace(
            newer, services=older.services | newer.services
        )
        old = document.encode_bundle(older)
        new = document.encode_bundle(merged)
        trimmed = document.trim_bundle(new, document.list_parts(old))
        assert len(trimmed) <= len(new)
        assert document.complete_bundle(trimmed, old) == new

    check_generated(check, CFGS, CFGS)


@given('the cfg stand-in platform over gRPC with a published cfg')
def start_standin(context):
    server, port, context.state = start_platform()
    context.cleanups.append(lambda: server.stop(0).wait())
    context.address = f'127.0.0.1:{port}'
    context.store = PlatformStore.from_address(context.address)
    context.cleanups.append(context.store.close)
    context.cfg = build_cfg(4)
    done = publishing.publish(context.store, context.cfg, 'amal', 'x', 'w0')
    assert done.accepted, done


def race(context, operator, count, accepted):
    """Make changes one after another, each from what is in force."""
    store = PlatformStore.from_address(context.address, timeout_s=20)
    for number in range(count):
        write_id = f'{operator}-{number}'
        base, _, findings = publishing.read_current(store)
        assert not findings, findings
        done = publishing.PublishResult(False)
        while not done.accepted:
            new = change_service(base, f's{operator}', queue_limit=number + 100)
            if number % 10 == 3:
                context.state.faults.lose_answers += 1
            done = publishing.publish(
                store,
                new,
                f'o{operator}',
                'race',
                write_id,
                base.stamp,
                pause=lambda seconds: None,
            )
            assert done.accepted or done.code == Code.OPS_RACE_LOST, done
            base, _, findings = publishing.read_current(store)
            assert not findings, findings
        accepted[write_id] = done.revision
    store.close()


@when(
    '{operators:d} operators make {count:d} racing cfg changes each while answers get lost'
)
def race_all(context, operators, count):
    context.accepted = {}
    threads = [
        threading.Thread(
            target=race, args=(context, number, count, context.accepted)
        )
        for number in range(operators)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then(
    'the cfg in force is revision {revision:d} and holds every accepted change'
)
def check_race(context, revision):
    cfg, _, findings = publishing.read_current(context.store)
    assert not findings, findings
    assert cfg.revision == revision, cfg.revision
    assert len(context.accepted) == revision - 1
    limits = [cfg.services[f's{number}'].queue_limit for number in range(4)]
    assert limits == [149] * 4, limits


@then('the cfg audit trail has each write id once and every step in order')
def check_race_trail(context):
    records = read_trail(context.store)
    found = {record.write_id: record.revision for record in records[:-1]}
    assert found == context.accepted
    assert len(records) == len(found) + 1
    values = {}
    for record in reversed(records[:-1]):
        (change,) = record.changes
        assert change.before == values.get(change.key, '64'), record
        values[change.key] = change.after


def read_as_entry(context):
    """Let an entry read the platform and put in force what is newer."""
    cfg, _, _ = publishing.read_current(context.store)
    context.dist.note_read(0, cfg.stamp, cfg)
    context.in_force = context.dist.take_ripe(0) or context.in_force


@given('an entry has read the cfg')
def start_entry(context):
    context.dist = Distribution.from_settings('e0', 'a')
    context.in_force = None
    read_as_entry(context)


@when(
    'the platform loses that "{who}" sets the queue limit of "{name}" to '
    '{limit:d}'
)
def lose_change(context, who, name, limit):
    state = context.store.state
    backup = state.back_up()
    assert publish_change(context, who, name, queue_limit=limit).accepted
    read_as_entry(context)
    state.restore(backup)


@when(
    '"{who}" sets the queue limit of "{name}" to {limit:d} and the entry '
    'reads the cfg'
)
def change_again(context, who, name, limit):
    assert publish_change(context, who, name, queue_limit=limit).accepted
    read_as_entry(context)


@then('the entry has the cfg in force that the platform has')
def check_in_force(context):
    cfg, _, _ = publishing.read_current(context.store)
    assert context.in_force == cfg
