"""A lean sender of datagrams, to load one entry instance over a socket.

It keeps a window of datagrams without answer and sends the next one when
an answer comes; :class:`~cornelgap.call.flow.CallerFlow` would cost more
than the entry instance does.
"""

import socket
import time
from collections import Counter

from cornelgap.wire import caller_pb2 as pb
from cornelgap.wire.caller_codec import decode_datagram

BUFFER_BYTES = 8 * 1024 * 1024
SILENCE_S = 0.2
KIND_AT = 3
"""Where a datagram states its kind: the second field, a small number.
Decoding each answer would slow the sender below the entry instance."""


class Flood:
    """One socket that sends as fast as answers come.

    :param address: ``(host, port)`` of the entry instance.
    :param window: datagrams without answer at a time.
    """

    def __init__(self, address, window=32):
        """Open the socket."""
        self.address = address
        self.window = window
        self.lost = 0
        self.kinds = Counter()
        self._last = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.sock.bind(('127.0.0.1', 0))
        self.sock.settimeout(SILENCE_S)

    def close(self):
        """Close the socket."""
        self.sock.close()

    def run(self, datagrams, take=None):
        """Send all datagrams and wait for as many answers.

        :param datagrams: iterable of bytes; each has one answer.
        :param take: called with each answer.
        :returns: (answers, seconds).
        """
        todo = iter(datagrams)
        open_count = answers = 0
        started = last = time.perf_counter()
        for _ in range(self.window):
            open_count += self._send_next(todo)
        while open_count:
            try:
                data = self.sock.recv(4096)
            except TimeoutError:
                # The rest was lost in a full buffer; go on with new ones.
                self.lost += open_count
                open_count = 0
                for _ in range(self.window):
                    open_count += self._send_next(todo)
                continue
            last = time.perf_counter()
            answers += 1
            self.kinds[data[KIND_AT]] += 1
            self._last[data[KIND_AT]] = data
            if take is not None:
                take(data)
            open_count += self._send_next(todo) - 1
        return answers, last - started

    def describe(self):
        """Describe the answers by their kinds, and the last refusal."""
        kinds = {pb.Kind.Name(kind): n for kind, n in self.kinds.items()}
        refusal = ''
        if pb.REFUSED in self._last:
            verdict = decode_datagram(self._last[pb.REFUSED]).verdict
            refusal = f', last refusal {verdict.code}'
        return f'{kinds}, {self.lost} lost{refusal}'

    def _send_next(self, todo):
        data = next(todo, None)
        if data is None:
            return 0
        self.sock.sendto(data, self.address)
        return 1
