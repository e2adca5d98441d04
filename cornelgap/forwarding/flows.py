"""The flows that pass through this instance: what they say of targets.

Targets answer callers directly, so an instance sees one direction only.
That is enough to tell how many flows are active on a target, how many wait
for an answer, and whether a target answers at all: an answer shows in the
caller's next acknowledgement.  Routing does not depend on this table; it
may be lost at any time.
"""

from collections import OrderedDict
from itertools import chain

from msgspec import Struct

ACTIVE_S = 5.0
"""A flow that sent nothing for so long counts as idle here.  Callers of
long flows send about one request a second; a flow whose packets now pass
through another instance leaves the count after this time."""

KEPT_S = 30.0
"""Time for which a flow that sends nothing is kept in mind.  Targets close
idle flows after some seconds, and ports are not used again so soon."""

MAX_FLOWS = 65536
"""Flows kept, the least recently seen leave first: about 25 MB at most; and
as many idle ones, about 15 MB."""


class Flow(Struct):
    """One flow as seen here.

    :param cookie: target that it is on, or was last placed on.
    :param tried: cookies of targets that its SYNs were sent to before.
    :param pinned: whether the caller has acknowledged a target's SYN+ACK.
    :param sent: next sequence number after the caller's data.
    :param sent_at: when data were passed on last.
    :param acked: the caller's last acknowledgement.
    :param repeats: times that the last data were repeated.
    :param waiting_since: when the unanswered request was sent; 0 if none.
    :param asked_ack: the caller's acknowledgement when it sent its last
        request; None before the first.
    :param failed: whether its last request was told of as a failure.
    :param prompt: whether the answer came about as fast as usual; None if
        that is not known.
    :param answered_at: when the last answer showed in a packet of its own.
    :param waited_s: seconds from its request until then; None if that is
        not known.
    """

    cookie: int
    opened_at: float
    seen_at: float
    tried: tuple = ()
    pinned: bool = False
    sent: int = 0
    sent_at: float = 0
    acked: int = 0
    repeats: int = 0
    waiting_since: float = 0
    asked_ack: int | None = None
    failed: bool = False
    prompt: bool | None = None
    answered_at: float = 0
    waited_s: float | None = None
    closed: bool = False


class IdleFlow(Struct, frozen=True):
    """What is kept of a flow that has sent nothing lately.

    :param acked: the caller's last acknowledgement.
    """

    cookie: int
    acked: int
    seen_at: float


class Load(Struct):
    """Work on one target as seen by this instance.

    :param flows: open flows that were active lately.
    :param waiting: flows that wait for an answer.
    :param answered_at: when an answer of the target last showed.
    """

    flows: int = 0
    waiting: int = 0
    answered_at: float = 0


class FlowTable:
    """Recently seen flows, and the load on targets that follows from them."""

    def __init__(self):
        """Know no flow."""
        self._flows = OrderedDict()
        self._idle = OrderedDict()
        self.loads = {}

    def __len__(self):
        """Return the number of flows kept."""
        return len(self._flows)

    def find(self, key):
        """Return the flow of a key, or None."""
        return self._flows.get(key)

    def get_load(self, cookie):
        """Return the load of a target; an empty one if nothing is known."""
        load = self.loads.get(cookie)
        if load is None:
            load = self.loads[cookie] = Load()
        return load

    def count_flows(self):
        """Return the number of active flows by cookie, without zeros."""
        return {
            cookie: load.flows
            for cookie, load in self.loads.items()
            if load.flows
        }

    def list_held(self, cookies):
        """Return (key, cookie, last acknowledgement) of flows on targets."""
        open_flows = chain(
            (
                (key, flow)
                for key, flow in self._flows.items()
                if flow.pinned and not flow.closed
            ),
            self._idle.items(),
        )
        return [
            (key, flow.cookie, flow.acked)
            for key, flow in open_flows
            if flow.cookie in cookies
        ]

    def note_open(self, key, cookie, now):
        """Note that a SYN was sent to a target."""
        flow = self._flows.get(key)
        if flow is None:
            flow = self._add(key, cookie, now)
            return flow
        if flow.cookie != cookie:
            flow.tried = (*flow.tried, flow.cookie)
            self._move(flow, cookie)
        self._touch(key, flow, now)
        return flow

    def note_packet(self, key, packet, cookie, closing, now):
        """Note a packet on an open flow.

        :param closing: whether it ends the flow.
        """
        flow = self._flows.get(key)
        if flow is None:
            flow = self._add(key, cookie, now)
            flow.acked = packet.ack
            flow.pinned = True
        elif not flow.pinned and flow.cookie != cookie:
            self._move(flow, cookie)
        self._note_progress(flow, packet, now)
        flow.pinned = True
        self._touch(key, flow, now)
        if closing and not flow.closed:
            self._leave(flow)
            flow.closed = True
        return flow

    def expire(self, now):
        """Drop flows that were not seen lately; open ones count as idle."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if flow.seen_at >= now - ACTIVE_S:
                break
            self._drop(key)
            if flow.pinned and not flow.closed:
                self._keep_idle(key, flow)
        while self._idle:
            key, idle = next(iter(self._idle.items()))
            if idle.seen_at >= now - KEPT_S:
                break
            self._idle.pop(key)

    def end_target(self, cookie):
        """Note that a target holds nothing of before any more.

        Its flows ended with its last lifetime; counted on, they would keep
        new flows away from a target that is idle.
        """
        for flow in self._flows.values():
            if flow.cookie == cookie and not flow.closed:
                self._leave(flow)
                flow.closed = True
        self.loads.pop(cookie, None)
        ended = [
            key for key, idle in self._idle.items() if idle.cookie == cookie
        ]
        for key in ended:
            self._idle.pop(key)

    def keep_loads(self, cookies):
        """Forget idle targets that are not among these."""
        for cookie in self.loads.keys() - cookies:
            if not self.loads[cookie].flows:
                self.loads.pop(cookie)

    def _add(self, key, cookie, now):
        if len(self._flows) >= MAX_FLOWS:
            self._drop(next(iter(self._flows)))
        self._idle.pop(key, None)
        flow = Flow(cookie, now, now)
        self._flows[key] = flow
        self.get_load(cookie).flows += 1
        return flow

    def _keep_idle(self, key, flow):
        if len(self._idle) >= MAX_FLOWS:
            self._idle.popitem(last=False)
        self._idle[key] = IdleFlow(flow.cookie, flow.acked, flow.seen_at)

    def _touch(self, key, flow, now):
        flow.seen_at = now
        self._flows.move_to_end(key)

    def _note_progress(self, flow, packet, now):
        load = self.get_load(flow.cookie)
        if flow.acked != packet.ack or not flow.pinned:
            flow.acked = packet.ack
            load.answered_at = now
            self._end_wait(flow, load)
        if packet.size:
            if flow.sent != packet.seq + packet.size:
                flow.repeats = 0
            flow.sent = packet.seq + packet.size
            flow.sent_at = now
            if not flow.waiting_since and not flow.closed:
                flow.waiting_since = now
                flow.asked_ack = packet.ack
                flow.failed = False
                flow.prompt = None
                flow.waited_s = None
                load.waiting += 1

    def _end_wait(self, flow, load):
        if flow.waiting_since:
            flow.waiting_since = 0
            load.waiting -= 1

    def _move(self, flow, cookie):
        if not flow.closed:
            self._leave(flow)
            self.get_load(cookie).flows += 1
        flow.cookie = cookie

    def _leave(self, flow):
        load = self.get_load(flow.cookie)
        self._end_wait(flow, load)
        load.flows -= 1

    def _drop(self, key):
        flow = self._flows.pop(key)
        if not flow.closed:
            self._leave(flow)
