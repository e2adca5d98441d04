"""The endpoint that tells the platform's routers whether to send packets."""

import logging
import socketserver

from cornelgap.core.errors import Code

PATH = b'/-/readiness'
READ_S = 2.0
_HEAD_BYTES = 4096
_LOG = logging.getLogger('cornelgap.ready')


def make_server(address, is_ready):
    """Make a server that answers in its own thread.

    :param is_ready: function; called for each question.
    :returns: a server with ``serve_forever`` and ``shutdown``.
    """

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.settimeout(READ_S)
            try:
                _answer(self.request, is_ready)
            except OSError as exc:
                _LOG.info(
                    'ready: question given up',
                    extra={'code': str(Code.PLT_DOWN), 'error': repr(exc)},
                )

    server = socketserver.ThreadingTCPServer(
        address, Handler, bind_and_activate=False
    )
    server.daemon_threads = True
    server.allow_reuse_address = True
    server.server_bind()
    server.server_activate()
    return server


def _answer(sock, is_ready):
    head = b''
    while True:
        while b'\r\n\r\n' not in head:
            chunk = sock.recv(_HEAD_BYTES)
            if not chunk or len(head) > _HEAD_BYTES:
                return
            head += chunk
        request, _, head = head.partition(b'\r\n\r\n')
        status = _choose_status(request, is_ready)
        sock.sendall(b'HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n' % status)


def _choose_status(request, is_ready):
    words = request.split(b' ', 2)
    if len(words) < 2 or words[1].partition(b'?')[0] != PATH:
        return b'404 Not Found'
    return b'200 OK' if is_ready() else b'503 Service Unavailable'
