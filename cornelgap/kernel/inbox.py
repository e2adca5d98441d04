"""An actor's inbox that also waits on the actor's own sockets.

A plain inbox would need a thread for each socket that tells the actor of
every packet; one ``tell`` costs about as much as handling a packet.  Here
the actor's one thread sleeps until a message comes or a socket can be
read, so the actor owns its sockets and handles a packet in one turn.
"""

import queue
import selectors
import socket

from msgspec import Struct
from pykka._envelope import Envelope

WAKE_BYTE = b'w'


class Readable(Struct, frozen=True):
    """Message to the actor: this socket has datagrams to read."""

    sock: socket.socket


class Tick(Struct, frozen=True):
    """Message to the actor: its time slice is over."""


class SocketInbox:
    """Inbox for :class:`pykka.ThreadingActor` with sockets and a tick.

    ``put`` may be called by any thread; everything else belongs to the
    actor's own thread.

    :param tick_s: seconds between two ticks; None for no ticks.
    """

    def __init__(self, clock, tick_s=None):
        """Open the wake-up pair; sockets are added later."""
        self._clock = clock
        self._tick_s = tick_s
        self._next_tick = clock()
        self._queue = queue.SimpleQueue()
        self._ready = []
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ)

    def add_socket(self, sock):
        """Wait on a socket as well."""
        self._selector.register(sock, selectors.EVENT_READ)

    def put(self, envelope):
        """Put a message; wakes the actor if it sleeps."""
        self._queue.put(envelope)
        try:
            self._wake_write.send(WAKE_BYTE)
        except (BlockingIOError, OSError):
            # The pair is full of wake-ups, or closed after the stop.
            return

    def get(self):
        """Give the next message, readable socket or tick.

        Messages, sockets and ticks take turns, so that a flood of packets
        cannot keep an administrator's message waiting, nor the reverse.
        """
        while True:
            if self._is_tick_due():
                self._next_tick = self._clock() + self._tick_s
                return Envelope(Tick())
            if self._ready:
                return Envelope(Readable(self._ready.pop()))
            self._wait()
            if not self._queue.empty():
                return self._queue.get()

    def empty(self):
        """Say whether no message waits."""
        return self._queue.empty()

    def close(self):
        """Close the wake-up pair and the selector."""
        self._selector.close()
        self._wake_read.close()
        self._wake_write.close()

    def _is_tick_due(self):
        return self._tick_s is not None and self._clock() >= self._next_tick

    def _wait(self):
        timeout = None
        if not self._queue.empty():
            timeout = 0
        elif self._tick_s is not None:
            timeout = max(0, self._next_tick - self._clock())
        for key, _ in self._selector.select(timeout):
            if key.fileobj is self._wake_read:
                self._drain_wake()
            else:
                self._ready.append(key.fileobj)

    def _drain_wake(self):
        try:
            self._wake_read.recv(4096)
        except BlockingIOError:
            return
