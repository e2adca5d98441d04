"""Instances of one availability zone in virtual time that tell each other.

Each turn all beats arrive, but those of instances that are dead or cut off.
"""

import random

from cornelgap.forwarding.neighbours import InstanceIdentity, Neighbours
from cornelgap.forwarding.peer_messages import Beat

TURN_S = 0.25


class Zone:
    """Instances that know the first one's address at their start.

    :param count: number of instances.
    :param wide: how many of them have wide links.
    """

    def __init__(self, count, wide):
        """Start all instances."""
        self.now = 100
        self.dead = set()
        self.cut_off = set()
        self.nodes = {}
        self._wide = wide
        for number in range(count):
            self.start(number)

    def start(self, number):
        """Start an instance, or start it again: it then knows nobody."""
        host = f'10.0.0.{number}'
        capacity = 10 if number < self._wide else 3
        own = InstanceIdentity(f'n{number}', 'a', host, capacity)
        seeds = ['10.0.0.5', '10.0.0.7']
        self.nodes[host] = Neighbours(own, seeds, random.Random(number))
        self.dead.discard(host)

    def turn(self, loads=None):
        """Pass a quarter of a second."""
        self.now += TURN_S
        for host, node in self.nodes.items():
            if host not in self.dead:
                node.expire(self.now)
                self._send_all(node, loads or {})

    def list_alive(self):
        """Return the instances that are alive."""
        return [
            node for host, node in self.nodes.items() if host not in self.dead
        ]

    def _send_all(self, node, loads):
        hello = node.choose_hello_host(self.now)
        if hello is not None:
            self._send(node, hello, hello=True)
        members = node.list_members(self.now, 'a') if node.is_hub else []
        for near in node.list_beat_hosts():
            self._send(node, near, members=members)
        if node.is_first_hub:
            total = node.sum_other_loads({}, self.now)
            for cookie, flows in loads.items():
                total[cookie] = total.get(cookie, 0) + flows
            for near in node.list_beat_hosts():
                self._send(node, near, zone_loads=total)
        else:
            for near in node.list_load_hosts():
                self._send(node, near, loads=loads)

    def _send(self, node, host, **parts):
        if host in self.dead or self.cut_off & {host, node.host}:
            return
        beat = Beat(
            node.name,
            'a',
            node.host,
            1,
            node.capacity,
            hub=node.is_hub,
            **parts,
        )
        other = self.nodes[host]
        other.record_beat(beat, self.now)
        if beat.hello:
            members = other.list_members(self.now, 'a')
            self._send(other, node.host, members=members)
