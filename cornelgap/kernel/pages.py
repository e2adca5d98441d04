"""A very small HTTP server for pages without parameters.

Each connection has a thread of its own and may ask several times.  It
exists beside :mod:`cornelgap.kernel.metrics` for programs that run on
machines of 120 MB: it needs no event loop, and a page may import what it
needs when it is first asked for.
"""

import logging
import socketserver

READ_S = 2.0
"""Longest silence of a connection, seconds; routers ask twice a second."""

BACKLOG = 512
"""Connections that may wait to be accepted.  All instances of a zone ask a
hub in the same moment after a change; with the library's 5 the others'
opening packets were dropped, and their facts were a second old."""

HEAD_BYTES = 4096
REASONS = {
    200: b'OK',
    404: b'Not Found',
    405: b'Method Not Allowed',
    503: b'Service Unavailable',
}
_END = b'\r\n\r\n'
_LOG = logging.getLogger('cornelgap.ready')


def make_server(address, pages):
    """Make a server.

    :param address: tuple (host, port).
    :param pages: functions by path, each giving a tuple (status, body).
    :returns: a server with ``serve_forever`` and ``shutdown``.
    """

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.settimeout(READ_S)
            try:
                _serve(self.request, pages)
            except OSError as exc:
                # Whoever asked has gone or is too slow; he asks again.
                _LOG.debug(
                    'ready: question given up', extra={'error': repr(exc)}
                )

    return make_tcp_server(address, Handler)


def make_tcp_server(address, handler):
    """Make a server with a daemon thread for each connection."""
    server = socketserver.ThreadingTCPServer(
        address, handler, bind_and_activate=False
    )
    server.daemon_threads = True
    server.allow_reuse_address = True
    server.request_queue_size = BACKLOG
    server.server_bind()
    server.server_activate()
    return server


def _serve(sock, pages):
    head = b''
    while True:
        while _END not in head:
            chunk = sock.recv(HEAD_BYTES)
            if not chunk or len(head) > HEAD_BYTES:
                return
            head += chunk
        request, _, head = head.partition(_END)
        status, body = _make_page(request, pages)
        sock.sendall(
            b'HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s'
            % (status, REASONS[status], len(body), body)
        )


def _make_page(request, pages):
    words = request.split(b' ', 2)
    if words[0] != b'GET' or len(words) < 2:
        return 405, b''
    page = pages.get(words[1].partition(b'?')[0].decode('latin-1'))
    return (404, b'') if page is None else page()
