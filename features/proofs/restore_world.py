"""Instances that follow a stand-in store, and what they believe.

A reader is the store's source and the directory of one instance, without
its packets: facts go from real calls into the directory.
"""

import random

from msgspec.structs import replace

from cornelgap.forwarding import intake, peer_messages
from cornelgap.forwarding.beats import BeatSender
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.facts import (
    RoutesKnown,
    TargetsChanged,
    TargetsListed,
    ZonesDrained,
    read_clock,
)
from cornelgap.forwarding.fetcher import SnapshotFetched
from cornelgap.forwarding.neighbours import InstanceIdentity, Neighbours
from cornelgap.forwarding.news import BeatEffect
from cornelgap.platform.sources import StoreSource
from cornelgap.platform.store import StoreClient, StoreError
from standins.object_store import ObjectStore, start_store

WAIT_S = 0.05
PATIENT_S = 15
"""Time-out where the store does answer, however busy the machine is."""
SERVICE = 'booking'
KEY = b'k' * 32
_TAKE = {
    RoutesKnown: intake.apply_routes,
    TargetsChanged: intake.apply_target_changes,
    TargetsListed: intake.apply_target_list,
    ZonesDrained: intake.apply_drained_zones,
}


def make_spec(number, state='ready', zone='a'):
    """Make what a target writes of itself."""
    return {
        'service': SERVICE,
        'address': f'10.0.0.{number}:8080',
        'zone': zone,
        'max_concurrent': 3,
        'state': state,
        'warmup_left_ms': 0,
    }


def make_name(number):
    """Name a target."""
    return f'i-{number:08x}'


def write_routes(store, version, *ports):
    """Write a configuration to a store."""
    routes = [
        {
            'name': f'r-{port}',
            'host': '198.18.0.1',
            'path_prefix': f'/{port}/',
            'service': SERVICE,
        }
        for port in ports
    ]
    store.put('config', 'main', {'version': version, 'routes': routes})


class World:
    """A store, and the instances that read it.

    :param cleanups: list that takes what ends the world.
    """

    def __init__(self, cleanups):
        """Start the store with two targets and a configuration."""
        self.store = ObjectStore()
        server = start_store(self.store)
        cleanups.append(server.shutdown)
        self.address = server.server_address
        self.write_target(1)
        self.write_target(2, zone='b')
        self.write_routes(1, 443)

    def write_target(self, number, state='ready', zone='a'):
        """Let a target write its registration."""
        spec = make_spec(number, state, zone)
        self.store.put('servers', make_name(number), spec)

    def write_routes(self, version, *ports):
        """Let the operator write a configuration."""
        write_routes(self.store, version, *ports)

    def make_client(self, stale=None):
        """Make an instance's client.

        :param stale: what a replica answers where an old answer will do, by
            kind; None to ask the store always.
        """
        client = StoreClient(self.address, PATIENT_S)
        if stale:
            fresh = client.list_objects

            def list_objects(kind, allow_stale=False):
                return stale[kind] if allow_stale else fresh(kind)

            client.list_objects = list_objects
        return client

    def write_other(self, count):
        """Let the store's revision rise by changes of no concern."""
        for number in range(count):
            self.store.put('others', f'o-{number}', {})


class _Wire:
    """Stands for a socket and keeps the last datagram."""

    def sendto(self, raw, _address):
        """Keep a datagram."""
        self.raw = raw


class Reader:
    """One instance's knowledge.

    :ivar later: seconds by which its clock is ahead of the real one.
    :ivar checks: how often it wanted the key to be checked.
    """

    def __init__(self, client):
        """Read all that the store holds.

        :param client: calls the store.
        """
        self.later = 0
        self.directory = Directory()
        self.checks = 0
        self.source = StoreSource(client, self._count_check)
        self.read_all()

    @property
    def now(self):
        """The instance's clock, seconds."""
        return read_clock() + self.later

    def read_all(self):
        """List all facts."""
        self._take(self.source.list_facts())

    def follow(self):
        """Wait for a change; list all where that fails, as followers do."""
        try:
            self._take(self.source.watch_facts(WAIT_S))
        except StoreError:
            self.read_all()

    def list_ports(self):
        """Return the ports of all routes in force."""
        return sorted(route.port for route in self.directory.list_routes())

    def list_open(self):
        """Return the names of the targets that get new flows."""
        view = self.directory.make_view(self.now)
        return sorted(
            target.name for target in view.by_service.get(SERVICE, ())
        )

    def list_drained(self):
        """Return the zones that get no new flow."""
        return sorted(self.directory.make_view(self.now).drained_zones)

    def hear(self, other):
        """Take in another instance's beat, and its snapshot if behind.

        :returns: set of :class:`~cornelgap.forwarding.news.BeatEffect`.
        """
        beat = peer_messages.decode_beat(other.make_beat(), KEY)
        news = intake.apply_beat(self.directory, beat, [], self.now)
        if BeatEffect.BEHIND in news:
            raw = peer_messages.encode_snapshot(other.directory, self.now, KEY)
            snapshot = peer_messages.decode_snapshot(raw, self.now, KEY)
            message = SnapshotFetched('10.0.9.1', snapshot, self.now)
            intake.apply_snapshot(self.directory, message, self.now)
        return news

    def make_beat(self):
        """Return the datagram by which this instance tells what it knows."""
        own = InstanceIdentity('n1', 'a', '10.0.9.1', 0)
        rng = random.Random(1)
        wire = _Wire()
        neighbours = Neighbours(own, (), rng)
        sender = BeatSender(own, 1, self.directory, neighbours, wire, 1)
        sender.key = KEY
        sender.send(['10.0.9.2'], 'a', following=True, now=self.now)
        return wire.raw

    def _count_check(self):
        self.checks += 1

    def _take(self, facts):
        for fact in facts:
            if not isinstance(fact, ZonesDrained):
                fact = replace(fact, as_of=fact.as_of + self.later)
            _TAKE[type(fact)](self.directory, fact, self.now)
