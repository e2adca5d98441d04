"""Fetching all facts from another instance, and giving them to others.

A beat says that there is something newer but is too small to hold it.  The
fetch runs in an actor of its own, since it waits for the other side.
"""

import logging
import socket
import socketserver

from msgspec import Struct

from cornelgap.core.errors import CodedError
from cornelgap.forwarding.facts import read_clock
from cornelgap.forwarding.peer_messages import unpack_snapshot
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor
from cornelgap.kernel.pages import make_tcp_server

FETCHER = 'fetcher'
FETCH_S = 1.0
"""Longest fetch, seconds; a snapshot takes milliseconds."""

_CHUNK = 65536
_LOG = logging.getLogger('cornelgap.directory')


class Fetch(Struct, frozen=True):
    """Message: fetch all facts from a host.

    :param key: None if this instance has not learnt it yet.
    """

    host: str
    key: bytes | None


class SnapshotFetched(Struct, frozen=True):
    """Message: what another instance knows.

    :param sent_at: when it was asked; its ages count from here, so that
        the time on the way makes facts look older, never younger.
    """

    host: str
    snapshot: object
    sent_at: float


class Fetcher(NamedActor):
    """Fetches one snapshot at a time.

    :param receiver: name of the service that gets them.
    """

    use_daemon_thread = True

    def __init__(self, scope, port, receiver):
        """Wait for :class:`Fetch`."""
        super().__init__(scope, FETCHER)
        self._port = port
        self._receiver = receiver
        self.handlers = {Fetch: self._fetch}

    def _fetch(self, message):
        now = read_clock()
        if not self.actor_inbox.empty():
            # Beats that came during the last fetch asked for the same.
            return
        try:
            raw = receive_all((message.host, self._port))
            snapshot = unpack_snapshot(raw, read_clock(), message.key)
        except (OSError, CodedError) as exc:
            _LOG.info(
                'directory: fetch failed',
                extra={'host': message.host, 'error': repr(exc)},
            )
            return
        found = SnapshotFetched(message.host, snapshot, now)
        tell_actor(self.scope, self._receiver, found)


def make_server(address, read_snapshot):
    """Make a server that gives a snapshot to whoever connects.

    :param read_snapshot: function that gives bytes, empty if there are none.
    """

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.settimeout(FETCH_S)
            try:
                self.request.sendall(read_snapshot())
            except OSError as exc:
                _LOG.info(
                    'directory: snapshot not taken', extra={'error': repr(exc)}
                )

    return make_tcp_server(address, Handler)


def receive_all(address):
    """Receive all that a server gives.

    :raises OSError: if that takes longer than a fetch may.
    """
    ends_at = read_clock() + FETCH_S
    chunks = []
    with socket.create_connection(address, FETCH_S) as sock:
        while True:
            left = ends_at - read_clock()
            if left <= 0:
                raise TimeoutError('the snapshot takes too long')
            sock.settimeout(left)
            chunk = sock.recv(_CHUNK)
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)
