"""Entries of other writers, and an instance that reads them.

Values are drawn at random, with a share of extremes that no JSON library
would write.  The instance is made of the product's parts, without sockets:
source, directory, engine, and what it sends to its peers.
"""

import json
import random
import string
import zlib

from hypothesis import strategies as st

from cornelgap.core.errors import CodedError
from cornelgap.decisions.cold_starts import ColdStarts
from cornelgap.forwarding import intake, metric_page
from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding import peer_messages as peers
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.directory_view import UNREADABLE
from cornelgap.forwarding.engine import Engine
from cornelgap.forwarding.facts import (
    RoutesKnown,
    TargetsListed,
    ZonesDrained,
)
from cornelgap.forwarding.fetcher import SnapshotFetched
from cornelgap.forwarding.packets import Forward
from cornelgap.platform.layout import encode_forward
from cornelgap.platform.sources import StoreSource
from cornelgap.platform.store import Listing, load_json
from features.proofs.forwarding_desk import PORT, make_packet
from standins.object_store import RawJson, encode_content

KEY = b'key of a test fleet'
GOOD = tuple(f'i-{number:08x}' for number in (1, 2, 3))
OTHER_PORT = 80
NOW = 100

EXTREMES = st.sampled_from(
    (
        RawJson('[' * 400 + ']' * 400),
        RawJson('[' * 990 + ']' * 990),
        RawJson('{"a":' * 2000 + '7' + '}' * 2000),
        RawJson('[' * 100000 + ']' * 100000),
        RawJson('9' * 5000),
        RawJson('-' + '9' * 310),
        RawJson('1e999'),
        RawJson('-1e999'),
        RawJson('NaN'),
        RawJson(r'"\ud800"'),
        RawJson(r'"\u0000\n\"\\"'),
        RawJson('"' + 'long' * 100000 + '"'),
        RawJson('[' + '{},' * 50000 + '{}]'),
    )
)
TEXTS = st.text(max_size=20) | st.text(string.hexdigits, max_size=300)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    TEXTS,
    st.sampled_from(('search', 'a', 'ready', '127.0.0.1:1', '10.0.0.1:80')),
)
VALUES = EXTREMES | st.recursive(
    SCALARS,
    lambda child: (
        st.lists(child, max_size=3) | st.dictionaries(TEXTS, child, max_size=3)
    ),
    max_leaves=6,
)


def make_spec(number=9):
    """Make the registration of a ready target."""
    return {
        'service': 'search',
        'address': f'127.0.0.1:{8000 + number}',
        'zone': 'a',
        'max_concurrent': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'born': 1,
    }


def make_route(port):
    """Make a route as the configuration has it."""
    return {
        'name': f'r-{port}',
        'host': '198.18.0.1',
        'path_prefix': f'/{port}/',
        'service': 'search',
        'split': [
            {'service': 'search', 'weight': 1},
            {'service': 'archive', 'weight': 1},
        ],
        'type': 'idempotent',
        'priority': 2,
        'timeout_ms': 1500,
        'latency_goal_ms': 150,
    }


def vary_fields(whole):
    """Draw a value, or an object in which some fields have other values."""
    fields = st.dictionaries(
        st.sampled_from(sorted(whole)) | TEXTS, VALUES, max_size=3
    )
    return VALUES | fields.map(lambda changes: {**whole, **changes})


SHARES = vary_fields({'service': 'search', 'weight': 1})
ROUTES = vary_fields(make_route(OTHER_PORT)) | st.lists(SHARES, max_size=3).map(
    lambda shares: {**make_route(OTHER_PORT), 'split': shares}
)
REGISTRATIONS = st.dictionaries(
    st.text(min_size=1, max_size=12) | st.just('i-000000a1'),
    vary_fields(make_spec()),
    max_size=4,
)
CONFIGURATIONS = st.fixed_dictionaries(
    {'version': VALUES, 'services': VALUES | st.lists(VALUES, max_size=2)},
    optional={'limits': VALUES},
)
DRAINED = st.dictionaries(st.text(min_size=1, max_size=9), VALUES, max_size=2)


class Answers:
    """Answers of a store, each encoded and decoded once.

    :param objects: specs by name, by kind.
    """

    def __init__(self, objects):
        self._objects = objects

    def list_objects(self, kind, _stale=False):
        """Return all objects of a kind."""
        items = [
            {'meta': {'name': name, 'revision': 5}, 'spec': spec}
            for name, spec in self._objects[kind].items()
        ]
        raw = encode_content({'items': items, 'store_revision': 9})
        return Listing(load_json(raw)['items'], 9)


class Instance:
    """One instance that hears the store, or another instance."""

    def __init__(self):
        self.directory = Directory()
        self._engine = Engine('a', random.Random(1), ColdStarts('n0'))

    def read_store(self, objects):
        """Read everything that the store holds."""
        apply_by_kind = {
            TargetsListed: intake.apply_target_list,
            ZonesDrained: intake.apply_drained_zones,
            RoutesKnown: intake.apply_routes,
        }
        for fact in StoreSource(Answers(objects)).list_facts():
            apply_by_kind[type(fact)](self.directory, fact, NOW)
        self._adopt()

    def make_snapshot(self):
        """Return what a peer gets."""
        return peers.encode_snapshot(self.directory, NOW, KEY)

    def read_snapshot(self, raw):
        """Read what a peer has sent."""
        snapshot = peers.decode_snapshot(raw, NOW, KEY)
        message = SnapshotFetched('n1', snapshot, NOW)
        intake.apply_snapshot(self.directory, message, NOW)
        self._adopt()

    def place_flow(self, port, caller):
        """Return the target of a new flow, or None; its datagram is made."""
        packet = make_packet(caller, pkt.SYN, port, raw=bytes(36))
        effect = self._engine.handle(packet, NOW)
        if not isinstance(effect, Forward):
            return None
        encode_forward(packet, effect.target, effect.cookie)
        return effect.target

    def _adopt(self):
        self._engine.adopt_view(self.directory.make_view(NOW))
        self._engine.note_directory_fresh(NOW)


def check_harmless(registrations, route, configuration, drained):
    """Check that foreign entries neither raise anything nor hide the others."""
    good = {name: make_spec(number) for number, name in enumerate(GOOD, 1)}
    routes = [make_route(PORT), route]
    objects = {
        'servers': {**registrations, **good},
        'config': {'main': {**configuration, 'routes': routes}},
        'evacuations': {**drained, 'far': {}},
    }
    reader = Instance()
    reader.read_store(objects)
    told = Instance()
    told.read_snapshot(reader.make_snapshot())
    for instance in (reader, told):
        _check_knowledge(instance, drained)


def _check_knowledge(instance, drained):
    directory = instance.directory
    known = directory.list_targets()
    assert known.keys() >= set(GOOD)
    assert all(target is not UNREADABLE for target, _ in known.values())
    assert PORT in {route.port for route in directory.list_routes()}
    assert 'far' in directory.list_drained_zones()
    changes = [
        peers.encode_change(name, target, revision, NOW)
        for name, (target, revision) in known.items()
    ]
    beat = peers.Beat('n0', 'a', '127.0.0.1', 1, changes=changes)
    beat.drained_zones = sorted(directory.drained_zones)
    heard = peers.decode_beat(peers.encode_beat(beat, KEY), KEY)
    for change in heard.changes:
        peers.decode_change(change, NOW)
    zones = dict.fromkeys(directory.list_drained_zones(), 1)
    metric_page.make_page(metric_page.make_samples({}, {'zone_drained': zones}))
    targets = [instance.place_flow(PORT, caller) for caller in range(20)]
    for caller in range(20):
        instance.place_flow(OTHER_PORT, caller)
    if 'a' not in drained:
        assert all(targets)


def check_snapshot(position, value):
    """Check that an instance adopts or refuses a snapshot with one value replaced.

    :param position: number of the value to replace, among all in the snapshot.
    """
    good = {name: make_spec(number) for number, name in enumerate(GOOD, 1)}
    reader = Instance()
    reader.read_store(
        {
            'servers': good,
            'config': {'main': {'version': 1, 'routes': [make_route(PORT)]}},
            'evacuations': {'far': {}},
        }
    )
    raw = zlib.decompress(peers.verify_message(reader.make_snapshot(), KEY))
    content = json.loads(raw)
    places = list(_list_places(content))
    holder, key = places[position % len(places)]
    holder[key] = value
    body = zlib.compress(encode_content(content))
    told = Instance()
    try:
        told.read_snapshot(peers.sign_message(body, KEY))
    except CodedError:
        return
    for caller in range(20):
        told.place_flow(PORT, caller)


def _list_places(content):
    """Return a generator of all (holder, key) within lists and objects."""
    keys = content if isinstance(content, dict) else range(len(content))
    for key in keys:
        yield content, key
        if isinstance(content[key], (dict, list)):
            yield from _list_places(content[key])
