"""Callers, targets and the instances of a zone in virtual time.

Routers move flows between instances while these are restarted in turn or
stand still, and the network loses SYN+ACKs, so that copies of one SYN reach
two targets.  Targets repeat a SYN+ACK until it is acknowledged, and reset
flows that they do not hold.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.packets import Forward, Reset
from features.proofs.forwarding_desk import (
    Desk,
    make_packet,
    make_route,
    make_target,
)

CALLER_DELAY_S = 0.003
PEER_DELAY_S = 0.0005
WORK_S = 0.03
TICK_S = 0.25
REPORT_S = 0.5
COPIES_S = (0.2, 0.6)
REPEAT_S = 0.2
MAX_REPEAT_S = 1.6
MAX_REPEATS = 8
DEADLINE_S = 2.0
REQUEST_BYTES = 100
ANSWER_BYTES = 600


@dataclass(slots=True)
class Chances:
    """How likely each fault is.

    :param syn_ack_lost: share of flows whose first SYN+ACK is lost.
    :param message_lost: share of messages between instances that are lost.
    :param freeze_s: longest time for which an instance stands still.
    :param pause_s: longest pause between two changes of the rotation.
    """

    syn_ack_lost: float = 0.1
    message_lost: float = 0.02
    freeze_s: float = 0
    pause_s: float = 2


@dataclass(slots=True)
class Instance:
    """One lifetime of an instance.

    :ivar frozen_until: until when it reads nothing.
    """

    desk: Desk
    frozen_until: float = 0


@dataclass(slots=True)
class HalfOpen:
    """A flow at a target, from its SYN on."""

    seq: int
    cookie: int
    opened: bool = False
    repeats: int = 0


@dataclass(slots=True)
class Flow:
    """A flow at its caller.

    :ivar owner: number of the target on which it is open.
    :ivar waiting: number of the request that waits for an answer.
    """

    port: int
    ends_at: float
    seq: int
    cookie: int = 0
    ack: int = 0
    owner: int | None = None
    requests: int = 0
    waiting: int = 0
    sent_at: float = 0
    state: str = 'opening'


class World:
    """One play.

    :ivar breaks: descriptions of open flows that were reset although their
        targets serve.
    :ivar counts: flows and requests by what became of them.
    """

    def __init__(self, seed, chances, instances=4, targets=6, flows_per_s=40):
        """Begin with all instances in rotation."""
        self.now = 100.0
        self.breaks = []
        self.counts = Counter()
        self.loads = Counter()
        self._rng = random.Random(seed)
        self._chances = chances
        self._flows_per_s = flows_per_s
        self._events = []
        self._order = itertools.count()
        self._targets = {
            number: make_target(number, slots=2)
            for number in range(1, targets + 1)
        }
        self._held = {number: {} for number in self._targets}
        self._flows = {}
        self._ports = itertools.count(20000)
        self._instances = [self._start() for _ in range(instances)]
        self._rotation = list(range(instances))
        self._ends_at = 0

    def play(self, seconds):
        """Play some seconds of arrivals, and what follows from them."""
        self._ends_at = self.now + seconds
        self._at(0, self._arrive)
        self._at(1, self._change_rotation)
        self._at(TICK_S, self._tick)
        self._at(REPORT_S, self._report_loads)
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self

    def _at(self, delay_s, call):
        event = (self.now + delay_s, next(self._order), call)
        heapq.heappush(self._events, event)

    @property
    def _is_over(self):
        return self.now >= self._ends_at

    # Instances.

    def _start(self):
        desk = Desk(self._rng.random())
        desk.now = self.now
        desk.set_routes(make_route('search'))
        desk.set_targets(*self._targets.values())
        return Instance(desk)

    def _change_rotation(self):
        if self._is_over:
            return
        number = self._rng.randrange(len(self._instances))
        if self._chances.freeze_s and self._rng.random() < 0.5:
            self._freeze(number)
        elif len(self._rotation) == len(self._instances):
            self._rotation.remove(number)
            # It goes on forwarding until routers have let go of it.
            self._at(0.5, lambda: self._restart(number))
        self._at(
            self._rng.uniform(0.3, self._chances.pause_s), self._change_rotation
        )

    def _restart(self, number):
        self._instances[number] = self._start()
        self._at(
            self._rng.uniform(0.2, 1),
            lambda: self._rotation.append(number) or self._rotation.sort(),
        )

    def _freeze(self, number):
        instance = self._instances[number]
        instance.frozen_until = self.now + self._rng.uniform(
            0.2, self._chances.freeze_s
        )

    def _tick(self):
        for number, instance in enumerate(self._instances):
            if instance.frozen_until <= self.now:
                instance.desk.now = self.now
                instance.desk.confirm()
                instance.desk.engine.expire(self.now)
                self._exchange(number)
        if not self._is_over or self._flows:
            self._at(TICK_S, self._tick)

    def _report_loads(self):
        counts = [
            one.desk.engine.flows.count_flows() for one in self._instances
        ]
        for number, instance in enumerate(self._instances):
            others = Counter()
            for other, loads in enumerate(counts):
                if other != number:
                    others.update(loads)
            instance.desk.engine.note_other_instances(
                dict(others), len(counts), REPORT_S, number
            )
        if not self._is_over:
            self._at(REPORT_S, self._report_loads)

    def _exchange(self, number):
        engine = self._instances[number].desk.engine
        reports, queries = engine.lookup.owners.take_message(self.now)
        if not reports and not queries:
            return
        self.counts['messages'] += 1
        for other in range(len(self._instances)):
            if other != number:
                self._tell(other, reports, queries, number)

    def _tell(self, number, reports, queries, sender):
        if self._rng.random() < self._chances.message_lost:
            return

        def take():
            instance = self._instances[number]
            if instance.frozen_until > self.now:
                self._at(instance.frozen_until - self.now, take)
                return
            engine = instance.desk.engine
            engine.lookup.note_reports(reports, self.now)
            answers = engine.lookup.answer_queries(queries, self.now)
            if answers:
                self._tell(sender, answers, [], number)

        self._at(PEER_DELAY_S, take)

    def _take(self, number, packet):
        """Let an instance handle a packet, at once unless it stands still."""
        instance = self._instances[number]
        if instance.frozen_until > self.now:
            # It reads its socket in the order of arrival.
            wait_s = instance.frozen_until - self.now
            self._at(wait_s, lambda: self._take(number, packet))
            return
        instance.desk.now = self.now
        effect = instance.desk.put(packet)
        instance.desk.effects.clear()
        if isinstance(effect, Forward):
            target = effect.target.identity
            if packet.flags & pkt.SYN:
                self.loads[target] += 1
            self._at(
                PEER_DELAY_S,
                lambda: self._reach(target, packet, effect.cookie, number),
            )
        elif isinstance(effect, Reset):
            self._at(
                CALLER_DELAY_S, lambda: self._get_reset(packet.source_port, 0)
            )
        else:
            self.counts[effect.reason] += 1
        self._exchange(number)

    # Targets.

    def _reach(self, number, packet, cookie, sender):
        held = self._held[number].get(packet.source_port)
        if packet.flags & pkt.SYN:
            self._take_syn(number, packet, cookie, held)
            return
        if held is not None and not held.opened and packet.ack == held.seq + 1:
            held.opened = True
            self._note_owner(packet.source_port, number)
        if held is None or not held.opened:
            self._at(
                CALLER_DELAY_S,
                lambda: self._get_reset(packet.source_port, number, sender),
            )
            return
        held.cookie = cookie
        if packet.size:
            self._at(WORK_S, lambda: self._answer(number, held, packet))

    def _take_syn(self, number, packet, cookie, held):
        if held is None:
            held = HalfOpen(self._rng.randrange(1 << 20), cookie)
            self._held[number][packet.source_port] = held
            if self._rng.random() < self._chances.syn_ack_lost:
                self._repeat(number, packet.source_port, held)
                return
        if not held.opened:
            held.cookie = cookie
            self._send(number, packet.source_port, held, 0)
            self._repeat(number, packet.source_port, held)

    def _repeat(self, number, port, held):
        held.repeats += 1
        count = held.repeats
        if count > MAX_REPEATS:
            return
        pause_s = min(REPEAT_S * 2 ** (count - 1), MAX_REPEAT_S)

        def again():
            if held.opened or held.repeats != count or port not in self._flows:
                return
            self._send(number, port, held, 0)
            self._repeat(number, port, held)

        self._at(pause_s, again)

    def _answer(self, number, held, packet):
        self._send(number, packet.source_port, held, packet.seq + packet.size)

    def _send(self, number, port, held, ack):
        cookie, seq = held.cookie, held.seq
        self._at(
            CALLER_DELAY_S,
            lambda: self._get_packet(number, port, cookie, seq, ack),
        )

    def _note_owner(self, port, number):
        flow = self._flows.get(port)
        if flow is not None and flow.owner is None:
            flow.owner = number

    # Callers.

    def _arrive(self):
        if self._is_over:
            return
        port = next(self._ports)
        flow = Flow(
            port,
            self.now + self._rng.uniform(3, 9),
            self._rng.randrange(1 << 32),
        )
        self._flows[port] = flow
        self._put(flow, pkt.SYN)
        for copy, wait_s in enumerate(COPIES_S, 1):
            self._at(wait_s, lambda copy=copy: self._copy(flow, copy))
        self._at(1.4, lambda: self._give_up(flow))
        self._at(self._rng.expovariate(self._flows_per_s), self._arrive)

    def _copy(self, flow, copy):
        if flow.state == 'opening':
            flow.ack = copy
            self._put(flow, pkt.SYN)

    def _give_up(self, flow):
        if flow.state == 'opening':
            self._end(flow, 'not opened')

    def _put(self, flow, flags, size=0):
        rotation = self._rotation
        number = rotation[hash(flow.port * 7919) % len(rotation)]
        packet = make_packet(
            flow.port,
            flags,
            cookie=0 if flags == pkt.SYN else flow.cookie,
            seq=flow.seq,
            ack=flow.ack,
            size=size,
        )
        self._at(CALLER_DELAY_S, lambda: self._take(number, packet))

    def _get_packet(self, number, port, cookie, seq, ack):
        flow = self._flows.get(port)
        if flow is None:
            return
        flow.cookie = cookie
        if flow.state == 'opening':
            flow.state = 'open'
            flow.seq = (flow.seq + 1) % (1 << 32)
            flow.ack = seq + 1
            self._put(flow, pkt.ACK)
            self._request(flow)
        elif ack and ack == flow.seq + REQUEST_BYTES and flow.waiting:
            flow.seq = ack % (1 << 32)
            flow.ack += ANSWER_BYTES
            flow.waiting = 0
            self.counts['answered'] += 1
            self._put(flow, pkt.ACK)
            pause_s = self._rng.uniform(0, 2)
            self._at(pause_s, lambda: self._request(flow))

    def _request(self, flow):
        if flow.port not in self._flows:
            return
        if self.now >= flow.ends_at:
            self._put(flow, pkt.ACK | pkt.FIN)
            self._end(flow, 'closed')
            return
        flow.requests += 1
        flow.waiting = flow.requests
        flow.sent_at = self.now
        self._ask(flow, flow.requests, REPEAT_S)

    def _ask(self, flow, number, pause_s):
        if flow.waiting != number or flow.port not in self._flows:
            return
        if self.now - flow.sent_at >= DEADLINE_S:
            self._end(flow, 'not answered')
            return
        self._put(flow, pkt.ACK, REQUEST_BYTES)
        self._at(
            pause_s,
            lambda: self._ask(flow, number, min(2 * pause_s, MAX_REPEAT_S)),
        )

    def _get_reset(self, port, number, sender=None):
        flow = self._flows.get(port)
        if flow is None:
            return
        if flow.owner not in {None, number}:
            self.breaks.append(
                f'flow {port} on target {flow.owner} was reset by {number},'
                f' through instance {sender}'
            )
        self._end(flow, 'reset')

    def _end(self, flow, state):
        flow.state = state
        self.counts[state] += 1
        self._flows.pop(flow.port)
        for held in self._held.values():
            held.pop(flow.port, None)
