"""Steps on settings that change while an instance runs."""

import ast
import json
import logging
import os
import queue
import random
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from bench.procs import pick_ports, wait_for
from cornelgap.decisions.cold_starts import ColdLimit, ColdStarts
from cornelgap.decisions.following import FollowerRole
from cornelgap.forwarding import peer_messages as peers
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.directory_actor import (
    DIRECTORY,
    AdoptSettings,
    DirectoryActor,
    KeyKnown,
    ReadMetrics,
)
from cornelgap.forwarding.directory_view import Warmup
from cornelgap.forwarding.follower import (
    FOLLOWER,
    Follow,
    Follower,
    SetWatchWait,
)
from cornelgap.forwarding.neighbours import InstanceIdentity
from cornelgap.forwarding.packet_actor import (
    FORWARDING,
    AdoptColdLimit,
    AdoptView,
    read_clock,
)
from cornelgap.forwarding.packets import Reason
from cornelgap.forwarding.stamps import ConfigStamp, Stamp
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.platform import settings_watch
from cornelgap.platform.node import Node
from cornelgap.platform.settings import (
    load_node_settings,
    load_start_settings,
)
from cornelgap.platform.settings_watch import (
    SettingsWatch,
    watch_until_stopped,
)
from features.proofs.forwarding_desk import Desk, make_route, make_target
from features.proofs.zone_world import Zone
from features.steps import forwarding_process_steps as processes
from features.steps.forwarding_start_steps import read_counts, send_opening

WAIT_S = 15
SCOPE = 'reloading'
COOKIE = 7
KEY = b'key of a test fleet'
FAR_OFF_S = 1000
TOP = """
node_name = "n"
ip = "127.0.0.1"
zone = "{zone}"
internal_ports = [3, 3]
{top}
[listen]
datagram_addr = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:4"
"""
REST = """
[limits]
{limits}
[bounds]
{bounds}
"""
CHANGED = {'bounds': 'config_apply_ms = 9000\ndrain_ms = 6000'}
OLD = {'bounds': 'config_apply_ms = 6000\ndrain_ms = 6000'}
BAD = {'bounds': 'grace_s = 0'}
TEXTS = st.text('1x.:- \n', max_size=5)
VALUES = st.one_of(
    st.integers(-(10**12), 10**12),
    st.floats(),
    st.booleans(),
    TEXTS,
    st.lists(st.one_of(st.integers(), TEXTS), max_size=3),
)
FIELDS = (
    ('top', 'seeds'),
    ('limits', 'link_mbps'),
    ('bounds', 'config_apply_ms'),
    ('bounds', 'drain_ms'),
    ('bounds', 'grace_s'),
    ('bounds', 'cold_over'),
    ('bounds', 'cold_slack'),
)
QUIET = settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)


class Collector(NamedActor):
    """Keeps the messages that are sent to an actor."""

    def __init__(self, scope, name, heard):
        """Put all messages into a queue."""
        super().__init__(scope, name)
        self._heard = heard

    def on_receive(self, message):
        """Keep the message."""
        self._heard.put((self.name, message))


class WaitingSource:
    """A store without changes, whose watches end when a test says so."""

    def __init__(self):
        """Keep no watch waiting."""
        self.waits = queue.SimpleQueue()
        self.answers = queue.SimpleQueue()

    def list_facts(self):
        """List nothing."""
        return ()

    def watch_facts(self, wait_s):
        """Tell the wait, and find nothing when the test says so."""
        self.waits.put(wait_s)
        self.answers.get(timeout=WAIT_S)
        return ()

    def close(self):
        """Keep no connection."""


def make_file(zone='a', top='', limits='', bounds=''):
    return (
        TOP.format(zone=zone, top=top),
        REST.format(limits=limits, bounds=bounds),
    )


def write_file(context, text):
    """Write the file in a tick of its own, without waiting for the clock."""
    context.tick += 1
    context.path.write_text(text)
    os.utime(context.path, ns=(context.tick, context.tick))


def make_watch(context):
    """Begin with the old settings in force, as after a start."""
    context.tick = 0
    write_file(context, ''.join(make_file(**OLD)))
    context.before, errors = load_node_settings(str(context.path))
    assert not errors, errors
    context.adopted = []
    context.watch = SettingsWatch(
        str(context.path), context.before, context.adopted.append
    )
    look(context, 2)


def look(context, times=1):
    for _ in range(times):
        context.watch.look(signalled=False)


def keep_lines(context):
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logger = logging.getLogger('cornelgap.node')
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    context.cleanups.append(lambda: setattr(logger, 'propagate', True))
    context.cleanups.append(lambda: logger.setLevel(level))
    context.cleanups.append(lambda: logger.removeHandler(handler))


def find_line(context, message):
    found = [one for one in context.lines if one.getMessage() == message]
    assert len(found) == 1, (message, context.lines)
    return found[0]


@given('two instances that do not know each other')
def start_two(context):
    port = pick_ports(1)[0]
    for number in range(2):
        start_directory(context, number, port)


def start_directory(context, number, port):
    own = InstanceIdentity(f'r{number}', 'a', f'127.0.0.{31 + number}')
    actor = DirectoryActor.start(
        own,
        port,
        (),
        1,
        random.Random(number),
        lambda: None,
        lambda withdrawn: None,
    )
    context.cleanups.append(actor.stop)
    actor.tell(KeyKnown(KEY))
    context.directories = [*getattr(context, 'directories', ()), actor]


def count_known(context):
    news = [
        actor.ask(ReadMetrics(), timeout=WAIT_S)
        for actor in context.directories
    ]
    return [gauges['instances'] for _, gauges in news]


@when("the first one's seeds change to the other")
def change_seeds(context):
    assert count_known(context) == [1, 1]
    news = AdoptSettings(wait_s=1, seeds=('127.0.0.32',), capacity=0)
    context.directories[0].tell(news)


@then('each knows of both')
def check_known(context):
    wait_for(
        lambda: count_known(context) == [2, 2], WAIT_S, 'both know each other'
    )


@given('a follower that has waited {wait_s:d} s for changes')
def start_follower(context, wait_s):
    source = context.source = WaitingSource()
    context.follower = Follower.start(
        SCOPE, source, 'nobody', wait_s, random.Random(1), lambda _: None
    )
    context.cleanups.append(lambda: context.follower.stop(block=False))
    context.cleanups.append(lambda: source.answers.put(None))
    context.follower.tell(Follow(True))
    assert source.waits.get(timeout=WAIT_S) == wait_s


@when('the bound is shortened so that it waits {wait_s:d} s')
def shorten_wait(context, wait_s):
    context.follower.tell(SetWatchWait(wait_s))
    context.source.answers.put(None)


@then('its next wait is {wait_s:d} s')
def check_wait(context, wait_s):
    # One watch may have been asked for before the message came.
    first = context.source.waits.get(timeout=WAIT_S)
    if first != wait_s:
        context.source.answers.put(None)
        assert context.source.waits.get(timeout=WAIT_S) == wait_s


@given('a directory whose follower waits {wait_s:d} s')
def make_directory(context, wait_s):
    context.actor = DirectoryActor(
        InstanceIdentity('r0', 'a', '127.0.0.31'),
        pick_ports(1)[0],
        (),
        wait_s,
        random.Random(1),
        lambda: None,
        lambda withdrawn: None,
    )
    context.cleanups.append(context.actor.release_resources)


@when('the wait becomes {wait_s:d} s')
def change_wait(context, wait_s):
    context.actor.on_receive(AdoptSettings(wait_s, (), 0))
    context.directory = Directory(1)
    context.directory.set_wait(wait_s)


@then(
    'facts that are {age_s:d} s old are fresh, and no outage of the store is seen'
)
def check_fresh(context, age_s):
    assert not FollowerRole(wait_s=1).is_fresh(age_s)
    assert context.actor._follower_role.is_fresh(age_s)
    for directory in (context.directory, context.actor._directory):
        assert directory.adopt_routes([], ConfigStamp(1), 0)
        target = make_target(1)
        listed = {target.name: (target, 1)}
        directory.adopt_targets(listed, Stamp(revision=1), 0, 0)
        directory.confirm_targets(age_s, age_s)
        gone = (target.name, None, 2)
        directory.apply_targets([gone], Stamp(revision=2), age_s, age_s)
        assert directory.make_view(age_s).gone_by_cookie


@given('its only target is cold')
def add_cold_target(context):
    desk = Desk()
    desk.set_routes(
        make_route('search'), warmups={'search': Warmup(FAR_OFF_S, 1)}
    )
    now = read_clock()
    target = make_target(
        1, address=context.target.getsockname(), cold_until=now + FAR_OFF_S
    )
    desk.set_targets(target)
    context.actor.tell(AdoptView(desk.directory.make_view(now), now))
    send_opening(context, 40001)
    assert context.target.recv(2048)


@when("a cold target's limit becomes none at all")
def forbid_cold(context):
    adopt_limit(context, ColdLimit(0, 0))


@when('the limit is lifted')
def lift_limit(context):
    adopt_limit(context, None)


def adopt_limit(context, limit):
    context.actor.tell(AdoptColdLimit(limit))
    # Packets may pass a message that waits; its answer shows that none does.
    read_counts(context)


@then('the next opening is dropped as "{reason}"')
def check_dropped(context, reason):
    send_opening(context, 40002)
    wait_for(
        lambda: read_counts(context).get(Reason(reason)) == 1,
        WAIT_S,
        'the opening is dropped',
    )


@then('the next opening reaches the target')
def check_reached(context):
    send_opening(context, 40003)
    assert context.target.recv(2048)


@given('an instance that has opened {count:d} flows on a cold target')
def open_cold(context, count):
    context.cold = ColdStarts('n', ColdLimit(0, 12))
    context.cold.set_members(frozenset('n'))
    for _ in range(count):
        assert context.cold.may_open(COOKIE, 0, 100)
        context.cold.note_open(COOKIE, 100)


@when("a cold target's limit is halved to {share:d} flows of this instance")
def halve_limit(context, share):
    context.cold.set_limit(ColdLimit(0, 2 * share))


@then('it may open none there in this second, and {share:d} in the next')
def check_counted(context, share):
    cold = context.cold
    assert not cold.may_open(COOKIE, 0, 100.5)
    for _ in range(share):
        assert cold.may_open(COOKIE, 0, 101.5)
        cold.note_open(COOKIE, 101.5)
    assert not cold.may_open(COOKIE, 0, 101.5)


@given('a zone of {count:d} instances that know each other')
def make_zone(context, count):
    context.zone = Zone(count, wide=1)
    pass_turns(context.zone)


def pass_turns(zone):
    for _ in range(40):
        zone.turn()


@when('the settings of the last one name a link of capacity {capacity:d}')
def change_link(context, capacity):
    last = list(context.zone.nodes.values())[-1]
    context.name = last.name
    last.capacity = capacity
    pass_turns(context.zone)


@then('all instances have the same order with it at place {place:d}')
def check_rank(context, place):
    orders = {tuple(node._rank_zone()) for node in context.zone.list_alive()}
    assert len(orders) == 1, orders
    assert orders.pop().index(context.name) == place - 1


@given('an instance that knows nobody')
def start_alone(context):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(('127.0.0.33', 0))
    sock.settimeout(WAIT_S)
    context.cleanups.append(sock.close)
    context.seed = sock
    start_directory(context, 0, sock.getsockname()[1])


@when('its settings name a seed and a link of capacity {capacity:d}')
def change_own_link(context, capacity):
    news = AdoptSettings(1, ('127.0.0.33',), capacity)
    context.directories[0].tell(news)


@then('the seed is told of a link of capacity {capacity:d}')
def check_told_link(context, capacity):
    beat = peers.decode_beat(context.seed.recv(peers.MAX_BEAT_BYTES), KEY)
    assert beat.capacity == capacity


@when('a node adopts changed settings')
def adopt_in_node(context):
    open_folder(context)
    bounds = (
        'grace_s = 9\ncold_slack = 5\nconfig_apply_ms = 6000\ndrain_ms = 4500'
    )
    text = make_file(
        top='seeds = ["10.0.0.7:1"]', limits='link_mbps = 8', bounds=bounds
    )
    context.tick = 0
    write_file(context, ''.join(text))
    context.heard = queue.SimpleQueue()
    for name in (FORWARDING, FOLLOWER, DIRECTORY):
        actor = Collector.start('n', name, context.heard)
        context.cleanups.append(actor.stop)
    changed, _ = load_node_settings(str(context.path))
    context.node = Node.from_settings(None, None, str(context.path))
    context.node.adopt_settings(changed)


@then('packets, follower and directory are told, and the grace is its own')
def check_told(context):
    told = dict(context.heard.get(timeout=WAIT_S) for _ in range(3))
    assert told == {
        FORWARDING: AdoptColdLimit(ColdLimit(0, 5)),
        FOLLOWER: SetWatchWait(1.5),
        DIRECTORY: AdoptSettings(1.5, ('10.0.0.7',), 4),
    }, told
    assert context.node.settings.grace_s == 9


def open_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.path = Path(folder.name) / 'node.toml'


@given('settings in force from a file')
def begin_watch(context):
    open_folder(context)
    keep_lines(context)
    make_watch(context)
    assert not context.lines


@when('the file says {line} under {section} and a signal comes')
def write_bad(context, line, section):
    write_file(context, ''.join(make_file(**{section: line})))
    context.watch.look(signalled=True)
    look(context, 3)


@when('an instance starts with {line} under {section}')
def start_with(context, line, section):
    open_folder(context)
    keep_lines(context)
    context.tick = 0
    write_file(context, ''.join(make_file(**{section: line})))
    context.before, context.errors = load_start_settings(str(context.path))


@when('an instance starts with cold_over = -1 and cold_slack = 7')
def start_half_limited(context):
    start_with(context, 'cold_over = -1\ncold_slack = 7', 'bounds')


@then('it starts with a cold limit of 0 and 7')
def check_half_limited(context):
    assert context.before.cold_limit == ColdLimit(0, 7), context.before


@then('it starts with {field} as {found}')
def check_started(context, field, found):
    assert context.before is not None, context.errors
    wanted = ast.literal_eval(found)
    assert getattr(context.before, field) == wanted, context.before


@then('it says that {place} is bad, at the start and as a refused file')
def check_limited(context, place):
    assert context.errors
    for exc in context.errors:
        assert exc.place.endswith(place), exc
    context.watch = SettingsWatch(str(context.path), context.before, None)
    look(context, 3)
    find_line(context, 'node: settings refused')
    assert context.watch.running == context.before


@then('it does not start')
def check_not_started(context):
    assert context.before is None
    assert context.errors


@when('the file is removed and a signal comes')
def remove_file(context):
    context.path.unlink()
    context.watch.look(signalled=True)
    look(context, 3)


@then('the settings in force are the old ones')
def check_old(context):
    assert context.watch.running == context.before
    assert not context.adopted


@then('one line refuses them with code "{code}" and names "{field}"')
def check_refused(context, code, field):
    line = find_line(context, 'node: settings refused')
    assert len(line.errors) == 1, line.errors
    assert line.errors[0].startswith(code), line.errors
    place = line.errors[0].partition(': ')[0]
    assert place.endswith(field), line.errors
    assert context.watch.counts == {'adopted': 0, 'refused': 1}


@when('a signal comes while half of a changed file is written')
def signal_early(context):
    context.whole_file = ''.join(make_file(**CHANGED))
    write_file(context, context.whole_file[: len(TOP) // 2])
    context.watch.look(signalled=True)


@when('a look comes while a changed file lacks its bounds')
def look_early(context):
    top, rest = make_file(**CHANGED)
    context.whole_file = top + rest
    write_file(context, top)
    look(context)


@when('the rest is written and no signal comes')
def write_rest(context):
    write_file(context, context.whole_file)
    look(context, 2)


@then('the settings in force are the changed ones')
def check_changed(context):
    assert context.watch.running.apply_s == 9
    assert context.watch.running.drain_s == 6
    assert context.adopted[-1] == context.watch.running


@then('they were adopted once')
def check_once(context):
    assert len(context.adopted) == 1
    assert context.watch.counts == {'adopted': 1, 'refused': 0}


@when('a signal comes, and the file changes without another time or length')
def change_in_tick(context):
    other = {'bounds': 'config_apply_ms = 8000\ndrain_ms = 6000'}
    write_file(context, ''.join(make_file(**other)))
    context.watch.look(signalled=True)
    assert context.watch.running.apply_s == 8
    context.tick -= 1
    write_file(context, ''.join(make_file(**CHANGED)))
    look(context)


@when('a bad file stays for {count:d} looks, and turns good in the same tick')
def mend_file(context, count):
    good = ''.join(make_file(**CHANGED))
    write_file(context, good.replace('zone = "a"', 'zone = 123'))
    look(context, count)
    check_old(context)
    context.tick -= 1
    write_file(context, good)
    look(context)


@when('the file is changed and no signal comes')
def change_silently(context):
    write_file(context, ''.join(make_file(**CHANGED)))
    look(context, 2)


@then('one line tells the changed fields, old and new')
def check_line(context):
    line = find_line(context, 'node: settings changed')
    assert line.changed == {'apply_s': ['6.0', '9.0']}, line.changed
    assert len(context.lines) == 1


@when('{count:d} signals come and the file stays as it is')
def signal_only(context, count):
    for _ in range(count):
        context.watch.look(signalled=True)


@then('no line is written and nothing is counted')
def check_silent(context):
    assert not context.lines
    assert context.watch.counts == {'adopted': 0, 'refused': 0}


@when('the file has stayed the same for {count:d} looks')
def rest_file(context, count):
    change_silently(context)


@then('further looks do not read it')
def check_unread(context):
    def fail(path):
        raise AssertionError('the file is read')

    load = settings_watch.load_node_settings
    context.cleanups.append(
        lambda: setattr(settings_watch, 'load_node_settings', load)
    )
    settings_watch.load_node_settings = fail
    look(context, 5)


@when('the file moves the instance to another zone with other seeds')
def move_zone(context):
    text = make_file(zone='b', top='seeds = ["10.0.0.8:1"]', **OLD)
    write_file(context, ''.join(text))
    context.watch.look(signalled=True)


@then('the seeds are in force and the zone is the old one')
def check_merged(context):
    assert context.watch.running.seeds == ('10.0.0.8',)
    assert context.watch.running.zone == 'a'
    assert context.adopted == [context.watch.running]


@then('one line names the zone as needing a restart')
def check_restart_line(context):
    line = find_line(context, 'node: settings need a restart')
    assert line.fields == {'zone': ["'a'", "'b'"]}, line.fields


@given('{count:d} signals of changed settings that wait')
def queue_signals(context, count):
    context.signals = queue.SimpleQueue()
    context.looks = []
    for _ in range(count):
        context.signals.put(signal.SIGHUP)


def handle_signals(context):
    def note_look(signalled):
        context.looks.append(signalled)
        context.signals.put(signal.SIGTERM)

    watch_until_stopped(context.signals, note_look)


@when('the signals are handled until the stop that follows the first look')
def stop_after_look(context):
    handle_signals(context)


@then('the file was looked at once')
def check_looked(context):
    assert context.looks == [True]


@when('a stop waits behind {count:d} signals of changed settings')
def queue_stop(context, count):
    queue_signals(context, count)
    context.signals.put(signal.SIGTERM)
    handle_signals(context)


@then('the file is not looked at any more')
def check_not_looked(context):
    assert not context.looks


@then('a process that is stopped while a look hangs ends by itself')
def check_hanging_look(context):
    open_folder(context)
    context.path.write_text(''.join(make_file()))
    code = (
        'import os, signal, threading\n'
        'from cornelgap.platform import node, settings\n'
        'path = os.environ["CORNELGAP_CONFIG"]\n'
        'def look(*_, **__):\n'
        '    os.kill(os.getpid(), signal.SIGTERM)\n'
        '    threading.Event().wait()\n'
        'node.SettingsWatch.look = look\n'
        'node.Node.start = node.Node.leave = lambda _: None\n'
        'node.run_node(settings.load_node_settings(path)[0], None, path)\n'
    )
    done = run_process(context, code)
    assert b'node: ended' in done.stdout, done


@then('a process that is signalled in its first steps goes on to its tasks')
def check_start(context):
    open_folder(context)
    context.path.write_text(''.join(make_file()))
    code = (
        'import os, signal, sys\n'
        'from cornelgap.platform import role\n'
        'def open_socket(*_):\n'
        '    os.kill(os.getpid(), signal.SIGHUP)\n'
        '    print("goes on")\n'
        '    sys.exit()\n'
        'role.open_socket = open_socket\n'
        'role.main()\n'
    )
    done = run_process(context, code)
    assert done.stdout == b'goes on\n', done


def run_process(context, code):
    return subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        check=False,
        env=dict(os.environ, CORNELGAP_CONFIG=str(context.path)),
        timeout=WAIT_S,
    )


@then('hypothesis finds no sequence of files, looks and signals that does not')
def search_sequences(context):
    open_folder(context)
    keep_lines(context)
    good = st.integers(1, 9).map(
        lambda number: f'config_apply_ms = {number}000'
    )
    broken = st.sampled_from(('grace_s = 0', 'grace_s = [', 'drain_ms = -1'))
    steps = st.lists(
        st.tuples(st.one_of(good, broken), st.integers(0, 3), st.booleans()),
        max_size=8,
    )

    @QUIET
    @vary(steps)
    def search(steps):
        make_watch(context)
        running = context.before
        for line, looks, signalled in steps:
            write_file(context, ''.join(make_file(bounds=line)))
            look(context, looks)
            if signalled:
                context.watch.look(signalled=True)
            loaded, _ = load_node_settings(str(context.path))
            if loaded is not None and (signalled or looks > 1):
                running = loaded
            assert context.watch.running == running
        look(context, 2)
        loaded, _ = load_node_settings(str(context.path))
        assert context.watch.running == (loaded or running)

    search()


@then('hypothesis finds no value that raises an error of its own')
def search_values(context):
    open_folder(context)
    context.tick = 0

    @QUIET
    @vary(st.sampled_from(FIELDS), VALUES)
    def search(place, found):
        section, field = place
        line = f'{field} = {json.dumps(found)}'
        for spelt, right in (('NaN', 'nan'), ('Infinity', 'inf')):
            line = line.replace(spelt, right)
        write_file(context, ''.join(make_file(**{section: line})))
        loaded, errors = load_node_settings(str(context.path))
        assert (loaded is None) == bool(errors)
        for exc in errors:
            assert exc.place.endswith(field), exc

    search()
    for text in ('grace_s = 0x' + 'f' * 9000, 'a = ' + '[' * 9000, '\0'):
        write_file(context, ''.join(make_file(bounds=text)))
        assert load_node_settings(str(context.path))[1]
    context.path.write_bytes(b'zone = "\xff"')
    assert load_node_settings(str(context.path))[1]


def place_file(context, name, text):
    """Place an instance's file anew as a whole, as the platform does."""
    path = Path(f'{context.folder}/{name}.toml')
    fresh = path.with_suffix('.fresh')
    fresh.write_text(text)
    fresh.replace(path)


def make_process_file(context, name, bound_ms, grace_s=6):
    text = processes.SETTINGS.format(
        name=name,
        host=context.hosts[name],
        net=processes.NET,
        **context.ports,
    )
    text = text.replace('_ms = 3000', f'_ms = {bound_ms}')
    return text.replace('grace_s = 6', f'grace_s = {grace_s}')


@when(
    'all instances get {count:d} changed files and signals while the flows '
    'make requests'
)
def change_often(context, count):
    def change():
        for number in range(count):
            for name, proc in context.procs.items():
                bound_ms = 4500 + 100 * number
                context.bound_s = bound_ms / 1000
                text = make_process_file(context, name, bound_ms)
                place_file(context, name, text)
                proc.send_signal(signal.SIGHUP)

    processes.strike(context, change)


def read_lines(context, name, message):
    lines = context.procs[name].log.read_text().splitlines()
    found = [json.loads(line) for line in lines if line.startswith('{')]
    return [line for line in found if line['message'] == message]


@then('the last file is in force everywhere without a restart')
def check_last(context):
    def is_in_force(name):
        found = read_lines(context, name, 'node: settings changed')
        last = found and found[-1]['changed']['apply_s'][1]
        return last == repr(context.bound_s)

    for name, proc in context.procs.items():
        wait_for(lambda name=name: is_in_force(name), WAIT_S, 'it is in force')
        assert proc.popen.poll() is None
        assert len(read_lines(context, name, 'node: started')) == 1
        assert not read_lines(context, name, 'node: settings refused')


@then('the store is asked with the wait of the last file')
def check_asked(context):
    wanted = f'wait_ms={int(context.bound_s / 3 * 1000)}'
    wait_for(
        lambda: any(wanted in path for *_, path in context.store.calls),
        WAIT_S,
        'the store is asked with the new wait',
    )


@when('a bad file comes without a signal')
def place_bad(context):
    place_file(context, 'n1', make_process_file(context, 'n1', 3000, 0))


@then('the instance tells it and counts it as refused')
def check_refused_by_process(context):
    wait_for(
        lambda: read_lines(context, 'n1', 'node: settings refused'),
        WAIT_S,
        'the file is refused',
    )
    line = read_lines(context, 'n1', 'node: settings refused')[0]
    assert 'bounds.grace_s' in line['errors'][0], line
    _, page = processes.ask_page(processes.HOSTS[0])
    assert 'settings_reloads_total{outcome="refused"} 1' in page, page


@then('explaining the instance tells of changed and of refused settings')
def explain_instance(context):
    logs = [str(proc.log) for proc in context.procs.values()]
    command = [sys.executable, '-m', 'cornelgap.operators.main']
    done = subprocess.run(
        [*command, 'explain', 'n1', *logs], capture_output=True, check=False
    )
    told = done.stdout.decode()
    assert 'node: settings changed' in told, done
    assert 'node: settings refused' in told, done
