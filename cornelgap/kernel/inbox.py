"""An actor inbox that multiplexes messages, sockets and a periodic tick.

With the inbox of pykka, each socket would need a thread that forwards every
packet to the actor by ``tell``, and one ``tell`` costs about as much as
handling a packet.  With this inbox, the actor's single thread blocks in a
selector until a message arrives or a socket becomes readable.  The actor
then reads its sockets itself and handles a packet in one ``on_receive`` call.
"""

import queue
import selectors
import socket

from msgspec import Struct
from pykka._envelope import Envelope

WAKE_BYTE = b'w'


class SocketReadable(Struct, frozen=True):
    """Message to the actor: a socket has datagrams to read."""

    sock: socket.socket


class Tick(Struct, frozen=True):
    """Message to the actor: the tick interval has elapsed."""


class SocketInbox:
    """Inbox for :class:`pykka.ThreadingActor` with sockets and a tick.

    :meth:`put` is thread-safe; all other methods must be called from the
    actor's own thread.

    :param clock: function that returns the time in seconds.
    :param tick_s: seconds between two ticks; None for no ticks.
    """

    def __init__(self, clock, tick_s=None):
        """Create the socket pair that wakes the actor's thread."""
        self._clock = clock
        self._tick_s = tick_s
        self._next_tick = clock()
        self._queue = queue.SimpleQueue()
        self._readable = []
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ)

    def add_socket(self, sock):
        """Also deliver :class:`SocketReadable` for a socket."""
        self._selector.register(sock, selectors.EVENT_READ)

    def put(self, envelope):
        """Add a message and wake the actor's thread if it is waiting."""
        self._queue.put(envelope)
        try:
            self._wake_write.send(WAKE_BYTE)
        except (BlockingIOError, OSError):
            # The socket pair is full of unread wake-ups, or closed because
            # the actor has stopped.
            return

    def get(self):
        """Return the next message, readable socket or tick; may block.

        Messages, sockets and ticks alternate, so that a flood of packets
        cannot delay an administrator's message, nor the reverse.
        """
        while True:
            if self._is_tick_due():
                self._next_tick = self._clock() + self._tick_s
                return Envelope(Tick())
            if self._readable:
                return Envelope(SocketReadable(self._readable.pop()))
            self._poll_sockets()
            if not self._queue.empty():
                return self._queue.get()

    def empty(self):
        """Return whether no message is queued."""
        return self._queue.empty()

    def close(self):
        """Close the selector and the socket pair."""
        self._selector.close()
        self._wake_read.close()
        self._wake_write.close()

    def _is_tick_due(self):
        return self._tick_s is not None and self._clock() >= self._next_tick

    def _poll_sockets(self):
        timeout = None
        if not self._queue.empty():
            timeout = 0
        elif self._tick_s is not None:
            timeout = max(0, self._next_tick - self._clock())
        for key, _ in self._selector.select(timeout):
            if key.fileobj is self._wake_read:
                self._discard_wakeups()
            else:
                self._readable.append(key.fileobj)

    def _discard_wakeups(self):
        try:
            self._wake_read.recv(4096)
        except BlockingIOError:
            return
