"""Zone b in virtual time: its instances, routers and callers; zone a beside it.

Each instance is an engine with its neighbours and its standing.  Beats pass
through their wire form.  Zone a is one engine and one hub that sends beats.
"""

import random

from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.failure_detector import Evidence
from cornelgap.forwarding.neighbours import (
    MEMBER_TIMEOUT_S,
    REPAIR_INTERVAL_S,
    InstanceIdentity,
    Neighbours,
)
from cornelgap.forwarding.packets import Drop, Forward, Reset
from cornelgap.forwarding.peer_messages import (
    Beat,
    decode_beat,
    decode_snapshot,
    encode_beat,
    encode_snapshot,
)
from cornelgap.forwarding.zone_standing import ZoneStanding
from features.proofs.forwarding_desk import (
    Desk,
    make_packet,
    make_route,
    make_target,
)

STEP_S = 0.05
TICK_STEPS = 5
BEAT_STEPS = 10
FAR_STEPS = 20
COPIES_S = (0, 0.2, 0.6)
ATTEMPT_S = 1.4
TRIES = 3
NEAR = tuple(make_target(number, zone='b') for number in range(1, 5))
FAR = tuple(make_target(number) for number in range(5, 9))
OTHER = tuple(
    make_target(number, zone='b', service='archive') for number in (11, 12)
)
ROUTES = (make_route('search'), make_route('archive', port=80))
KEY = b'k' * 32


class Instance(Desk):
    """An instance of zone b.

    :ivar out: whether it must not be ready.
    :ivar missed: questions of routers in a row that it has missed.
    """

    def __init__(self, number, now, targets, drained):
        """Start with the facts of the directory."""
        self.name = f'n{number}'
        super().__init__(number, 'b', self.name)
        self.now = now
        self.out = False
        self.keyed = True
        self.missed = 2
        own = InstanceIdentity(self.name, 'b', f'10.0.1.{number}', 10 - number)
        seeds = ['10.0.1.0', '10.0.1.1', '10.0.1.2']
        self.near = Neighbours(own, seeds, random.Random(number))
        self.standing = ZoneStanding(self.near, self.tell, self.note_out)
        self.set_routes(*ROUTES)
        self.set_targets(*targets)
        self.drain_zones(*drained)

    def note_out(self, out):
        """Note whether it must not be ready."""
        self.out = out

    def tell(self, message):
        """Take a message to the packet actor."""
        self.engine.openings.drop_until(self.now + message.for_s)


class World:
    """Zone b and what is around it.

    :ivar cut: whether zone b and zone a cannot reach each other.
    :ivar served: callers' openings that reached a target, by zone of the
        instance.
    :ivar lost: callers whose tries are gone.
    :ivar waits: seconds that each served caller has waited.
    :ivar changes: tuples (time, whether zone b is in rotation).
    """

    def __init__(
        self, count=4, drained=('b',), targets=NEAR + FAR + OTHER, per_s=20
    ):
        """Let everybody know everybody; callers hold flows in zone a."""
        self.now = 100.0
        self.steps = 0
        self.cut = False
        self.cut_at = self.met_at = self.now
        self.alone = set()
        self.dead = set()
        self.call_steps = round(1 / STEP_S / per_s)
        self.crashed = set()
        self.ports = [ROUTES[0].port]
        self.rng = random.Random(7)
        self.drained = drained
        self.targets = targets
        self.instances = {}
        self.far = Desk(seed=99)
        self.far.set_routes(*ROUTES)
        self.far.set_targets(*targets)
        self.far.drain_zones(*drained)
        self.served = []
        self.lost = []
        self.reset_flows = []
        self.changes = [(self.now, True)]
        self.waiting = []
        self.held = []
        self.next_port = 20000
        for number in range(count):
            self.start(number)
        self.run(6)

    def start(self, number, keyed=True):
        """Start an instance.

        :param keyed: whether it has got the key; without, it hears nobody
            and fetches snapshots from its seeds.
        """
        node = Instance(number, self.now, self.targets, self.drained)
        node.keyed = keyed
        self.instances[node.name] = node
        self.dead.discard(node.name)
        if not keyed:
            self._fetch(node)
        node.standing.take_view(node.engine.view, self.now)

    def order(self, *drained):
        """Let all instances learn which zones operators drain."""
        self.drained = drained
        for node in (*self.instances.values(), self.far):
            node.drain_zones(*drained)
        for node in self.instances.values():
            node.standing.take_view(node.engine.view, self.now)

    def hold_flows(self, count, target):
        """Let callers hold open flows that make a request each half second."""
        for _ in range(count):
            self.next_port += 1
            flow = {'port': self.next_port, 'target': target, 'ack': 5000}
            flow.update(asked=self.now - self.rng.random() / 2, sent=0)
            self.held.append(flow)

    def run(self, seconds):
        """Pass time."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def list_alive(self):
        """Return the instances that run."""
        return [
            node
            for name, node in self.instances.items()
            if name not in self.dead
        ]

    def list_rotation(self):
        """Return the instances that routers send zone b's callers to."""
        ready = [node for node in self.instances.values() if node.missed < 2]
        if not ready:
            return [self.far]
        if 2 * len(ready) < len(self.instances):
            return list(self.instances.values())
        return ready

    @property
    def is_left(self):
        """Say whether zone b's callers are sent to another zone."""
        return self.list_rotation() == [self.far]

    def _step(self):
        self.now = round(self.now + STEP_S, 3)
        self.steps += 1
        for node in (*self.instances.values(), self.far):
            node.now = self.now
        self._call()
        if self.steps % TICK_STEPS == 0:
            self._tick()
        if self.steps % BEAT_STEPS == 0:
            self._ask_ready()

    # Callers.

    def _call(self):
        for flow in list(self.held):
            self._use(flow)
        if self.steps % self.call_steps == 0:
            self.ports.append(self.ports.pop(0))
            place = self.ports[0]
            caller = {'began': self.now, 'tries': TRIES, 'place': place}
            self.waiting.append(caller)
        for caller in list(self.waiting):
            self._try(caller)

    def _try(self, caller):
        if 'port' not in caller:
            self._begin_try(caller)
        passed = self.now - caller['since']
        copy = caller['copy']
        if copy < len(COPIES_S) and passed >= COPIES_S[copy] - 0.001:
            caller['copy'] += 1
            self._send_syn(caller, copy)
        elif passed >= ATTEMPT_S - 0.001:
            self._end_try(caller)

    def _begin_try(self, caller):
        self.next_port += 1
        caller.update(port=self.next_port, since=self.now, copy=0)

    def _end_try(self, caller):
        caller['tries'] -= 1
        caller.pop('port')
        if caller['tries']:
            self._try(caller)
        else:
            self.lost.append((caller['began'], self.now))
            self.waiting.remove(caller)

    def _send_syn(self, caller, copy):
        node = self._route(caller['port'])
        packet = make_packet(caller['port'], pkt.SYN, caller['place'], ack=copy)
        effect = self._put(node, packet)
        if isinstance(effect, Reset):
            self._end_try(caller)
        elif self._is_reached(node, effect):
            self.served.append((caller['began'], self.now, node))
            self.waiting.remove(caller)
            node.close(caller['port'], effect.target, port=caller['place'])

    def _use(self, flow):
        passed = self.now - flow['asked']
        due = (0.5, 0.2, 0.6)[flow['sent']] if flow['sent'] < 3 else 1.4
        if passed < due - 0.001:
            return
        if not flow['sent']:
            flow['asked'] = self.now
        flow['sent'] = min(flow['sent'] + 1, 3)
        node = self._route(flow['port'])
        effect = self._send_data(node, flow, size=100)
        if isinstance(effect, Reset):
            self.reset_flows.append((self.now, flow['target'].zone))
            self.held.remove(flow)
        elif self._is_reached(node, effect):
            flow['ack'] += 100
            flow['sent'] = 0
            self._send_data(node, flow, size=0)

    def _route(self, port):
        """Choose an instance by a hash, as routers do."""
        rotation = self.list_rotation()
        return rotation[port % len(rotation)]

    def _send_data(self, node, flow, size):
        seq = 1000 + flow['ack']
        port = ROUTES[0].port
        fields = {'cookie': flow['target'].cookie, 'ack': flow['ack']}
        packet = make_packet(
            flow['port'], pkt.ACK, port, seq=seq, size=size, **fields
        )
        return self._put(node, packet)

    def _put(self, node, packet):
        if node is not self.far and node.name in self.dead:
            return Drop(None)
        effect = node.put(packet)
        node.effects.clear()
        return effect

    def _is_reached(self, node, effect):
        if not isinstance(effect, Forward):
            return False
        if effect.target in self.crashed:
            return False
        if node is not self.far and node.name in self.alone:
            return False
        zone = 'a' if node is self.far else 'b'
        return zone == effect.target.zone or not self.cut

    # Instances and routers.

    def _tick(self):
        for node in self.list_alive():
            self._tick_instance(node)
        if self.cut:
            self.cut_at = self.now
        elif self.now - self.cut_at > REPAIR_INTERVAL_S:
            self.met_at = self.now
        if self.steps % FAR_STEPS == 0:
            self._meet()
        self.far.engine.expire(self.now)

    def _meet(self):
        """Let zone a's hub send its beat unless it has forgotten zone b."""
        if self.cut or self.now - self.met_at > MEMBER_TIMEOUT_S:
            return
        self.met_at = self.now
        beat = Beat('a0', 'a', '10.0.0.1', 1, hub=True)
        for node in self.list_alive():
            is_met = node.near.is_hub and node.keyed
            if is_met and node.name not in self.alone:
                node.near.record_beat(beat, self.now)
                node.standing.take_beat(beat, self.now)

    def _tick_instance(self, node):
        near = node.near
        near.expire(self.now)
        if not node.keyed:
            node.standing.tick(self.now, is_heard=False)
            self._fetch(node)
            return
        if node.standing.tick(self.now):
            self._send(node, near.list_zone_hosts())
        if node.standing.list_cut_probe_hosts(self.now) and not self.cut:
            self.met_at = self.now
        rank = near.compute_rank()
        node.engine.note_other_instances({}, near.count_zone(), 0.5, rank)
        node.engine.expire(self.now)
        evidence = node.engine.failure_detector.take_evidence()
        if evidence:
            parts = {
                'repeats': evidence.repeats,
                'copies': evidence.copies,
                'answers': evidence.answers,
                'answer_ages': evidence.ages,
            }
            self._send(node, near.list_zone_hosts(), **parts)
        hello = near.choose_hello_host(self.now)
        if hello is not None:
            self._send(node, [hello], hello=True)
        if self.steps % BEAT_STEPS == 0:
            members = near.list_members(self.now, 'b') if near.is_hub else []
            self._send(node, near.list_beat_hosts(), members=members)
        if node.standing.take_opening_report(
            node.engine.make_opening_report(self.now)
        ):
            self._send(node, near.list_beat_hosts())

    def _fetch(self, node):
        """Let an instance without the key learn from a seed."""
        host = node.near.choose_seed(self.now)
        for other in self.list_alive():
            if other.near.host == host and other.keyed:
                told = other.standing.make_beat_fields(self.now)
                told.pop('openings', None)
                raw = encode_snapshot(
                    other.directory, self.now, KEY, zone='b', **told
                )
                snapshot = decode_snapshot(raw, self.now, None)
                node.standing.take_snapshot(snapshot, host, self.now)

    def _send(self, node, hosts, **parts):
        beat = Beat(
            node.name,
            'b',
            node.near.host,
            1,
            node.near.capacity,
            hub=node.near.is_hub,
            **parts,
            **node.standing.make_beat_fields(self.now),
        )
        raw = encode_beat(beat, KEY)
        for other in self.list_alive():
            names = {node.name, other.name}
            is_reached = other.near.host in hosts and other.keyed
            if is_reached and not names & self.alone:
                self._take(other, decode_beat(raw, KEY))

    def _take(self, node, beat):
        node.near.record_beat(beat, self.now)
        node.standing.take_beat(beat, self.now)
        evidence = Evidence(
            beat.repeats, beat.answers, beat.answer_ages, beat.copies
        )
        if evidence:
            node.engine.note_evidence(beat.name, evidence, self.now)
        if beat.hello:
            members = node.near.list_members(self.now, 'b')
            self._send(node, [beat.host], members=members)

    def _ask_ready(self):
        for name, node in self.instances.items():
            ready = name not in self.dead and not node.out
            node.missed = 0 if ready else node.missed + 1
        left = self.is_left
        if left == self.changes[-1][1]:
            self.changes.append((self.now, not left))
