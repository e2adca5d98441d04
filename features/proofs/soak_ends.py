"""Both ends of the flows of a soak: targets with slots, callers that retry."""

import itertools
import time
from collections import deque
from dataclasses import dataclass

from msgspec import Struct

from cornelgap.platform.layout import parse_ip
from standins.packet_ends import (
    ACK,
    FIN,
    GIVE_UP_S,
    RST,
    SYN,
    CallerFlow,
    Callers,
    PacketTarget,
)

ROUTE = parse_ip('198.18.0.1')
PLACES = {'search': 443, 'archive': 80, 'probe': 8443}
SERVICES = {port: service for service, port in PLACES.items()}
SLOTS = 2
QUEUE = 8
WORK_S = 0.05
SLOW_FACTOR = 6
SHED = b'503 not run'
DEADLINE_S = 3.0
RETRY_S = 0.1
RELAUNCH_S = 0.3


class Held(Struct):
    """A flow as its target holds it."""

    own_seq: int
    next_seq: int
    opened: bool = False
    request: bytes = b''
    answer: bytes = b''


class SoakTarget(PacketTarget):
    """A target with slots and a queue; beyond it requests are shed.

    :param tape: :class:`~features.proofs.soak_checks.Tape`.
    :ivar via: host of the instance that sent the datagram at hand.
    """

    def __init__(self, number, service, zone, address, tape):
        """Start the first lifetime."""
        host, port = address
        super().__init__(number, host, tape.callers_port, port=port)
        self.service = service
        self.zone = zone
        self.born = 1
        self.alive = True
        self.busy = self.full = self.slow = False
        self.draining_since = None
        self.via = ''
        self.sent_at = 0
        self._tape = tape
        self._seqs = itertools.count(7000 * number, 100)
        self._running = 0
        self._queue = deque()

    def crash(self):
        """End a lifetime and lose all of it."""
        self.alive = False
        self.born += 1
        self.flows = {}
        self._running = 0
        self._queue.clear()

    def _handle(self, head, data, now, later):
        dport, source, destination, sport, flags, echo, seq, ack = head[:8]
        key = (source, sport, destination, dport)
        self._tape.note_packet(self, key, data)
        held = self.flows.get(key)
        if flags & SYN:
            if self.full:
                return
            if held is None:
                self._tape.note_open(self, key, now)
                held = self.flows[key] = Held(next(self._seqs), seq + 1)
            self._send(key, SYN | ACK, echo, held.own_seq, seq + 1)
        elif held is None or not (held.opened or ack == held.own_seq + 1):
            if not flags & RST:
                self._send(key, RST, echo, ack, 0)
        elif flags & (FIN | RST):
            self.flows.pop(key)
        else:
            held.opened = True
            numbers = (echo, ack, seq + len(data))
            if data and seq == held.next_seq:
                held.next_seq += len(data)
                held.request, held.answer = data, b''
                self._take_job((key, held, numbers, self.born), later)
            elif data and held.request == data:
                # A repeat: what is known is said at once.
                self._send(key, ACK, *numbers, held.answer)

    def _take_job(self, job, later):
        if self._running < SLOTS:
            self._run(job, later)
        elif len(self._queue) < QUEUE:
            self._queue.append(job)
        else:
            self._answer(job, SHED)

    def _run(self, job, later):
        self._running += 1
        self._tape.note_run(self, job[0], job[1].request)
        work_s = WORK_S * (SLOW_FACTOR if self.slow else 1)
        later(time.monotonic() + work_s, lambda: self._finish(job, later))

    def _finish(self, job, later):
        if job[-1] != self.born:
            return
        self._running -= 1
        self._answer(job, b'%d done' % self.number)
        if self._queue:
            self._run(self._queue.popleft(), later)

    def _answer(self, job, answer):
        key, held, numbers, _ = job
        held.answer = answer
        flags = ACK if self.draining_since is None else ACK | FIN
        self._send(key, flags, *numbers, answer)


class Request(Struct):
    """A request through all its tries.

    :param once: whether it must not run twice.
    """

    number: int
    service: str
    once: bool
    retries: int = 2


@dataclass(slots=True)
class SoakFlow(CallerFlow):
    """A flow with the request that is made on it, if any.

    :param lasting: whether it is kept open for further requests.
    """

    request: Request | None = None
    lasting: bool = False
    asked_at: float = 0
    heard: bool = False
    next_at: float = 0


class SoakCallers(Callers):
    """The callers of one zone.

    :param routers: object with ``choose(key)``.
    :param later: function (time, call).
    """

    def __init__(self, address, routers, tape, rng, later):
        """Open the socket."""
        super().__init__(address, routers)
        self._tape = tape
        self._rng = rng
        self._later = later

    def ask(self, service, now, once=False, lasting=False):
        """Open a flow and make a request on it."""
        request = self._make_request(service, once)
        self._begin(service, now, request=request, lasting=lasting)
        return request

    def probe(self, via, now):
        """Open a flow through one instance, without a request."""
        self._begin('probe', now, sender=via)

    def tick(self, now):
        """Repeat, give up, and ask again on lasting flows."""
        for flow in tuple(self.flows.values()):
            if flow.state == 'opening':
                self._repeat_syn(flow, now)
                if now - flow.began_at >= GIVE_UP_S:
                    self._fail(flow, False, 'silence', now)
            elif not flow.sent:
                if flow.next_at and now >= flow.next_at:
                    once = self._rng.random() < 0.3
                    service = SERVICES[flow.key[3]]
                    flow.request = self._make_request(service, once)
                    self._make(flow, now)
            elif now - flow.asked_at > DEADLINE_S:
                self._fail(flow, True, 'late', now)
            elif not flow.heard and now >= flow.repeat_at:
                flow.pause_s = min(2 * flow.pause_s, 1.6)
                flow.repeat_at = now + flow.pause_s
                self._send(flow, ACK, flow.sent)

    def _make_request(self, service, once):
        self._tape.asked += 1
        return Request(self._tape.asked, service, once)

    def _begin(self, service, now, **more):
        key = (self._host, next(self._ports), ROUTE, PLACES[service])
        flow = SoakFlow(key, began_at=now, **more)
        self.flows[key] = flow
        self._send(flow, SYN)

    def _make(self, flow, now):
        text = b'%d %s' % (flow.request.number, b'once' * flow.request.once)
        flow.asked_at = now
        flow.heard = False
        self.request(flow, text, now)

    def _handle(self, flow, head, data, now):
        flags, echo, seq, ack = head[4:8]
        opened = flow.state == 'open'
        if flags & RST:
            if head[9] == 0:
                self._tape.note_reset(flow, now)
            self._fail(flow, opened, 'reset', now)
            return
        flow.echo = echo
        if flags & SYN:
            if not opened:
                self._open(flow, seq, now)
        elif flow.sent and ack == flow.seq + len(flow.sent):
            flow.heard = True
            if data:
                flow.seq, flow.ack = ack, seq + len(data)
                self._take_answer(flow, data, flags & FIN, now)

    def _open(self, flow, seq, now):
        flow.state = 'open'
        flow.seq += 1
        flow.ack = seq + 1
        self._send(flow, ACK)
        if flow.request is None:
            self._end(flow)
        else:
            self._make(flow, now)

    def _take_answer(self, flow, answer, closing, now):
        request, flow.request, flow.sent = flow.request, None, b''
        if flow.lasting and not closing:
            flow.next_at = now + self._rng.uniform(0.2, 0.6)
            self._send(flow, ACK)
        else:
            self._end(flow)
        if answer == SHED:
            self._retry(request, 'shed', now)
        else:
            self._tape.note_outcome(request, 'served', now)

    def _end(self, flow):
        self.close(flow)
        self._drop(flow, time.monotonic())

    def _drop(self, flow, now):
        flow.state = 'ended'
        self.flows.pop(flow.key)
        if flow.lasting:
            service = SERVICES[flow.key[3]]
            self._later(
                now + RELAUNCH_S,
                lambda: self.ask(service, time.monotonic(), lasting=True),
            )

    def _fail(self, flow, opened, reason, now):
        self._drop(flow, now)
        if flow.request is not None:
            self._tape.note_cut(flow, opened, reason, now)
            unsure = opened and flow.request.once
            self._retry(flow.request, reason, now, unsure)

    def _retry(self, request, reason, now, unsure=False):
        if unsure or not request.retries:
            self._tape.note_outcome(request, reason, now)
            return
        request.retries -= 1
        self._later(
            now + RETRY_S,
            lambda: self._begin(
                request.service, time.monotonic(), request=request
            ),
        )
