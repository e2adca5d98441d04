"""Stand-ins of both ends of forwarded flows, and of the routers between.

Targets and callers speak the packet format over loopback.  One thread runs
them all; a test asks for openings and requests and reads what became of
them.
"""

import queue
import random
import selectors
import socket
import threading
import time
import zlib
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

from cornelgap.platform.layout import HEAD, format_ip, parse_ip

SYN, ACK, FIN, RST = 8, 16, 4, 64
SUM_KEY = b'known to both ends only'
COPIES_S = (0.2, 0.6)
GIVE_UP_S = 1.4
REPEAT_S = 0.2
PROBE_S = 0.5
DATAGRAM_BYTES = 2048


def compute_sum(raw):
    """Sum over all that the system must not change."""
    covered = raw[:13] + raw[22:32] + raw[36:]
    return zlib.crc32(SUM_KEY + covered)


def make_raw(source, destination, flags, echo, seq, ack, data=b''):
    """Make a packet; the ends are tuples (address, port) of numbers."""
    head = [
        destination[1],
        source[0],
        destination[0],
        source[1],
        flags,
        echo,
        seq,
        ack,
        len(data),
        0,
    ]
    head[-1] = compute_sum(HEAD.pack(*head) + data)
    return HEAD.pack(*head) + data


class PacketTarget:
    """One lifetime of a target.

    :param number: the one by which it knows that it is meant.
    :param callers_port: port at which callers get their packets.
    :ivar flows: own sequence number by flow, from the SYN on.
    :ivar loses_syn_acks: whether the SYN+ACKs that it sends are lost.
    """

    def __init__(self, number, host, callers_port, delay_s=0, port=0):
        """Open the socket, at a free port unless one is given."""
        self.number = number
        self.sock = open_socket((host, port))
        self.address = self.sock.getsockname()
        self.flows = {}
        self.opened = 0
        self.wrong = []
        self.crashed = False
        self.loses_syn_acks = False
        self._half_open = {}
        self._callers_port = callers_port
        self._delay_s = delay_s

    def read(self, now, later):
        """Handle all datagrams that have come.

        :param later: function (time, call) for answers that take a while.
        """
        for raw, _ in drain_socket(self.sock):
            if not self.crashed:
                self.take(raw, now, later)

    def take(self, datagram, now, later):
        """Handle one datagram, unless it is not meant for this target."""
        meant = int.from_bytes(datagram[:8], 'big')
        raw = datagram[8:]
        if meant not in {0, self.number}:
            self.wrong.append('meant for another')
            return
        head = HEAD.unpack_from(raw)
        if head[9] != compute_sum(raw):
            self.wrong.append('a packet was changed')
            return
        self._handle(head, raw[HEAD.size :], now, later)

    def _handle(self, head, data, now, later):
        dport, source, destination, sport, flags, echo, seq, ack = head[:8]
        key = (source, sport, destination, dport)
        if flags & SYN:
            own_seq = self.flows.setdefault(key, 7000 + 100 * self.number)
            self._half_open[key] = (SYN | ACK, echo, own_seq, seq + 1)
            if not self.loses_syn_acks:
                self._send(key, *self._half_open[key])
        elif not self._holds(key, ack):
            self._send(key, RST, echo, ack, 0)
        elif flags & (FIN | RST):
            self.flows.pop(key)
        elif data:
            answer = b'%d:%s' % (self.number, data)
            later(
                now + self._delay_s,
                lambda: self._send(
                    key, ACK, echo, ack, seq + len(data), answer
                ),
            )
        else:
            self.opened += 1

    def repeat_syn_acks(self):
        """Repeat the SYN+ACKs that no caller has acknowledged."""
        for key, fields in self._half_open.items():
            self._send(key, *fields)

    def _holds(self, key, ack):
        """Say whether a flow is open here; an acknowledgement opens it."""
        if key not in self.flows:
            return False
        if ack == self.flows[key] + 1:
            self._half_open.pop(key, None)
        return key not in self._half_open

    def _send(self, key, flags, echo, seq, ack, data=b''):
        source, sport, destination, dport = key
        raw = make_raw(
            (destination, dport), (source, sport), flags, echo, seq, ack, data
        )
        self.sock.sendto(raw, (format_ip(source), self._callers_port))


class Routers:
    """Sends each flow's packets to one of the ready instances.

    :param instances: tuples (packets address, readiness address).
    :ivar only: packets address of the only instance to send to; None for all
        in rotation.
    """

    def __init__(self, instances):
        """Believe all to be in rotation, as routers do at a start."""
        self.instances = list(instances)
        self.only = None
        self._misses = dict.fromkeys(self.instances, 0)
        self.stopped = threading.Event()

    def probe_forever(self):
        """Ask all twice a second; two misses take one out."""
        while not self.stopped.wait(PROBE_S / 4):
            for instance in self.instances:
                ready = ask_ready(instance[1])
                self._misses[instance] = (
                    0 if ready else self._misses[instance] + 1
                )

    def list_rotation(self):
        """Return packet addresses; all of them if fewer than half are in."""
        if self.only is not None:
            return [self.only]
        good = [one for one in self.instances if self._misses[one] < 2]
        if 2 * len(good) < len(self.instances):
            good = self.instances
        return [one[0] for one in good]

    def choose(self, key):
        """Choose an instance for a flow by its four addresses and ports."""
        rotation = self.list_rotation()
        return rotation[hash(key) % len(rotation)]


@dataclass(slots=True)
class CallerFlow:
    """One flow of a caller and what became of it.

    :ivar state: ``opening``, ``open``, ``failed`` or ``reset``.
    :ivar answers: what targets answered, in order.
    :ivar sender: host that sent its last packet.
    """

    key: tuple
    state: str = 'opening'
    sender: str = ''
    echo: int = 0
    seq: int = 1000
    ack: int = 0
    copies: int = 0
    began_at: float = 0
    sent: bytes = b''
    repeat_at: float = 0
    pause_s: float = REPEAT_S
    answers: list = field(default_factory=list)


class Callers:
    """All callers at one address, behind the routers.

    :param address: tuple (host, port) at which they get their packets.
    """

    def __init__(self, address, routers, seed=1):
        """Open the socket."""
        self.sock = open_socket(address)
        self.flows = {}
        self._host = parse_ip(address[0])
        self._routers = routers
        self._ports = iter(random.Random(seed).sample(range(1024, 65000), 9999))

    def open(self, place, now):
        """Open a flow to a route's (address, port)."""
        key = (self._host, next(self._ports), *place)
        flow = CallerFlow(key, began_at=now)
        self.flows[key] = flow
        self._send(flow, SYN)
        return flow

    def request(self, flow, text, now):
        """Send a request on an open flow."""
        flow.sent = text
        flow.pause_s = REPEAT_S
        flow.repeat_at = now + REPEAT_S
        self._send(flow, ACK, text)

    def close(self, flow):
        """End a flow."""
        self._send(flow, FIN | ACK)

    def read(self, now):
        """Handle all packets that have come."""
        for raw, sender in drain_socket(self.sock):
            head = HEAD.unpack_from(raw)
            dport, source, destination, sport = head[:4]
            flow = self.flows.get((destination, dport, source, sport))
            if flow is not None and flow.state in {'opening', 'open'}:
                flow.sender = sender[0]
                self._handle(flow, head, raw[HEAD.size :], now)

    def tick(self, now):
        """Repeat what was not answered."""
        for flow in list(self.flows.values()):
            if flow.state == 'opening':
                self._repeat_syn(flow, now)
            elif flow.sent and now >= flow.repeat_at:
                flow.pause_s = min(2 * flow.pause_s, 1.6)
                flow.repeat_at = now + flow.pause_s
                self._send(flow, ACK, flow.sent)

    def _repeat_syn(self, flow, now):
        waited = now - flow.began_at
        if waited >= GIVE_UP_S:
            flow.state = 'failed'
        elif flow.copies < len(COPIES_S) and waited >= COPIES_S[flow.copies]:
            flow.copies += 1
            flow.ack = flow.copies
            self._send(flow, SYN)

    def _handle(self, flow, head, data, now):
        flags, echo, seq, ack = head[4:8]
        if flags & RST:
            flow.state = 'reset'
            return
        flow.echo = echo
        if flags & SYN and flow.state == 'open':
            return
        if flags & SYN:
            flow.state = 'open'
            flow.seq += 1
            flow.ack = seq + 1
            self._send(flow, ACK)
        elif data and flow.sent and ack == flow.seq + len(flow.sent):
            flow.seq = ack
            flow.ack = seq + len(data)
            flow.sent = b''
            flow.answers.append((data, now))
            self._send(flow, ACK)

    def _send(self, flow, flags, data=b''):
        source, destination = flow.key[:2], flow.key[2:]
        raw = make_raw(
            source, destination, flags, flow.echo, flow.seq, flow.ack, data
        )
        self.sock.sendto(raw, self._routers.choose(flow.key))


class PacketWorld:
    """One thread that runs targets and callers."""

    def __init__(self, callers, targets=()):
        """Prepare; :meth:`start` runs the thread."""
        self.callers = callers
        self.targets = list(targets)
        self._calls = queue.SimpleQueue()
        self._later = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Stop the thread and close all sockets."""
        self._stopped.set()
        self._thread.join()
        for end in (self.callers, *self.targets):
            end.sock.close()

    def call(self, func):
        """Run ``func(now)`` in the thread and give its result."""
        answer = queue.SimpleQueue()
        self._calls.put((func, answer))
        return answer.get(timeout=10)

    def _run(self):
        selector = selectors.DefaultSelector()
        selector.register(self.callers.sock, selectors.EVENT_READ)
        known = set()
        while not self._stopped.is_set():
            for target in self.targets:
                if target.number not in known:
                    known.add(target.number)
                    selector.register(target.sock, selectors.EVENT_READ)
            selector.select(0.005)
            self._turn(time.monotonic())

    def _put_later(self, due_at, call):
        self._later.append((due_at, call))

    def _turn(self, now):
        while not self._calls.empty():
            func, answer = self._calls.get()
            answer.put(func(now))
        for target in self.targets:
            target.read(now, self._put_later)
        due = [call for at, call in self._later if at <= now]
        self._later = [item for item in self._later if item[0] > now]
        for call in due:
            call()
        self.callers.read(now)
        self.callers.tick(now)


def open_socket(address):
    """Open a socket for datagrams that never blocks."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(address)
    sock.setblocking(False)
    return sock


def drain_socket(sock):
    """Yield tuples (datagram, sender's address) until none is left."""
    while True:
        try:
            yield sock.recvfrom(DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # A port that nobody listens at any more; the packet is lost.
            continue


def ask_ready(address):
    """Ask an instance once whether it is ready."""
    conn = HTTPConnection(*address, timeout=PROBE_S)
    try:
        conn.request('GET', '/-/readiness')
        return conn.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        conn.close()
