"""Steps on a store that is restored from a backup some seconds old."""

import logging
import time

from behave import given, then, when
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.forwarding import intake
from cornelgap.forwarding.facts import TargetsChanged
from cornelgap.forwarding.stamps import Stamp
from cornelgap.platform import keys
from cornelgap.platform.store import Listing
from features.proofs.restore_play import STATES, TARGETS, ZONES, Play
from features.proofs.restore_world import Reader, World, make_name


class Lines(logging.Handler):
    """Keeps log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def pick(self, message):
        return [one for one in self.records if one.getMessage() == message]


def keep_lines(context):
    context.lines = Lines()
    log = logging.getLogger('cornelgap')
    level = log.level
    log.addHandler(context.lines)
    log.setLevel(logging.INFO)
    context.cleanups.append(lambda: log.setLevel(level))
    context.cleanups.append(lambda: log.removeHandler(context.lines))


@given('a store, and an instance that has read it')
def start(context):
    keep_lines(context)
    context.world = World(context.cleanups)
    context.reader = Reader(context.world.make_client())


@when('an older change of a target arrives')
def take_older(context):
    directory = context.reader.directory
    targets = directory.list_targets()
    target, revision = targets[make_name(1)]
    stamp = Stamp(directory.targets_stamp.era, revision - 1)
    old = TargetsChanged(((target.name, target, stamp.revision),), stamp, 0)
    context.lines.records.clear()
    intake.apply_target_changes(directory, old, context.reader.now)


@then('it is logged as refused, with both revisions, and not as taken')
def check_refused(context):
    (line,) = context.lines.pick('directory: fact refused as older')
    assert line.target == make_name(1)
    assert line.revision < line.known, (line.revision, line.known)
    assert not context.lines.pick('directory: target changed')


@when('the store is restored from a backup')
def restore(context):
    context.world.store.restore(context.world.store.back_up())


@then("the instance's next list logs the era, and the one before")
def check_era(context):
    context.lines.records.clear()
    context.reader.read_all()
    (line,) = context.lines.pick('follower: store era')
    assert (line.before, line.era) == (1, 2), (line.before, line.era)


def lose(context, change):
    """Let the instance read a change that the store then loses."""
    context.backup = context.world.store.back_up()
    change(context.world)
    context.reader.read_all()
    context.world.store.restore(context.backup)


@when('the store loses the last {count:d} changes of others')
def lose_others(context, count):
    lose(context, lambda world: world.write_other(count))


@when(
    'the store loses {count:d} changes of others '
    'and configuration {version:d} with ports {ports}'
)
def lose_routes(context, count, version, ports):
    def change(world):
        world.write_other(count)
        world.write_routes(version, *read_numbers(ports))

    lose(context, change)


@when('the operator writes configuration {version:d} with ports {ports}')
def write_routes(context, version, ports):
    context.world.write_routes(version, *read_numbers(ports))


def read_numbers(text):
    """Read numbers from a text such as ``443 and 8443``."""
    return [int(number) for number in text.split(' and ')]


@when('target {number:d} says that it drains')
def drain_target(context, number):
    context.world.write_target(number, 'draining')


@when('the operator drains zone "{zone}"')
def drain_zone(context, zone):
    context.world.store.put('evacuations', zone, {})


@when('the instance follows on')
def follow(context):
    # The first call meets a history that is gone, the second goes on.
    context.reader.follow()
    context.reader.follow()


@then('it has routes to ports {ports}')
def check_ports(context, ports):
    found = context.reader.list_ports()
    assert found == read_numbers(ports), found


@then('new flows go to target {number:d} only')
def check_open(context, number):
    found = context.reader.list_open()
    assert found == [make_name(number)], found


@then('it knows that zone "{zone}" is drained')
def check_drained(context, zone):
    found = context.reader.list_drained()
    assert found == [zone], found


@given('another instance that has read it')
@when('another instance starts')
def start_other(context):
    context.other = Reader(context.world.make_client())


@when('the store makes {count:d} changes of others')
def write_others(context, count):
    context.world.write_other(count)


@when('the instance hears the other one')
def hear_other(context):
    context.reader.hear(context.other)


@when('the other one hears the instance')
def hear_back(context):
    context.other.hear(context.reader)


@when('the other instance follows on')
def follow_other(context):
    context.other.follow()
    context.other.follow()


@then('the other one has routes to ports {ports}')
def check_other_ports(context, ports):
    found = context.other.list_ports()
    assert found == read_numbers(ports), found


@then("the other one's new flows go to target {number:d} only")
def check_other_open(context, number):
    found = context.other.list_open()
    assert found == [make_name(number)], found


@when('the store loses that target {number:d} has registered')
def lose_target(context, number):
    lose(context, lambda world: world.write_target(number))


@when('the store loses that target {number:d} drains')
@when('the store loses that target {number:d} has registered and drains')
def lose_draining(context, number):
    lose(context, lambda world: world.write_target(number, 'draining'))


@when('the store loses that target {number:d} has gone')
def lose_end(context, number):
    name = make_name(number)
    lose(context, lambda world: world.store.remove('servers', name))


@when('the store loses that zone "{zone}" is drained')
def lose_order(context, zone):
    lose(context, lambda world: world.store.put('evacuations', zone, {}))


@when('target {number:d} goes')
def end_target(context, number):
    context.world.store.remove('servers', make_name(number))


@when('the store is restored from the same backup again')
def restore_again(context):
    context.world.store.restore(context.backup)


@when('target {number:d} registers again')
def register_again(context, number):
    context.world.write_target(number)


@when('target {number:d} writes nothing for {seconds:d} s')
def wait_for_target(context, number, seconds):
    context.reader.later += seconds


@when('nobody drains zone "{zone}" again for {seconds:d} s')
def wait_for_order(context, zone, seconds):
    context.reader.later += seconds


@when('the operator takes zone "{zone}" back')
def take_back(context, zone):
    context.world.store.remove('evacuations', zone)


@then('new flows go to targets {numbers}')
def check_all_open(context, numbers):
    found = context.reader.list_open()
    assert found == [make_name(one) for one in read_numbers(numbers)], found


@then('packets of target {number:d} are still forwarded')
def check_forwarded(context, number):
    view = context.reader.directory.make_view(context.reader.now)
    names = {target.name for target in view.by_cookie.values()}
    assert make_name(number) in names, names


@then('no target is waited for')
def check_no_fallback(context):
    view = context.reader.directory.make_view(context.reader.now)
    assert not view.fallback_by_service, view.fallback_by_service


@then('it knows that no zone is drained')
def check_none_drained(context):
    found = context.reader.list_drained()
    assert not found, found


@when('another instance starts, and a replica tells it lost orders to drain')
def start_with_lost(context):
    world = context.world
    backup = world.store.back_up()
    world.write_other(9)
    world.store.put('evacuations', 'b', {})
    lost = world.make_client().list_objects('evacuations')
    world.store.restore(backup)
    # The replica has the lost data still, and the header of all answers.
    old = Listing(lost.objects, lost.revision, world.store.era)
    context.other = Reader(world.make_client({'evacuations': old}))


@when('the other instance follows on once')
def follow_other_once(context):
    context.other.follow()


@then('the other one knows that zone "{zone}" is drained')
def check_other_drained(context, zone):
    found = context.other.list_drained()
    assert found == [zone], found


def learn(context, known=None):
    client = context.world.make_client()
    return keys.learn_key(client, time.sleep, known)


@given('{count:d} instances that have learnt the key')
def learn_keys(context, count):
    context.backup = context.world.store.back_up()
    context.keys = [learn(context) for _ in range(count)]


@when('the store loses the key')
def lose_key(context):
    context.world.store.restore(context.backup)


@when('an instance that starts learns the key')
def learn_late(context):
    context.late = learn(context)
    assert context.late not in context.keys


@when('the {count:d} instances check the key')
def check_keys_again(context, count):
    assert len(context.keys) == count
    context.checked = [learn(context, known) for known in context.keys]


@then('all of them and the store have the key of before')
def check_same_key(context):
    assert context.checked == context.keys
    assert learn(context) == context.keys[0]


@then('all of them have the key of the one that started')
def check_late_key(context):
    assert set(context.checked) == {context.late}


@then('it has not asked for a check of the key')
def check_no_check(context):
    assert not context.reader.checks


@then('it has asked for {count:d} check of the key')
def check_checks(context, count):
    assert context.reader.checks == count, context.reader.checks


@then('hypothesis finds no play in which an instance goes back or stays wrong')
def check_plays(context):
    who = st.integers(0, 1)
    moves = st.one_of(
        st.tuples(st.sampled_from(['follow', 'hear', 'follow', 'hear']), who),
        st.tuples(st.just('restart'), who),
        st.tuples(
            st.sampled_from(
                [
                    'back_up',
                    'restore',
                    'pass_time',
                    'write_config',
                    'write_other',
                ]
            )
        ),
        st.tuples(
            st.just('write_target'),
            st.sampled_from(TARGETS),
            st.sampled_from(STATES),
        ),
        st.tuples(st.just('order'), st.sampled_from(ZONES), st.booleans()),
    )

    @settings(
        max_examples=context.plays,
        derandomize=True,
        database=None,
        deadline=None,
    )
    @vary(st.lists(moves, max_size=40))
    def search(chosen):
        play = Play()
        for name, *args in chosen:
            getattr(play, name)(*args)
        play.settle()
        assert not play.faults, play.faults

    search()


@given('{count:d} plays of writes, restores and restarts')
def set_plays(context, count):
    # More by hand: -D plays=20000.
    context.plays = context.config.userdata.getint('plays', count)
