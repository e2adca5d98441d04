"""Steps that search for packets, beats and orders of facts that break."""

import json
import statistics
import string
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.core.errors import CodedError
from cornelgap.decisions.flow_health import FlowHealth
from cornelgap.decisions.target_outliers import (
    Outcomes,
    find_median_without,
)
from cornelgap.forwarding import intake
from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding import peer_messages as peers
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.directory_view import (
    UNREADABLE,
    RequestPolicy,
    Route,
)
from cornelgap.forwarding.fetcher import SnapshotFetched
from cornelgap.forwarding.packets import Drop, Forward, Reset
from cornelgap.forwarding.stamps import ConfigStamp, Stamp
from cornelgap.platform import layout, objects
from cornelgap.platform.settings import load_node_settings
from features.proofs.cold_world import ColdWorld
from features.proofs.forwarding_desk import (
    Desk,
    make_packet,
    make_route,
    make_target,
)

QUIET = settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
KEY = b'key of a test fleet'
words = st.integers(0, 2**32 - 1)
ports = st.integers(0, 2**16 - 1)
octets = st.integers(0, 255)
names = st.text(string.ascii_lowercase, min_size=1, max_size=6)
loads = st.dictionaries(words, st.integers(0, 500), max_size=4)
outcomes = st.dictionaries(
    words, st.builds(Outcomes, ports, ports, ports), max_size=3
)
triples = st.lists(words, min_size=3, max_size=3)
ages = st.one_of(st.none(), st.floats(0, 1000))
BEATS = st.builds(
    peers.Beat,
    name=names,
    zone=names,
    host=names,
    boot=words,
    hello=st.booleans(),
    hub=st.booleans(),
    following=st.booleans(),
    handshake_cookies=st.booleans(),
    plain_cookies=st.booleans(),
    routes_version=words,
    routes_era=words,
    routes_revision=words,
    routes_age=ages,
    targets_era=words,
    targets_revision=words,
    targets_changed=words,
    targets_age=ages,
    loads=loads,
    zone_loads=st.one_of(st.none(), loads.filter(bool)),
    repeats=st.lists(st.lists(words, min_size=3, max_size=3), max_size=3),
    copies=st.lists(triples, max_size=2),
    answers=st.lists(words, max_size=3),
    outcomes=outcomes,
    zone_outcomes=outcomes,
    openings=st.one_of(st.just([]), triples),
    withdrawal=st.one_of(st.just([]), triples),
    beyond=st.lists(names, max_size=2),
    owners=st.lists(st.lists(words, min_size=6, max_size=6), max_size=2),
    owner_queries=st.lists(st.lists(words, min_size=4, max_size=4), max_size=2),
    members=st.lists(
        st.tuples(names, names, names, words).map(list), max_size=3
    ),
)


NESTED = b'{"changes":' + b'[' * 3000 + b']' * 3000 + b'}'
"""Nested more deeply than Python's parser goes."""


def make_raw(data, flags, values):
    dport, source, destination, sport, cookie, seq, ack, total = values
    head = layout.HEAD.pack(
        dport,
        source,
        destination,
        sport,
        flags,
        cookie,
        seq,
        ack,
        len(data),
        total,
    )
    return head + data


heads = st.tuples(ports, words, words, ports, words, words, words, words)


@then('hypothesis finds no datagram that raises anything but a PKT code')
def check_datagrams(context):
    @QUIET
    @vary(st.binary(max_size=80), heads, octets, st.integers(0, 60))
    def search(noise, values, flags, cut):
        for raw in (noise, make_raw(noise, flags, values)[:cut]):
            try:
                packet = layout.decode_packet(raw)
            except CodedError as exc:
                assert exc.code.startswith('PKT-')
            else:
                assert packet.size == len(raw) - layout.HEAD.size

    search()


@then('hypothesis finds no packet of which more than the cookie changes')
def check_forwarding(context):
    @QUIET
    @vary(
        st.binary(max_size=60), heads, octets, st.integers(1, 2**64 - 1), words
    )
    def search(data, values, flags, identity, cookie):
        raw = make_raw(data, flags, values)
        target = make_target(identity)
        packet = layout.decode_packet(raw)
        sent = layout.encode_forward(packet, target, cookie)
        assert int.from_bytes(sent[:8], 'big') == identity
        assert sent[8:26] == raw[:18]
        assert int.from_bytes(sent[26:30], 'big') == cookie
        assert target.cookie != 0
        assert sent[30:] == raw[22:]

    search()


@then('hypothesis finds no flow whose reset is not from its route')
def check_resets(context):
    @QUIET
    @vary(heads, words)
    def search(values, seq):
        packet = layout.decode_packet(make_raw(b'', 16, values))
        raw = layout.encode_reset(packet.flow, seq)
        reset = layout.decode_packet(raw)
        assert (reset.source, reset.source_port) == (values[2], values[0])
        assert (reset.destination, reset.destination_port) == values[1:4:2]
        assert reset.seq == seq
        # No flag but the reset's, no data and no sum.
        assert raw[12] == layout.WIRE_RST
        assert raw[26:] == bytes(10)

    search()


@then('hypothesis finds no peer datagram that raises anything but a code')
def check_peer_datagrams(context):
    inner = st.recursive(
        st.one_of(st.none(), st.booleans(), words, st.floats(), names),
        lambda child: st.one_of(
            st.lists(child, max_size=3),
            st.dictionaries(names, child, max_size=3),
        ),
        max_leaves=6,
    )
    fields = st.sampled_from([*peers.Beat.__struct_fields__, 'unknown'])

    @QUIET
    @vary(st.binary(max_size=60), st.dictionaries(fields, inner, max_size=8))
    def search(noise, content):
        body = json.dumps(content).encode()
        for raw in (
            noise,
            peers.sign_message(noise, KEY),
            peers.sign_message(body, KEY),
            peers.sign_message(NESTED, KEY),
        ):
            try:
                beat = peers.decode_beat(raw, KEY)
                for item in beat.changes:
                    peers.decode_change(item, 0)
            except CodedError as exc:
                assert exc.code[:4] in {'PKT-', 'NET-'}
            try:
                snapshot = peers.decode_snapshot(raw, 0, KEY)
            except CodedError as exc:
                assert exc.code[:4] in {'PKT-', 'NET-'}
            else:
                intake.apply_snapshot(
                    Directory(), SnapshotFetched('n1', snapshot, 0), 0
                )

    search()


@then('a beat survives encoding, with fields that are not known yet')
def check_beats(context):
    @QUIET
    @vary(BEATS)
    def search(beat):
        assert peers.decode_beat(peers.encode_beat(beat, KEY), KEY) == beat
        content = json.loads(peers.encode_beat(beat, KEY)[17:])
        content['of_a_later_version'] = [1, 2]
        raw = peers.sign_message(json.dumps(content).encode(), KEY)
        assert peers.decode_beat(raw, KEY) == beat

    search()


@then('hypothesis finds no directory that changes in a snapshot')
def check_snapshots(context):
    policies = st.builds(
        RequestPolicy,
        st.one_of(st.none(), st.integers(0, 9)),
        st.floats(0, 100),
        st.floats(0, 100),
        st.booleans(),
    )
    routes = st.builds(
        Route,
        names,
        words,
        ports,
        st.just((('search', 2), ('archive', 1))),
        policies,
    )
    targets = st.builds(
        make_target,
        st.integers(1, 2**64 - 1),
        st.sampled_from(['search', 'archive']),
        draining=st.booleans(),
    )

    @QUIET
    @vary(
        st.lists(routes, max_size=4, unique_by=lambda one: one.port),
        st.lists(targets, max_size=4, unique_by=lambda one: one.name),
    )
    def search(some_routes, some_targets):
        told = Directory()
        told.adopt_routes(some_routes, ConfigStamp(7, 2, 9), 1)
        listed = {one.name: (one, 5) for one in some_targets}
        told.adopt_targets(listed, Stamp(2, 8), 2, 2)
        raw = peers.encode_snapshot(told, 3, KEY)
        snapshot = peers.decode_snapshot(raw, 0, KEY)
        assert snapshot.routes == some_routes
        assert snapshot.targets == listed
        assert snapshot.routes_stamp == ConfigStamp(7, 2, 9)
        assert snapshot.targets_stamp == Stamp(2, 8)
        assert (snapshot.routes_age, snapshot.targets_age) == (2, 1)

    search()


@then('hypothesis finds no order of facts in which the directories differ')
def check_directories(context):
    entry = st.tuples(
        st.integers(1, 4), st.integers(1, 30), st.sampled_from('rdg')
    )

    @QUIET
    @vary(st.lists(entry, max_size=30))
    def search(entries):
        directory = Directory()
        directory.adopt_routes([Route('r', 1, 1, ())], ConfigStamp(1), 0)
        directory.adopt_targets({}, Stamp(), 0, 0)
        naive = {}
        for number, revision, state in entries:
            target = make_target(number, draining=state == 'd')
            known = naive.get(target.name, (0, None))
            gone = state == 'g'
            # A removal may bear the revision of the last change.
            if revision > known[0] or (gone and revision == known[0]):
                naive[target.name] = (revision, None if gone else target)
            change = (target.name, None if gone else target, revision)
            stamp = Stamp(revision=revision)
            directory.apply_targets([change], stamp, 0, 0)
        expected = [one for _, one in naive.values() if one is not None]
        view = directory.make_view(0)
        held = [one for one, _ in directory.list_targets().values()]
        assert sorted(held, key=str) == sorted(expected, key=str)
        ready = [one for one in expected if not one.draining]
        found = view.by_service.get('search', [])
        assert sorted(found, key=str) == sorted(ready, key=str)
        assert {one.cookie for one in expected} == view.by_cookie.keys()

    search()


@then('a view taken before a change shows the state before it')
def check_view(context):
    directory = Directory()
    route = Route('r', 1, 443, (('search', 1),))
    directory.adopt_routes([route], ConfigStamp(1), 0)
    target = make_target(1)
    listed = {target.name: (target, 1)}
    directory.adopt_targets(listed, Stamp(revision=1), 0, 0)
    view = directory.make_view(0)
    directory.adopt_routes([], ConfigStamp(2), 0)
    gone = (target.name, None, 3)
    directory.apply_targets([gone], Stamp(revision=3), 0, 0)
    assert view.routes == {(1, 443): route}
    assert not view.removed_routes
    assert view.by_cookie == {1: target}
    assert view.by_service == {'search': [target]}
    assert not view.gone_by_cookie
    later = directory.make_view(0)
    assert later.removed_routes == {(1, 443)}
    assert later.gone_by_cookie == {1: target}


@given('a settings file with a bad address and without a zone')
def write_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    path = Path(folder.name) / 'node.toml'
    path.write_text(
        'node_name = "n"\nip = "127.0.0.1"\n'
        '[listen]\ndatagram_addr = "127.0.0.1"\nready = "127.0.0.1:2"\n'
        '[platform]\naddress = "127.0.0.1:3"\n'
    )
    context.path = str(path)


@then('both errors are told with the file and the field')
def check_errors(context):
    loaded, errors = load_node_settings(context.path)
    assert loaded is None
    places = {exc.place for exc in errors}
    fields = ('zone', 'listen.datagram_addr')
    assert places == {f'{context.path} {field}' for field in fields}, places


@given('a configuration whose second route has no port')
def make_configuration(context):
    good = {'name': 'r-1', 'host': '198.18.0.1', 'service': 'search'}
    context.spec = {
        'routes': [
            {**good, 'path_prefix': '/443/'},
            {**good, 'path_prefix': '//'},
            {
                **good,
                'path_prefix': '/80/',
                'split': [
                    {'service': 'search', 'weight': 0},
                    {'service': 'archive', 'weight': 3},
                ],
            },
        ]
    }


@then('the other routes are in force and the error names the second')
def check_routes(context):
    routes, errors = objects.load_routes(context.spec)
    assert [route.port for route in routes] == [443, 80]
    assert routes[1].weighted_services == (('archive', 3),)
    assert [exc.place for exc in errors] == ['config/main routes.1']


@then('hypothesis finds no sequence of packets that the engine fails on')
def check_engine(context):
    few = st.integers(0, 3)
    packets = st.builds(
        make_packet,
        st.integers(40001, 40003),
        st.integers(0, 15),
        st.sampled_from([443, 444]),
        cookie=st.integers(0, 6),
        seq=few,
        ack=few,
        size=few,
    )
    turn = st.tuples(packets, st.sampled_from([0, 0.2, 0.6, 6]), few)

    @QUIET
    @vary(st.lists(turn, max_size=25))
    def search(turns):
        desk = Desk()
        desk.set_routes(make_route('search'))
        desk.set_targets(*map(make_target, range(1, 4)))
        for packet, wait, change in turns:
            desk.pass_time(wait)
            if change == 3:
                desk.change('i-00000002', make_target(4, draining=True))
            effect = desk.put(packet)
            assert isinstance(effect, (Forward, Reset, Drop))
            if isinstance(effect, Forward):
                assert effect.cookie != 0
                is_syn = packet.flags & pkt.SYN
                assert is_syn or effect.cookie == effect.target.cookie
            desk.engine.take_lost_flows(desk.now)
            for load in desk.engine.flows.loads.values():
                assert load.flows >= 0
                assert 0 <= load.waiting <= load.flows

    search()


@given('a beat with the loads of {count:d} targets')
def make_full_beat(context, count):
    loads = {
        context.rng.getrandbits(32): context.rng.randrange(1, 60)
        for _ in range(count)
    }
    context.beat = peers.Beat('n1', 'a', '10.0.0.1', 7, zone_loads=loads)
    context.raw = peers.encode_beat(context.beat, KEY)


@then('it fits into a datagram and survives encoding')
def check_full_beat(context):
    assert len(context.raw) <= peers.MAX_BEAT_BYTES, len(context.raw)
    assert peers.decode_beat(context.raw, KEY) == context.beat


@then('bent copies of it are refused with a code or read as they were')
def check_bent_beats(context):
    body = peers.verify_message(context.raw, KEY)
    for _ in range(200):
        bent = bytearray(body)
        bent[context.rng.randrange(1, len(bent))] ^= 1 << context.rng.randrange(
            8
        )
        cut = bytes(bent[: context.rng.randrange(2, len(bent) + 1)])
        for content in (bytes(bent), cut):
            try:
                beat = peers.decode_beat(peers.sign_message(content, KEY), KEY)
            except CodedError:
                continue
            assert isinstance(beat, peers.Beat)


@when('{count:d} probes of a target stay without an answer')
def probe_in_vain(context, count):
    context.health = FlowHealth()
    context.now = 100.0
    for number in range(count):
        context.now += 5
        for flow in ('first', 'second'):
            name = ('n1', f'{flow} {number}')
            context.health.note_repeat('target', name, context.now)


@then('it gets no new flow for {seconds:d} s after the last one')
def check_avoided(context, seconds):
    assert context.health.is_avoided('target', context.now + seconds - 0.1)
    assert not context.health.is_avoided('target', context.now + seconds + 0.1)


@then('a median without one of the values is that of the others')
def check_median(context):
    shares = st.lists(st.floats(0, 1), min_size=2, max_size=9)

    @QUIET
    @vary(shares, st.data())
    def search(values, draw):
        value = draw.draw(st.sampled_from(values))
        found = find_median_without(sorted(values), value)
        others = list(values)
        others.remove(value)
        assert abs(found - statistics.median(others)) < 1e-9

    search()


JSON = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(10**40), 10**40),
        st.floats(),
        st.text(max_size=8),
        st.sampled_from(('ready', '10.0.0.1:80', 'draining', 'gone')),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=6,
)
WHOLE_SPEC = {
    'service': 'search',
    'address': '10.0.0.1:8080',
    'zone': 'a',
    'max_concurrent': 2,
    'state': 'ready',
    'warmup_left_ms': 0,
    'seq': 1,
    'born': 1700000000000,
}
ENTRIES = st.one_of(
    JSON,
    st.builds(
        lambda name, revision, changed: {
            'meta': {'name': name, 'revision': revision},
            'spec': {**WHOLE_SPEC, **changed},
        },
        st.one_of(st.just('i-7f'), JSON),
        st.one_of(st.integers(1, 99), JSON),
        st.dictionaries(st.sampled_from(sorted(WHOLE_SPEC)), JSON, max_size=2),
    ),
)


@then('hypothesis finds no entry that is neither left out nor whole')
def check_entries(context):
    @QUIET
    @vary(ENTRIES)
    def search(item):
        found, errors = objects.load_registration(item, 100)
        if found is None or found.target is None:
            assert errors and errors[0].code == 'CFG-004'
            return
        assert not errors
        check_whole(found.target)

    search()


def check_whole(target):
    assert type(target.slots) is int
    assert target.slots > 0
    assert type(target.born) is int
    assert 0 < target.identity < 1 << 64
    assert isinstance(target.service, str)
    assert isinstance(target.zone, str)
    host, port = target.address
    assert 0 < port < 65536
    assert len(host.split('.')) == 4
    assert 100 <= target.cold_until <= 100 + objects.MAX_WARMUP_MS / 1000


@then('a target told in a beat is the same one, reborn or unreadable')
def check_told_targets(context):
    for target in (make_target(5, born=1700000000000), UNREADABLE, None):
        item = json.loads(
            json.dumps(peers.encode_change('i-00000005', target, 7, 0))
        )
        name, found, revision = peers.decode_change(item, 0)
        assert (revision, found) == (7, target)


@then(
    'hypothesis finds no order of events that gives a cold target too much',
)
def check_cold_budget(context):
    event = st.tuples(
        st.sampled_from(['restart', 'kill', 'cut_off', 'heal', 'add']),
        st.integers(0, 28),
        st.sampled_from([0, 0.25, 0.5, 1, 3]),
    )

    @settings(max_examples=20, derandomize=True, database=None, deadline=None)
    @vary(
        st.sampled_from([29, 100]),
        st.sampled_from([0, 3, 20]),
        st.lists(event, max_size=12),
    )
    def search(count, per_s, events):
        world = ColdWorld(count, per_s)
        world.run(4, press=False)
        for kind, number, wait in events:
            act_on(world, kind, number)
            world.run(wait)
        world.run(1)
        assert world.count_most() <= world.budget, world.count_most()

    search()


def act_on(world, kind, number):
    """Let something happen to one instance of a zone."""
    if kind == 'heal':
        world.heal()
    elif kind == 'add':
        world.restart(world.count + number)
    else:
        getattr(world, kind)(number)
