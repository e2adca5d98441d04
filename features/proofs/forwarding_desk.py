"""A forwarding engine driven by hand, with a directory and a clock.

Callers, targets and the store are small fakes in virtual time; what a
target would have received is kept in ``arrived``.
"""

import random

from cornelgap.decisions.cold_starts import ColdStarts
from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.directory_view import (
    Route,
    Target,
    make_cookie,
)
from cornelgap.forwarding.engine import Engine
from cornelgap.forwarding.packets import Forward, Packet, Reset
from cornelgap.forwarding.stamps import ConfigStamp, Stamp

ADDRESS = 0xC6120001
PORT = 443
ZONE = 'a'


def make_route(*services, port=PORT):
    """Make a route whose services share alike."""
    weighted_services = tuple((service, 1) for service in services)
    return Route(f'r-{port}', ADDRESS, port, weighted_services)


def make_target(number, service='search', zone=ZONE, **changes):
    """Make a ready target; its address follows from its number."""
    values = {
        'name': f'i-{number:08x}',
        'identity': number,
        'cookie': make_cookie(number),
        'service': service,
        'address': (f'10.0.0.{number % 250}', 8080),
        'zone': zone,
        'slots': 2,
        'draining': False,
        'cold_until': 0,
    }
    return Target(**{**values, **changes})


def make_packet(caller, flags, port=PORT, **fields):
    """Make a packet of a caller's flow; the caller's port names the flow."""
    values = {
        'source': 0x64400007,
        'source_port': caller,
        'destination': ADDRESS,
        'destination_port': port,
        'flags': flags,
        'cookie': 0,
        'seq': 1000,
        'ack': 0,
        'size': 0,
        'raw': b'',
    }
    return Packet(**{**values, **fields})


class Desk:
    """One instance's engine and directory, and what became of packets."""

    def __init__(self, seed=1, zone=ZONE, name='n0', cold_limit=None):
        """Begin at second 100 with an empty directory.

        :param name: the instance.
        :param cold_limit: what a cold target may get, None for any number.
        """
        self.now = 100
        self.revision = 0
        self.directory = Directory()
        self.engine = Engine(
            zone, random.Random(seed), ColdStarts(name, cold_limit)
        )
        self.effects = []

    def set_routes(self, *routes, revision=None, warmups=None):
        """Let the store tell a configuration."""
        if revision is None:
            self.revision += 1
            revision = self.revision
        stamp = ConfigStamp(revision=revision)
        self.directory.adopt_routes(routes, stamp, self.now, warmups)
        self.show()

    def drain_zones(self, *zones, revision=None):
        """Let the store tell which zones operators drain, as of now."""
        if revision is None:
            self.revision += 1
            revision = self.revision
        stamp = Stamp(revision=revision)
        self.directory.adopt_drained_zones(zones, stamp, self.now)
        self.show()

    def set_targets(self, *targets, revision=None):
        """Let the store list targets, as of now."""
        if revision is None:
            self.revision += 1
            revision = self.revision
        listed = {target.name: (target, revision) for target in targets}
        stamp = Stamp(revision=revision)
        self.directory.adopt_targets(listed, stamp, self.now, self.now)
        self.show()

    def change(self, *changes):
        """Let the store tell changes: targets, or names that vanished."""
        told = []
        for item in changes:
            self.revision += 1
            gone = isinstance(item, str)
            name = item if gone else item.name
            told.append((name, None if gone else item, self.revision))
        stamp = Stamp(revision=self.revision)
        self.directory.apply_targets(told, stamp, self.now, self.now)
        self.show()

    def confirm(self):
        """Let the store say that nothing has changed."""
        self.directory.confirm_routes(self.now)
        self.directory.confirm_targets(self.now, self.now)
        self.show()

    def show(self):
        """Give the engine the directory's present view."""
        if self.directory.complete:
            self.engine.adopt_view(self.directory.make_view(self.now))
            age = self.directory.compute_age(self.now)
            self.engine.note_directory_fresh(self.now - age)

    def pass_time(self, seconds):
        """Let time pass; the store is silent meanwhile."""
        self.now += seconds
        self.engine.expire(self.now)

    def put(self, packet):
        """Handle a packet.

        :returns: the effect.
        """
        effect = self.engine.handle(packet, self.now)
        self.effects.append(effect)
        return effect

    def open(self, caller, port=PORT, copy=0):
        """Send a SYN, or a copy of it.

        :returns: the target that got it, or None.
        """
        effect = self.put(make_packet(caller, pkt.SYN, port, ack=copy))
        return effect.target if isinstance(effect, Forward) else None

    def close(self, caller, target, **fields):
        """Send the caller's FIN on an open flow."""
        return self.send(caller, target, flags=pkt.ACK | pkt.FIN, **fields)

    def send(
        self,
        caller,
        target,
        ack=5000,
        size=0,
        seq=1000,
        port=PORT,
        flags=pkt.ACK,
    ):
        """Send a packet on an open flow."""
        cookie = target if isinstance(target, int) else target.cookie
        return self.put(
            make_packet(
                caller,
                flags,
                port,
                cookie=cookie,
                ack=ack,
                size=size,
                seq=seq,
            )
        )


def got_reset(effect):
    """Say whether the caller was reset."""
    return isinstance(effect, Reset)


def get_target(effect):
    """Return the target that got the packet, or None."""
    return effect.target if isinstance(effect, Forward) else None
