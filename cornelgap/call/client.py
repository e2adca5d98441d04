"""Many flows of a caller on one UDP socket.

One thread makes a client, owns its socket and state, and calls
:meth:`CallerClient.poll` in its loop.
"""

import heapq
import math
import random
import selectors
import socket
import time
from dataclasses import dataclass

from cornelgap.call.flow import CallerFlow
from cornelgap.core.errors import CodedError
from cornelgap.wire.caller_codec import decode_datagram

SOCKET_BYTES = 4 * 1024 * 1024
"""Receive buffer asked of the kernel: a burst of chunks of many flows."""

BATCH = 256
"""Datagrams read in one turn before timers get theirs."""


@dataclass(slots=True)
class FlowEvent:
    """An event and the flow that it is about."""

    flow: CallerFlow
    event: object


class CallerClient:
    """One socket, any number of flows.

    :param addresses: ``(host, port)`` pairs; each datagram goes to one of
        them at random, as a fabric would do.
    """

    def __init__(self, addresses, rng=None, clock=time.monotonic):
        """Bind a socket to a port of the kernel's choice."""
        self.received = 0
        self.sent = 0
        self.undecodable = 0
        self._addresses = list(addresses)
        self._rng = rng or random.Random()
        self._clock = clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        self._sock.bind(('', 0))
        self._sock.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._sock, selectors.EVENT_READ)
        self._by_flow = {}
        self._by_nonce = {}
        self._timers = []
        self._planned = {}
        self._order = 0

    def open_flow(self, service, **options):
        """Start to open a flow; options are those of :class:`CallerFlow`."""
        flow = CallerFlow(service, self._rng, self._clock(), **options)
        self._by_nonce[flow.nonce] = flow
        self.schedule(flow)
        return flow

    def schedule(self, flow):
        """Note that a flow has become due, after a call of its methods."""
        # One timer a flow is enough: a busy flow changes its due time with
        # each datagram, and a timer for each would fill the heap.
        if flow.due >= self._planned.get(flow, math.inf):
            return
        self._planned[flow] = flow.due
        self._order += 1
        heapq.heappush(self._timers, (flow.due, self._order, flow))

    def poll(self, wait_s):
        """Handle what comes within a time, and all timers that are due.

        :param wait_s: longest wait for the first datagram in seconds.
        :returns: list of :class:`FlowEvent`.
        """
        found = []
        now = self._clock()
        if self._timers:
            wait_s = max(0, min(wait_s, self._timers[0][0] - now))
        if self._selector.select(wait_s):
            self._read_batch(found)
        self._run_timers(found)
        return found

    def close(self):
        """Close the socket; flows that should say so are closed before."""
        self._selector.close()
        self._sock.close()

    def _read_batch(self, found):
        for _ in range(BATCH):
            try:
                data = self._sock.recv(2048)
            except BlockingIOError:
                return
            except ConnectionError:
                # An entry's port was closed; the datagram is lost like any.
                continue
            self.received += 1
            self._dispatch(data, found)

    def _dispatch(self, data, found):
        try:
            message = decode_datagram(data)
        except CodedError:
            self.undecodable += 1
            return
        flow = self._find_flow(message)
        if flow is None:
            return
        output = flow.handle_message(self._clock(), message)
        self._carry_out(flow, output, found)

    def _find_flow(self, message):
        nonce = getattr(message, 'nonce', 0)
        if nonce:
            return self._by_nonce.get(nonce)
        return self._by_flow.get(getattr(message, 'flow', None))

    def _run_timers(self, found):
        now = self._clock()
        while self._timers and self._timers[0][0] <= now:
            planned, _, flow = heapq.heappop(self._timers)
            if self._planned.get(flow) != planned:
                continue
            self._planned.pop(flow)
            if flow.due <= now:
                self._carry_out(flow, flow.tick(now), found)
            else:
                self.schedule(flow)

    def _carry_out(self, flow, output, found):
        for datagram in output.datagrams:
            self._send(datagram)
        found.extend(FlowEvent(flow, event) for event in output.events)
        self._by_nonce.setdefault(flow.nonce, flow)
        if flow.flow:
            self._by_flow.setdefault(flow.flow, flow)
        if flow.is_closed:
            self._by_nonce.pop(flow.nonce, None)
            self._by_flow.pop(flow.flow, None)
            self._planned.pop(flow, None)
        else:
            self.schedule(flow)

    def _send(self, datagram):
        if len(self._addresses) == 1:
            address = self._addresses[0]
        else:
            address = self._rng.choice(self._addresses)
        try:
            self._sock.sendto(datagram, address)
        except (BlockingIOError, ConnectionError):
            # The same as a loss on the way; the flow repeats it.
            return
        self.sent += 1
