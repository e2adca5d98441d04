"""Transfer of directory snapshots between instances, over TCP.

A beat announces newer facts but is too small to carry all of them.  Fetching
blocks on the other instance, so it runs in an actor of its own.
"""

import logging
import socket
import socketserver

from msgspec import Struct

from cornelgap.core.errors import CodedError
from cornelgap.forwarding.facts import read_clock
from cornelgap.forwarding.peer_messages import decode_snapshot
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor
from cornelgap.kernel.pages import make_tcp_server

FETCHER = 'fetcher'
FETCH_TIMEOUT_S = 1.0
"""Timeout of a fetch, seconds; a snapshot takes milliseconds."""

_CHUNK_BYTES = 65536
_LOG = logging.getLogger('cornelgap.directory')


class Fetch(Struct, frozen=True):
    """Message: fetch a snapshot from a host.

    :param key: key that authenticates messages between instances; None if
        this instance does not have it yet.
    """

    host: str
    key: bytes | None


class SnapshotFetched(Struct, frozen=True):
    """Message: a snapshot of the directory of another instance.

    :param sent_at: when the request was sent.  The snapshot's ages count
        from this time, so that network delay makes facts look older, never
        younger.
    """

    host: str
    snapshot: object
    sent_at: float


class Fetcher(NamedActor):
    """Fetches one snapshot at a time.

    :param receiver: name of the actor that gets the snapshots.
    """

    use_daemon_thread = True

    def __init__(self, scope, port, receiver):
        """Do nothing until a :class:`Fetch` message comes."""
        super().__init__(scope, FETCHER)
        self._port = port
        self._receiver = receiver
        self.handlers = {Fetch: self._fetch}

    def _fetch(self, message):
        sent_at = read_clock()
        if not self.actor_inbox.empty():
            # Beats that came during the last fetch have queued more
            # requests; only the last one is served.
            return
        try:
            raw = receive_all((message.host, self._port))
            snapshot = decode_snapshot(raw, read_clock(), message.key)
        except (OSError, CodedError) as exc:
            _LOG.info(
                'directory: fetch failed',
                extra={'host': message.host, 'error': repr(exc)},
            )
            return
        fetched = SnapshotFetched(message.host, snapshot, sent_at)
        tell_actor(self.scope, self._receiver, fetched)


def make_server(address, read_snapshot):
    """Create a server that sends a snapshot on each connection.

    :param read_snapshot: function that returns the snapshot's bytes, empty
        if there is none.
    """

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.settimeout(FETCH_TIMEOUT_S)
            try:
                self.request.sendall(read_snapshot())
            except OSError as exc:
                _LOG.info(
                    'directory: sending a snapshot failed',
                    extra={'error': repr(exc)},
                )

    return make_tcp_server(address, Handler)


def receive_all(address):
    """Receive all bytes until the server closes the connection.

    :raises OSError: if this takes longer than :data:`FETCH_TIMEOUT_S`, or the
        connection fails.
    """
    deadline = read_clock() + FETCH_TIMEOUT_S
    chunks = []
    with socket.create_connection(address, FETCH_TIMEOUT_S) as sock:
        while True:
            remaining_s = deadline - read_clock()
            if remaining_s <= 0:
                raise TimeoutError('snapshot not received within the timeout')
            sock.settimeout(remaining_s)
            chunk = sock.recv(_CHUNK_BYTES)
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)
