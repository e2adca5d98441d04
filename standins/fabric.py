"""The network fabric as a stand-in: sprays each datagram to any entry.

Callers send to its one address.  Each caller address gets a socket of its
own towards the entry instances, so that every entry sees the same address
for a caller and answers to it; the answer goes back from the fabric's
address.  ``python -m standins.fabric --entry 127.0.0.1:7001@zone-a ...``
prints one JSON line with its addresses.

It is controlled by JSON datagrams to its control address, each answered by
its counts: ``{"entries": ["127.0.0.1:7001@zone-a"]}``, ``{"cut":
["zone-a"]}``, ``{"loss": 0.01, "duplicate": 0.01, "reorder": 0.05}``.
"""

import heapq
import json
import random
import select
import signal
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass

import cyclopts

from standins.fates import Faults, pick_fate

BUFFER_BYTES = 8 * 1024 * 1024
MAX_BYTES = 2048
BATCH = 128
"""Datagrams read from one socket in a turn, so that none starves others."""
IDLE_WAIT_S = 0.2
MAX_CALLERS = 400
"""Caller addresses with a socket; the oldest one makes room."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where an entry instance listens, and its availability zone."""

    address: tuple
    zone: str = ''


def parse_place(text):
    """Parse ``host:port@zone``; the zone may be missing.

    :raises ValueError: if there is no port.
    """
    where, _, zone = text.partition('@')
    host, _, port = where.rpartition(':')
    return Place((host, int(port)), zone)


class Fabric:
    """A fabric; :meth:`run` is its loop and owns all its sockets.

    :param places: :class:`Place` of each entry instance.
    :param faults: :class:`~standins.fates.Faults`.
    """

    def __init__(self, places, faults, seed, listen=('127.0.0.1', 0)):
        """Bind the public and the control socket."""
        self.counts = Counter()
        self.faults = faults
        self._rng = random.Random(seed)
        self._all_places = list(places)
        self._cut = set()
        self._places = list(places)
        self._held = []
        self._order = 0
        self._running = True
        self._epoll = select.epoll()
        self._callers = {}
        self._by_fd = {}
        self._public = self._open_socket(listen)
        self._control = self._open_socket((listen[0], 0))
        self.address = self._public.getsockname()
        self.control = self._control.getsockname()

    def run(self):
        """Carry datagrams until :meth:`stop`."""
        public, control = self._public.fileno(), self._control.fileno()
        while self._running:
            for fd, _ in self._epoll.poll(self._find_wait()):
                if fd == public:
                    self._carry_inwards()
                elif fd == control:
                    self._obey()
                else:
                    self._carry_outwards(fd)
            if self._held:
                self._release_held(time.monotonic())
        self._close()

    def stop(self):
        """Ask the loop to end; callable from any thread."""
        self._running = False

    def _find_wait(self):
        if not self._held:
            return IDLE_WAIT_S
        return max(0, min(IDLE_WAIT_S, self._held[0][0] - time.monotonic()))

    def _open_socket(self, address):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        sock.bind(address)
        sock.setblocking(False)
        self._epoll.register(sock.fileno(), select.EPOLLIN)
        return sock

    def _carry_inwards(self):
        public, callers = self._public, self._callers
        for _ in range(BATCH):
            try:
                data, caller = public.recvfrom(MAX_BYTES)
            except OSError:
                return
            self.counts['from_callers'] += 1
            sock = callers.get(caller)
            if sock is None:
                sock = self._add_caller(caller)
            for delay in pick_fate(self._rng, self.faults):
                if self._places:
                    self._send_copy(delay, sock, data, self._pick_place())
                else:
                    self.counts['nowhere'] += 1

    def _carry_outwards(self, fd):
        caller, sock = self._by_fd.get(fd, (None, None))
        if sock is None:
            return
        for _ in range(BATCH):
            try:
                data, entry = sock.recvfrom(MAX_BYTES)
            except OSError:
                return
            if self._cut and self._is_cut(entry):
                self.counts['cut'] += 1
                continue
            self.counts['to_callers'] += 1
            for delay in pick_fate(self._rng, self.faults):
                self._send_copy(delay, self._public, data, caller)

    def _pick_place(self):
        # Each datagram to any entry, as the users' fabric does it.
        places = self._places
        return places[int(self._rng.random() * len(places))].address

    def _is_cut(self, address):
        return any(
            place.address == address and place.zone in self._cut
            for place in self._all_places
        )

    def _send_copy(self, delay, sock, data, address):
        if delay:
            self._order += 1
            due = time.monotonic() + delay
            heapq.heappush(self._held, (due, self._order, sock, data, address))
            self.counts['held'] += 1
            return
        try:
            sock.sendto(data, address)
        except OSError:
            self.counts['send_failed'] += 1

    def _release_held(self, now):
        while self._held and self._held[0][0] <= now:
            _, _, sock, data, address = heapq.heappop(self._held)
            self._send_copy(0, sock, data, address)

    def _add_caller(self, caller):
        if len(self._callers) >= MAX_CALLERS:
            self._drop_caller(next(iter(self._callers)))
        sock = self._open_socket((self.address[0], 0))
        self._callers[caller] = sock
        self._by_fd[sock.fileno()] = (caller, sock)
        return sock

    def _drop_caller(self, caller):
        sock = self._callers.pop(caller)
        self._by_fd.pop(sock.fileno(), None)
        self._epoll.unregister(sock.fileno())
        sock.close()

    def _obey(self):
        try:
            data, sender = self._control.recvfrom(65536)
            self._apply(json.loads(data))
        except (OSError, ValueError, TypeError):
            self.counts['bad_control'] += 1
            return
        self._control.sendto(json.dumps(self.counts).encode(), sender)

    def _apply(self, order):
        if 'entries' in order:
            self._all_places = [parse_place(text) for text in order['entries']]
        if 'cut' in order:
            self._cut = set(order['cut'])
        for name in ('loss', 'duplicate', 'reorder', 'hold_ms'):
            if name in order:
                setattr(self.faults, name, float(order[name]))
        self._places = [
            place for place in self._all_places if place.zone not in self._cut
        ]

    def _close(self):
        for caller in list(self._callers):
            self._drop_caller(caller)
        self._epoll.close()
        self._public.close()
        self._control.close()


def start_fabric(entries, seed=1, **faults):
    """Start a fabric on a thread of this process.

    :param entries: texts as :func:`parse_place` takes them.
    :param faults: fields of :class:`~standins.fates.Faults`.
    :returns: (:class:`Fabric`, thread).
    """
    places = [parse_place(text) for text in entries]
    fabric = Fabric(places, Faults(**faults), seed)
    thread = threading.Thread(target=fabric.run, daemon=True)
    thread.start()
    return fabric, thread


def send_order(control, order, wait_s=5):
    """Send an order to a fabric and return its counts.

    :param control: its control address.
    :raises TimeoutError: if it does not answer.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(wait_s)
        sock.sendto(json.dumps(order).encode(), tuple(control))
        return json.loads(sock.recv(65536))


app = cyclopts.App(name='fabric', help='The network fabric as a stand-in.')


@app.default
def run_fabric(
    *,
    entry: list[str] | None = None,
    listen: str = '127.0.0.1:0',
    seed: int = 1,
    loss: float = 0,
    duplicate: float = 0,
    reorder: float = 0,
    hold_ms: float = 10,
):
    """Carry datagrams until a signal comes."""
    places = [parse_place(text) for text in entry or ()]
    fabric = Fabric(
        places,
        Faults(loss, duplicate, reorder, hold_ms),
        seed,
        parse_place(listen).address,
    )

    def stop(*_):
        fabric.stop()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    print(
        json.dumps({'address': fabric.address, 'control': fabric.control}),
        flush=True,
    )
    fabric.run()


if __name__ == '__main__':
    app()
