"""The packet actor: owns the sockets and the flow engine.

Everything that concerns a packet happens in one turn of this actor, with
no question to another one in between.  Effects are carried out in order
right after the engine has decided.
"""

import socket
import struct
import time
from dataclasses import dataclass

from cornelgap.core import calls
from cornelgap.entry.handover import HandOver
from cornelgap.kernel.inbox import SocketInbox, SocketReadable, Tick
from cornelgap.kernel.named_actor import NamedActor

PACKETS = 'packets'

TICK_S = 0.02
"""Seconds between two ticks of the engine; queue waits and deadlines are
told in hundredths of a second."""

READ_BATCH = 64
"""Datagrams read in one turn before messages get theirs."""

DATAGRAM_BYTES = 4096
SO_TIMESTAMPNS = 35
"""Linux's socket option; the socket module does not name it."""

NANOS = 1e9
_STAMP = struct.Struct('@ll')
RECEIVE_BUFFER = 4 * 1024 * 1024
"""Bytes of kernel buffer: about 3,000 datagrams, half a second of one
entry instance's thousands a second while the engine is busy."""


@dataclass(frozen=True, slots=True)
class CallEvents:
    """Message: what happened to calls."""

    events: list


@dataclass(frozen=True, slots=True)
class AdoptCfg:
    """Message: a configuration to be put in force.

    :param bundle: its encoded form, for peers that ask.
    """

    cfg: object
    bundle: bytes = b''


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """Message: the platform's list of instances.

    :param entries: entry instances, as membership takes them.
    :param leaving_targets: names of targets said to be leaving.
    """

    entries: list
    leaving_targets: frozenset = frozenset()


@dataclass(frozen=True, slots=True)
class PeersHinted:
    """Message: a peer has named other entry instances."""

    peers: list


@dataclass(frozen=True, slots=True)
class TakeHandover:
    """Message: flow records of a peer that leaves; asked, not told."""

    records: list


@dataclass(frozen=True, slots=True)
class Leave:
    """Message: begin a planned stop."""


@dataclass(frozen=True, slots=True)
class ReadState:
    """Message: give ``read(engine state, now)``; asked, not told.

    :param read: a function that only reads.
    """

    read: object


def open_socket(address):
    """Open a datagram socket at ``host:port``; port 0 lets the kernel choose."""
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    sock.bind((host, int(port)))
    sock.setblocking(False)
    return sock


def receive_stamped(sock):
    """Receive one datagram and tell how long it has waited.

    The kernel stamps each datagram when it comes; both times are of this
    machine.  A step of its clock shows as no wait or as a long one, which
    costs some refusals for half a second.

    :returns: (bytes, seconds waited, address).
    :raises BlockingIOError: if nothing waits.
    """
    data, ancillary, _, address = sock.recvmsg(
        DATAGRAM_BYTES, socket.CMSG_SPACE(_STAMP.size)
    )
    delay_s = 0
    for level, kind, stamp in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
            seconds, nanos = _STAMP.unpack(stamp[: _STAMP.size])
            delay_s = time.time() - seconds - nanos / NANOS
    return data, max(0, delay_s), address


def format_address(address):
    """Format an address pair as ``host:port``."""
    return f'{address[0]}:{address[1]}'


def parse_address(text):
    """Parse ``host:port`` to an address pair."""
    host, _, port = text.rpartition(':')
    return host, int(port)


class PacketActor(NamedActor):
    """Task that owns the public socket, the peer socket and the engine.

    :param engine: :class:`~cornelgap.entry.engine.Engine`, given away.
    :param public: bound socket for callers.
    :param private: bound socket for peers.
    :param put_calls: takes a list of call effects; never blocks.
    :param hand_over: takes a :class:`HandOver`; never blocks.
    :param on_finished: called once when a planned stop is complete.
    """

    def __init__(
        self, engine, public, private, put_calls, hand_over, on_finished
    ):
        """Take over engine and sockets."""
        super().__init__(engine.state.name, PACKETS)
        self._engine = engine
        self._public = public
        self._private = private
        self._put_calls = put_calls
        self._hand_over = hand_over
        self._on_finished = on_finished
        self.actor_inbox.add_socket(public)
        self.actor_inbox.add_socket(private)
        self.handlers = {
            SocketReadable: self._read_socket,
            Tick: self._tick,
            CallEvents: self._take_events,
            AdoptCfg: self._adopt_cfg,
            InstancesListed: self._note_instances,
            PeersHinted: self._note_hints,
            TakeHandover: self._take_handover,
            Leave: self._leave,
            ReadState: self._read_state,
        }

    @staticmethod
    def _create_actor_inbox():
        return SocketInbox(time.monotonic, TICK_S)

    def on_stop(self):
        """Close what this actor owns."""
        self._public.close()
        self._private.close()
        self.actor_inbox.close()

    def _read_socket(self, message):
        handle = self._handle_public
        if message.sock is self._private:
            handle = self._handle_private
        now = time.monotonic()
        try:
            data, delay_s, address = receive_stamped(message.sock)
            self._engine.note_backlog(now, delay_s)
            handle(now, data, address)
            for _ in range(READ_BATCH):
                data, address = message.sock.recvfrom(DATAGRAM_BYTES)
                handle(now, data, address)
        except BlockingIOError:
            return

    def _handle_public(self, now, data, address):
        self._carry_out(self._engine.handle_caller(now, data, address))

    def _handle_private(self, now, data, address):
        self._count_peer('received', data)
        source = format_address(address)
        self._carry_out(self._engine.handle_peer(now, data, source))

    def _tick(self, message):
        now = time.monotonic()
        self._carry_out(self._engine.tick(now))
        if self._engine.is_finished(now):
            self._on_finished()

    def _take_events(self, message):
        now = time.monotonic()
        self._carry_out(self._engine.handle_events(now, message.events))

    def _adopt_cfg(self, message):
        now = time.monotonic()
        self._carry_out(self._engine.adopt_cfg(now, message.cfg))

    def _note_instances(self, message):
        self._engine.note_instances(
            time.monotonic(), message.entries, message.leaving_targets
        )

    def _note_hints(self, message):
        self._engine.note_hints(time.monotonic(), message.peers)

    def _take_handover(self, message):
        now = time.monotonic()
        taken, effects = self._engine.take_handover(now, message.records)
        self._carry_out(effects)
        return taken

    def _leave(self, message):
        self._engine.start_leaving(time.monotonic())

    def _read_state(self, message):
        return message.read(self._engine.state, time.monotonic())

    def _carry_out(self, effects):
        started = []
        for effect in effects:
            if isinstance(effect, calls.SendCaller):
                self._send(self._public, effect.datagram, effect.address)
            elif isinstance(effect, calls.SendPeer):
                self._send_peer(effect)
            elif isinstance(effect, HandOver):
                self._hand_over(effect)
            else:
                started.append(effect)
        if started:
            self._put_calls(started)

    def _send_peer(self, effect):
        address = self._engine.state.membership.find_address(effect.peer)
        if address:
            self._count_peer('sent', effect.datagram)
            self._send(self._private, effect.datagram, parse_address(address))

    def _count_peer(self, way, datagram):
        counters = self._engine.state.counters
        counters[f'peer_{way}'] += 1
        counters[f'peer_{way}_bytes'] += len(datagram)

    def _send(self, sock, datagram, address):
        try:
            sock.sendto(datagram, address)
        except OSError:
            # A full buffer or a vanished address: to the caller it is one
            # more lost datagram, which it asks for again.
            self._engine.state.counters['send_failed'] += 1
