"""Both ends of long flows, and the platform's routers between them.

Everything here follows PROTOCOL.md: copies of a SYN after 200 and 600 ms,
repeats of what isn't acknowledged after 200 ms, doubling up to 1.6 s, eight
repeats at a backend; each end carries the last echo that it has received on
the flow; a flow opens at the backend whose `seq` the client acknowledges; a
backend that gets a packet of a flow that it doesn't hold sends a reset.
"""

import heapq
import itertools
import os
import random
import selectors
import socket
import threading
import time

import lab as labs
from lab import ACK, FIN, HEAD, RST, SYN

REPEAT_S = 0.2
MAX_REPEAT_S = 1.6
MAX_REPEATS = 8
PROBE_S = 0.5
PROBE_TIMEOUT_S = 0.5
MAX_MISSES = 2
FLOW_S = 2.0
"""`flow_ms`."""

NUMBERS = 1 << 32

IS_SILENT = os.environ.get('HALF_OPEN') == 'silent'
"""Whether, for comparison only, a backend says nothing to a packet of a flow
that it has answered with a SYN+ACK and that was opened at another one."""


class Loop:
    """One thread with sockets and timers."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._timers = []
        self._count = itertools.count()
        self.lock = threading.Lock()
        self.latest_s = 0.0

    def add(self, sock, take):
        self._selector.register(sock, selectors.EVENT_READ, take)

    def at(self, due_at, call):
        heapq.heappush(self._timers, (due_at, next(self._count), call))

    def start(self):
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            wait_s = 0.02
            if self._timers:
                wait_s = min(wait_s, self._timers[0][0] - time.monotonic())
            for key, _ in self._selector.select(max(0, wait_s)):
                with self.lock:
                    self._drain(key.fileobj, key.data)
            with self.lock:
                now = time.monotonic()
                while self._timers and self._timers[0][0] <= now:
                    due_at, _, call = heapq.heappop(self._timers)
                    self.latest_s = max(self.latest_s, now - due_at)
                    call()

    @staticmethod
    def _drain(sock, take):
        for _ in range(64):
            try:
                raw, sender = sock.recvfrom(4096)
            except BlockingIOError:
                return
            except OSError:
                # Nobody listens at an address that was sent to.
                continue
            take(raw, sender[0])


def open_socket(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind(address)
    sock.setblocking(False)
    return sock


class Held:
    """A flow at a backend, from its SYN on.

    :ivar opened_at: when the client's acknowledgement came; None before.
    """

    def __init__(self, echo, client_seq):
        self.seq = random.getrandbits(32)
        self.echo = echo
        self.client_seq = client_seq
        self.opened_at = None
        self.unacked = None
        self.repeats = 0


class LongBackend:
    """One lifetime of a backend, which holds long flows.

    :ivar took: list of (time, flow, sender, what) of all packets of flows.
    """

    def __init__(self, lab, loop, name, service, zone, host, loses):
        self.lab = lab
        self.name = name
        self.service = service
        self.zone = zone
        self.flows = {}
        self.took = []
        self.foreign = 0
        self.resets = []
        self.runs = []
        self.sent = 0
        self._loop = loop
        self._loses = loses
        self._number = int(name.partition('-')[2], 16)
        self._sock = open_socket((host, 0))
        self.address = self._sock.getsockname()
        loop.add(self._sock, self._take)

    def write(self):
        spec = {
            'service': self.service,
            'address': '{}:{}'.format(*self.address),
            'zone': self.zone,
            'version': 'v1',
            'max_concurrent': 2,
            'state': 'ready',
            'warmup_left_ms': 0,
            'seq': 1,
        }
        self.lab.store.put('servers', self.name, spec)

    def _take(self, datagram, sender):
        meant = int.from_bytes(datagram[:8], 'big')
        raw = datagram[8:]
        head = HEAD.unpack_from(raw)
        if meant not in (0, self._number):
            self.foreign += 1
            return
        if head[9] != labs.compute_sum(raw):
            raise AssertionError('a packet was changed')
        dport, source, destination, sport, flags, echo, seq, ack = head[:8]
        key = (source, sport, destination, dport)
        now = time.monotonic()
        data = raw[HEAD.size :]
        if flags & SYN:
            self._take_syn(key, echo, seq, now, sender)
            return
        held = self.flows.get(key)
        if flags & RST:
            self.flows.pop(key, None)
            return
        if held is not None and held.opened_at is None:
            if ack == (held.seq + 1) % NUMBERS:
                held.opened_at = now
                held.unacked = None
                self.took.append((now, key, sender, 'open'))
        if held is None or held.opened_at is None:
            # It doesn't hold this flow: another backend's was acknowledged.
            self.took.append((now, key, sender, 'other'))
            if held is not None and IS_SILENT:
                return
            if not flags & FIN:
                self.resets.append((now, key))
                self._send(key, RST, echo, ack, 0)
            return
        held.echo = echo
        self.took.append((now, key, sender, 'own'))
        self._take_data(key, held, flags, seq, ack, data, now)

    def _take_syn(self, key, echo, seq, now, sender):
        held = self.flows.get(key)
        if held is None:
            held = self.flows[key] = Held(echo, seq)
            self.took.append((now, key, sender, 'syn'))
            if self._loses(key):
                # This one datagram is lost on its way to the client.
                self._plan_repeat(key, held, SYN | ACK, held.seq, b'')
                return
        if held.opened_at is None:
            held.echo = echo
            self._send_kept(key, held, SYN | ACK, held.seq, b'')

    def _take_data(self, key, held, flags, seq, ack, data, now):
        if held.unacked is not None and held.unacked == ack:
            held.unacked = None
        if flags & FIN:
            self.flows.pop(key)
            self._send(key, ACK, held.echo, held.seq, seq + 1)
            return
        expected = (held.client_seq + 1) % NUMBERS
        if not data:
            return
        if seq != expected:
            # A repeat of what has been answered: acknowledged at once.
            self._send(key, ACK, held.echo, (held.seq + 1) % NUMBERS, expected)
            return
        held.client_seq = (held.client_seq + len(data)) % NUMBERS
        ident = data.partition(b'Request-Id: ')[2].partition(b'\r\n')[0]
        self.runs.append(ident.decode())
        self._loop.at(now + 0.03, lambda: self._answer(key, held, ident))

    def _answer(self, key, held, ident):
        if self.flows.get(key) is not held:
            return
        body = b'ok ' + ident
        answer = (
            b'HTTP/1.1 200 OK\r\nBackend-Seal: %s\r\nContent-Length: %d\r\n\r\n%s'
            % (self.name.encode(), len(body), body)
        )
        seq = (held.seq + 1) % NUMBERS
        held.seq = (held.seq + len(answer)) % NUMBERS
        held.unacked = (held.seq + 1) % NUMBERS
        held.repeats = 0
        self._send_kept(key, held, ACK, seq, answer)

    def _send_kept(self, key, held, flags, seq, data):
        """Send what is repeated until it is acknowledged."""
        ack = (held.client_seq + 1) % NUMBERS
        self._send(key, flags, held.echo, seq, ack, data)
        self._plan_repeat(key, held, flags, seq, data)

    def _plan_repeat(self, key, held, flags, seq, data):
        if held.repeats >= MAX_REPEATS:
            return
        is_syn = bool(flags & SYN)
        mark = held.unacked
        pause_s = min(REPEAT_S * 2**held.repeats, MAX_REPEAT_S)
        held.repeats += 1
        count = held.repeats

        def repeat():
            if self.flows.get(key) is not held or held.repeats != count:
                return
            if is_syn and held.opened_at is not None:
                return
            if not is_syn and (held.unacked is None or held.unacked != mark):
                return
            self._send_kept(key, held, flags, seq, data)

        self._loop.at(time.monotonic() + pause_s, repeat)

    def _send(self, key, flags, echo, seq, ack, data=b''):
        source, sport, destination, dport = key
        raw = labs.make_packet(
            (destination, dport), (source, sport), flags, echo, seq, ack, data
        )
        self.sent += 1
        self._sock.sendto(
            raw, (labs.format_ip(source), self.lab.ports['packets'])
        )


class Routers:
    """The platform's routers: `mod` over the machines in rotation."""

    def __init__(self, lab):
        self._lab = lab
        self._misses = {}
        self._rotations = {}
        self.changes = []
        self.refresh()

    def start(self):
        threading.Thread(target=self._probe, daemon=True).start()

    def choose(self, zone, key):
        """Choose the machine for a packet of a client in a zone."""
        rotation = self._rotations[zone]
        return rotation[hash(key) % len(rotation)]

    def refresh(self):
        zones = {}
        for machine in self._lab.machines:
            zones.setdefault(machine.zone, []).append(machine)
        found = {}
        for zone, machines in zones.items():
            good = [
                item
                for item in machines
                if self._misses.get(item.name, 0) < MAX_MISSES
            ]
            if not good:
                # The nearest zones; all are equally near.
                good = [
                    item
                    for item in self._lab.machines
                    if self._misses.get(item.name, 0) < MAX_MISSES
                ]
            elif 2 * len(good) < len(machines):
                good = machines
            found[zone] = good or machines
            if found[zone] != self._rotations.get(zone):
                self.changes.append((time.monotonic(), zone))
        self._rotations = found

    def _probe(self):
        while True:
            began = time.monotonic()
            for machine in self._lab.machines:
                if machine.is_ready():
                    self._misses[machine.name] = 0
                else:
                    self._misses[machine.name] = (
                        self._misses.get(machine.name, 0) + 1
                    )
            self.refresh()
            time.sleep(max(0, began + PROBE_S - time.monotonic()))


class LongFlow:
    """A client's flow and what became of it.

    :ivar end: ``closed``, ``reset``, ``no opening`` or ``no answer``.
    """

    def __init__(self, key, zone, now, ends_at):
        self.key = key
        self.zone = zone
        self.began_at = now
        self.ends_at = ends_at
        self.copies = 0
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.opened_at = None
        self.waiting = None
        self.sent_at = 0.0
        self.pause_s = REPEAT_S
        self.requests = 0
        self.answers = 0
        self.end = None
        self.reset_at = None
        self.took = []


class LongClients:
    """Clients of one zone, with long flows and pauses between requests.

    :ivar done: flows that have ended.
    """

    def __init__(self, lab, loop, routers, zone, host, place, deadline_s):
        self.zone = zone
        self.done = []
        self.flows = {}
        self._lab = lab
        self._loop = loop
        self._routers = routers
        self._place = place
        self._deadline_s = deadline_s
        self._number = labs.parse_ip(host)
        self._port = 1999
        self._sock = open_socket((host, lab.ports['packets']))
        loop.add(self._sock, self._take)

    def open(self, life_s):
        now = time.monotonic()
        self._port += 1
        key = (self._number, self._port, *self._place)
        flow = LongFlow(key, self.zone, now, now + life_s)
        self.flows[key] = flow
        self._send(flow, SYN)
        for wait_s in labs.COPIES_S:
            self._loop.at(now + wait_s, lambda: self._copy(flow))
        self._loop.at(now + labs.GIVE_UP_S, lambda: self._give_up(flow))

    def _copy(self, flow):
        if flow.end is None and flow.opened_at is None:
            flow.copies += 1
            self._send(flow, SYN)

    def _give_up(self, flow):
        if flow.end is None and flow.opened_at is None:
            self._finish(flow, 'no opening')

    def _request(self, flow):
        if flow.end is not None:
            return
        now = time.monotonic()
        if now >= flow.ends_at:
            self._send(flow, FIN | ACK)
            self._finish(flow, 'closed')
            return
        flow.requests += 1
        ident = f'{flow.key[0] & 255}-{flow.key[1]}-{flow.requests}'
        flow.waiting = (
            f'POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: {ident}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
        flow.sent_at = now
        flow.pause_s = REPEAT_S
        self._send(flow, ACK, flow.waiting)
        self._plan_repeat(flow, flow.requests)

    def _plan_repeat(self, flow, number):
        def repeat():
            if flow.end is not None or flow.waiting is None:
                return
            if flow.requests != number:
                return
            if time.monotonic() - flow.sent_at >= self._deadline_s:
                self._finish(flow, 'no answer')
                return
            flow.pause_s = min(2 * flow.pause_s, MAX_REPEAT_S)
            self._send(flow, ACK, flow.waiting)
            self._plan_repeat(flow, number)

        self._loop.at(time.monotonic() + flow.pause_s, repeat)

    def _take(self, raw, sender):
        head = HEAD.unpack_from(raw)
        dport, source, destination, sport, flags, echo, seq, ack = head[:8]
        flow = self.flows.get((destination, dport, source, sport))
        if flow is None or flow.end is not None:
            return
        data = raw[HEAD.size :]
        if flags & RST:
            flow.reset_at = time.monotonic()
            flow.reset_by = sender
            self._finish(flow, 'reset')
            return
        # "The last echo that they received on a flow."
        flow.echo = echo
        if flags & SYN:
            if flow.opened_at is None:
                flow.opened_at = time.monotonic()
                flow.seq = (flow.seq + 1) % NUMBERS
                flow.ack = (seq + 1) % NUMBERS
                self._send(flow, ACK)
                self._request(flow)
            return
        if flow.opened_at is None or not data or seq != flow.ack:
            if data and flow.opened_at is not None:
                # A repeat of an answer that is known.
                self._send(flow, ACK)
            return
        flow.ack = (seq + len(data)) % NUMBERS
        flow.seq = (flow.seq + len(flow.waiting or b'')) % NUMBERS
        flow.waiting = None
        flow.answers += 1
        self._send(flow, ACK)
        pause_s = random.uniform(0.7, 1.3)
        self._loop.at(time.monotonic() + pause_s, lambda: self._request(flow))

    def _send(self, flow, flags, data=b''):
        ack = flow.copies if flags & SYN else flow.ack
        raw = labs.make_packet(
            flow.key[:2], flow.key[2:], flags, flow.echo, flow.seq, ack, data
        )
        machine = self._routers.choose(self.zone, flow.key)
        flow.took.append((time.monotonic(), machine.name, flags, flow.echo))
        address = (machine.host, self._lab.ports['packets'])
        try:
            self._sock.sendto(raw, address)
        except OSError:
            # The machine is down; the datagram is lost.
            pass

    def _finish(self, flow, end):
        flow.end = end
        self.done.append(flow)
        self.flows.pop(flow.key, None)
