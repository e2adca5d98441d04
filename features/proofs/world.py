"""A small world in one process: some entries, targets, callers, a platform.

It is a fixture for the failure tests and not a simulator of a cluster: a
seed and a list of faults in, a tape for the checkers out.
"""

import random
from dataclasses import replace
from unittest import mock

from cornelgap.core import token
from cornelgap.core.control import Instance
from cornelgap.core.settings import (
    Cfg,
    KeyCfg,
    KeyStage,
    ServiceCfg,
    TargetCfg,
    TargetMode,
)
from features.proofs import checkers
from features.proofs import records as rec
from features.proofs.caller_node import CallerNode
from features.proofs.clock import Loop
from features.proofs.entry_node import EntryNode
from features.proofs.fabric import Fabric
from features.proofs.fake_platform import LIST_LAG_S, Platform
from features.proofs.fake_target import EVENTS_PER_S, Target

ZONES = ('z1', 'z2')
SERVICES = {'booking': 3, 'briefing': 3}
QUIET_S = 4.5
"""Time without new work at the end, in which all that is open must end."""

FEED_SILENCE_S = 3.0


class _SeededSecrets:
    """Stands in for the module ``secrets``, so that a seed is a run."""

    def __init__(self, rng):
        self._rng = rng

    def randbits(self, count):
        """Give random bits."""
        return self._rng.getrandbits(count)

    def token_bytes(self, count):
        """Give random bytes."""
        return self._rng.randbytes(count)


class World:
    """Everything of one run."""

    def __init__(self, seed, entries=3, callers=4, revision=1):
        """Start everything and let it find its feet."""
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.tape = rec.Tape()
        self.sent = set()
        self.fabric = Fabric(self.loop, self.rng)
        self.nodes = {}
        self.targets = {}
        self.addresses = {}
        self.callers = {}
        # Whoever cannot read the platform cannot know that a target leaves.
        self.blinded = False
        self.feed_origin = int(self.loop.now * EVENTS_PER_S)
        self._secrets = mock.patch.object(
            token, 'secrets', _SeededSecrets(self.rng)
        )
        self._secrets.start()
        self.platform = Platform(self, ZONES[0], [Cfg()])
        self._make_targets()
        self.platform.revisions.append(self._make_cfg(revision))
        for number in range(1, entries + 1):
            self.start_entry(f'e{number}')
        self.run(0.5)
        names = list(SERVICES)
        for number in range(1, callers + 1):
            self.start_caller(number, names[number % len(names)])

    def close(self):
        """Put the module of secrets back."""
        self._secrets.stop()

    def run(self, length_s):
        """Let time pass."""
        self.loop.run_until(self.loop.now + length_s)

    # Making.

    def _make_targets(self):
        for service, count in SERVICES.items():
            for number in range(1, count + 1):
                name = f'{service}{number}'
                zone = ZONES[number % len(ZONES)]
                self.start_target(name, service, zone, f'{name}:9')

    def start_target(self, name, service, zone, address):
        """Start a target at an address, whatever was there before."""
        target = Target(self, name, service, zone, address)
        self.targets[name] = target
        self.addresses[address] = target
        return target

    def _make_cfg(self, revision):
        services = {}
        for service in SERVICES:
            targets = {
                one.name: TargetCfg(one.name, one.address, one.zone, one.slots)
                for one in self.targets.values()
                if one.service == service
            }
            services[service] = ServiceCfg(
                service, targets=targets, token_s=60, deadline_ms=5000
            )
        return Cfg(revision, services, {1: KeyCfg(1, b'1' * 32)})

    def start_entry(self, name, zone=''):
        """Start an entry process; the list shows it after a lag."""
        number = int(name[1:])
        node = EntryNode(self, name, zone or ZONES[number % len(ZONES)])
        self.nodes[name] = node
        lag = LIST_LAG_S if len(self.platform.listed) >= 3 else 0
        self.loop.at(lag, self._list_entry, node)
        return node

    def _list_entry(self, node):
        listed = [it for it in self.platform.listed if it.name != node.name]
        listed.append(
            Instance(node.name, node.zone, node.address, node.address)
        )
        self.platform.listed = listed

    def start_caller(self, number, service):
        """Start a caller of a service."""
        caller = CallerNode(self, number, service)
        self.callers[caller.address] = caller
        return caller

    # Finding.

    def spray(self):
        """Pick the entry instance that the fabric gives a packet to."""
        listed = [self.nodes[it.name] for it in self.platform.listed]
        # The fabric notices a dead instance a little later than others.
        usable = [it for it in listed if it.alive or self.rng.random() < 0.1]
        return self.rng.choice(usable) if usable else None

    def find_node(self, address):
        """Find the process at an address, None if there is none."""
        found = self.nodes.get(address.partition(':')[0])
        return found

    def deliver_caller(self, name, data, address):
        """Deliver a caller's datagram to the process of this name now."""
        self.nodes[name].receive_caller(data, address)

    def deliver_peer(self, address, data, source):
        """Deliver a peer's datagram to the process at this address now."""
        node = self.find_node(address)
        if node is not None:
            node.receive_peer(data, source)

    def find_home(self, caller):
        """Find the process that is home of a caller's flow, or None."""
        key = caller.flow.flow + caller.flow.epoch.to_bytes(8, 'big')
        for node in self.nodes.values():
            flow = node.engine.state.flows.get(key)
            if node.alive and flow is not None and not flow.moved_to:
                return node
        return None

    def find_pin(self, service):
        """Find a target that a caller of a service is on."""
        caller = next(
            one for one in self.callers.values() if one.service == service
        )
        home = self.find_home(caller)
        key = caller.flow.flow + caller.flow.epoch.to_bytes(8, 'big')
        return home.engine.state.flows[key].target

    # Changes.

    def restart_entry(self, name):
        """Replace a process by another one at the same address."""
        self.nodes[name].kill()
        return self.start_entry(name, self.nodes[name].zone)

    def publish(self, change, write_id='w'):
        """Write a changed configuration; ``change`` maps Cfg to Cfg."""
        self.fabric.ask_hooks('configuration publish', ())
        newest = self.platform.newest()
        cfg = replace(change(newest), revision=newest.revision + 1)
        return self.platform.write(cfg, newest.revision, write_id)

    def drain_target(self, name):
        """Have operators drain a target by configuration."""
        if not self.publish(lambda cfg: _drain(cfg, name)):
            return False
        self.tape.note(rec.Left(name, self.loop.now))
        return True

    def list_leaving(self, name):
        """Have the platform's list say that a target is leaving."""
        self.platform.leaving_targets |= {name}
        self.targets[name].draining = True
        self.tape.note(rec.Left(name, self.loop.now))

    def rotate_key(self):
        """Publish a key, sign with it, retire the old one, in steps."""
        key_id = max(self.platform.newest().keys) + 1
        new = KeyCfg(key_id, bytes([key_id]) * 32, KeyStage.PUBLISHED)
        ring = {**self.platform.newest().keys, key_id: new}
        if self.publish(lambda cfg: replace(cfg, keys=ring)):
            self.loop.at(1.5, self._sign_with, key_id)

    def _sign_with(self, key_id):
        def change(cfg):
            keys = {
                number: replace(
                    key,
                    stage=KeyStage.SIGNING
                    if number == key_id
                    else KeyStage.RETIRING,
                )
                for number, key in cfg.keys.items()
            }
            return replace(cfg, keys=keys)

        self.publish(change)

    # Judging.

    def finish(self):
        """Stop the work, let all end, and judge.

        :returns: violations by checker.
        """
        for caller in self.callers.values():
            caller.stopped = True
        self.run(QUIET_S)
        found = checkers.check_all(self.tape)
        if self.blinded:
            found.pop('drain', None)
        stuck = self._find_stuck()
        if stuck:
            found['liveness'] = stuck
        return found

    def _find_stuck(self):
        stuck = []
        for caller in self.callers.values():
            if caller.open_holds:
                stuck.append(f'{caller.name} waits for {caller.open_holds}')
            silent = self.loop.now - caller.last_heard
            if silent > FEED_SILENCE_S:
                stuck.append(f'{caller.name} feed silent for {silent:.1f} s')
        return stuck


def _drain(cfg, name):
    services = {}
    for key, service in cfg.services.items():
        targets = dict(service.targets)
        if name in targets:
            targets[name] = replace(targets[name], mode=TargetMode.DRAINING)
        services[key] = replace(service, targets=targets)
    return replace(cfg, services=services)
