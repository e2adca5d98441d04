"""A minimal threaded HTTP server for GET requests without parameters.

Each connection has its own thread and may send several requests.  Programs
on machines with 120 MB of memory use this server instead of the one in
:mod:`cornelgap.kernel.metrics`: it needs no event loop, and a page function
may defer its imports to the first request.
"""

import logging
import socketserver

READ_TIMEOUT_S = 2.0
"""Seconds after which an idle connection is closed; routers send two requests
a second."""

ACCEPT_BACKLOG = 512
"""Length of the queue of connections that wait to be accepted.  After a change
all instances of a zone connect to a hub at the same moment.  With a backlog of
5, the default of :mod:`socketserver`, SYN packets of some instances were
dropped and their data was a second old."""

MAX_HEADER_BYTES = 4096
REASON_PHRASES = {
    200: b'OK',
    404: b'Not Found',
    405: b'Method Not Allowed',
    503: b'Service Unavailable',
}
_HEADER_END = b'\r\n\r\n'
_LOG = logging.getLogger('cornelgap.ready')


def make_server(address, pages):
    """Create an HTTP server that is bound and listening.

    :param address: tuple (host, port).
    :param pages: dict of page functions by path; each takes no arguments and
        returns a tuple (status, body).
    :returns: a :class:`socketserver.ThreadingTCPServer`.
    """

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.settimeout(READ_TIMEOUT_S)
            try:
                _serve_connection(self.request, pages)
            except OSError as exc:
                # The client disconnected or timed out; it will retry.
                _LOG.debug(
                    'ready: connection aborted', extra={'error': repr(exc)}
                )

    return make_tcp_server(address, Handler)


def make_tcp_server(address, handler):
    """Create a TCP server that handles each connection in a daemon thread.

    :param address: tuple (host, port).
    :param handler: a :class:`socketserver.BaseRequestHandler` class.
    :returns: a server that is bound and listening.
    """
    server = socketserver.ThreadingTCPServer(
        address, handler, bind_and_activate=False
    )
    server.daemon_threads = True
    server.allow_reuse_address = True
    server.request_queue_size = ACCEPT_BACKLOG
    server.server_bind()
    server.server_activate()
    return server


def _serve_connection(sock, pages):
    received = b''
    while True:
        while _HEADER_END not in received:
            chunk = sock.recv(MAX_HEADER_BYTES)
            if not chunk or len(received) > MAX_HEADER_BYTES:
                return
            received += chunk
        request, _, received = received.partition(_HEADER_END)
        status, body = _handle_request(request, pages)
        sock.sendall(
            b'HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s'
            % (status, REASON_PHRASES[status], len(body), body)
        )


def _handle_request(request, pages):
    words = request.split(b' ', 2)
    if words[0] != b'GET' or len(words) < 2:
        return 405, b''
    page = pages.get(words[1].partition(b'?')[0].decode('latin-1'))
    return (404, b'') if page is None else page()
