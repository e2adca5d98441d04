"""Table of the flows through this instance, and the targets' load.

Targets answer callers directly, so an instance sees only the packets from
callers.  These are enough to count the active flows of a target and those
that wait for an answer, and to tell whether the target answers at all: an
answer shows in the caller's next acknowledgement.  Packets of open flows are
routed by their cookie without this table, so it may be lost at any time.
"""

from collections import OrderedDict
from itertools import chain

from msgspec import Struct

from cornelgap.forwarding.flow_owners import NO_SEQUENCE

IDLE_AFTER_S = 5.0
"""Time without a packet after which a flow counts as idle.  Callers of long
flows send about one request a second; a flow whose packets now pass through
another instance is no longer counted here after this time."""

FORGET_IDLE_AFTER_S = 30.0
"""Time without a packet after which an idle flow is forgotten.  Targets close
idle flows after some seconds, and callers do not reuse ports so soon."""

MAX_FLOWS = 65536
"""Most active flows kept, and most idle ones; the least recently seen is
removed first.  The active ones take about 25 MB at most, the idle ones about
15 MB."""


class Flow(Struct):
    """One flow as seen by this instance.

    :param cookie: target on which the flow is open, or to which its last SYN
        was forwarded.
    :param tried: cookies of the targets that got its earlier SYNs.
    :param syn_seq: sequence number of its SYN; ``NO_SEQUENCE`` if this
        instance has not seen one.
    :param ambiguous: whether another target may have got a SYN of it as well.
    :param established: whether the caller has acknowledged a target's SYN+ACK.
    :param next_seq: next sequence number after the caller's last data.
    :param sent_at: when data were last forwarded.
    :param last_ack: the caller's last acknowledgement.
    :param repeats: number of times that the last data were repeated.
    :param waiting_since: when the unanswered request was sent; 0 if none.
    :param request_ack: the caller's acknowledgement when it sent its last
        request; None before the first.
    :param failed: whether its last request has been recorded as failed.
    :param prompt: whether the answer came about as fast as usual; None if
        that is not known.
    :param answered_at: when an answer was last acknowledged by a packet
        without data.
    :param waited_s: seconds from the request to that time; None if that is
        not known.
    :param closed: whether the flow has ended.
    """

    cookie: int
    opened_at: float
    seen_at: float
    tried: tuple = ()
    syn_seq: int = NO_SEQUENCE
    ambiguous: bool = False
    established: bool = False
    next_seq: int = 0
    sent_at: float = 0
    last_ack: int = 0
    repeats: int = 0
    waiting_since: float = 0
    request_ack: int | None = None
    failed: bool = False
    prompt: bool | None = None
    answered_at: float = 0
    waited_s: float | None = None
    closed: bool = False


class IdleFlow(Struct, frozen=True):
    """What is kept of an open flow without recent packets.

    :param last_ack: the caller's last acknowledgement.
    :param syn_seq: as in :class:`Flow`.
    """

    cookie: int
    last_ack: int
    seen_at: float
    syn_seq: int


class Load(Struct):
    """Load of one target as seen by this instance.

    :param flows: number of flows that are active on it.
    :param waiting: number of flows that wait for an answer.
    :param answered_at: when an answer of the target was last seen.
    """

    flows: int = 0
    waiting: int = 0
    answered_at: float = 0


class FlowTable:
    """Recently seen flows, and the load of each target computed from them.

    :ivar loads: :class:`Load` by cookie.
    """

    def __init__(self):
        """Start without flows."""
        self._flows = OrderedDict()
        self._idle = OrderedDict()
        self.loads = {}

    def __len__(self):
        """Return the number of active flows in the table."""
        return len(self._flows)

    def find(self, key):
        """Return the active flow with a key, or None."""
        return self._flows.get(key)

    def find_idle(self, key):
        """Return the :class:`IdleFlow` with a key, or None."""
        return self._idle.get(key)

    def get_load(self, cookie):
        """Return the load of a target; add an empty one if it has none."""
        load = self.loads.get(cookie)
        if load is None:
            load = self.loads[cookie] = Load()
        return load

    def count_flows(self):
        """Return the number of active flows by cookie, zeros left out."""
        return {
            cookie: load.flows
            for cookie, load in self.loads.items()
            if load.flows
        }

    def list_open_flows(self, cookies):
        """Return (key, cookie, last acknowledgement) of targets' open flows."""
        open_flows = chain(
            (
                (key, flow)
                for key, flow in self._flows.items()
                if flow.established and not flow.closed
            ),
            self._idle.items(),
        )
        return [
            (key, flow.cookie, flow.last_ack)
            for key, flow in open_flows
            if flow.cookie in cookies
        ]

    def note_open(self, packet, cookie, now):
        """Record that a SYN was forwarded to a target."""
        key = packet.flow
        flow = self._flows.get(key)
        if flow is None:
            flow = self._add(key, cookie, now)
            flow.syn_seq = packet.seq
            # Another instance may have forwarded the SYN of which this is a
            # copy, to a target of its own choice.
            flow.ambiguous = packet.ack > 0
            return flow
        if flow.cookie != cookie:
            flow.tried = (*flow.tried, flow.cookie)
            flow.ambiguous = True
            self._move_load(flow, cookie)
        self._mark_seen(key, flow, now)
        return flow

    def note_packet(self, key, packet, cookie, closing, now):
        """Record a packet of an open flow.

        :param closing: whether the packet ends the flow.
        """
        flow = self._flows.get(key)
        if flow is None:
            flow = self._add(key, cookie, now)
            flow.last_ack = packet.ack
            flow.established = True
        elif not flow.established and flow.cookie != cookie:
            # A copy of the SYN was answered by another target.
            flow.ambiguous = True
            self._move_load(flow, cookie)
        self._record_progress(flow, packet, now)
        flow.established = True
        self._mark_seen(key, flow, now)
        if closing and not flow.closed:
            self._release_load(flow)
            flow.closed = True
        return flow

    def forget(self, key):
        """Remove an active flow whose key a new flow uses again."""
        self._remove(key)

    def expire(self, now):
        """Remove inactive flows; keep the open ones as idle for some time."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if flow.seen_at >= now - IDLE_AFTER_S:
                break
            self._remove(key)
            if flow.established and not flow.closed:
                self._add_idle(key, flow)
        while self._idle:
            key, idle = next(iter(self._idle.items()))
            if idle.seen_at >= now - FORGET_IDLE_AFTER_S:
                break
            self._idle.pop(key)

    def close_flows(self, cookie):
        """Close all flows of a target that has restarted.

        Its flows ended with its previous lifetime.  If they were still
        counted, they would keep new flows away from an idle target.
        """
        for flow in self._flows.values():
            if flow.cookie == cookie and not flow.closed:
                self._release_load(flow)
                flow.closed = True
        self.loads.pop(cookie, None)
        ended = [
            key for key, idle in self._idle.items() if idle.cookie == cookie
        ]
        for key in ended:
            self._idle.pop(key)

    def keep_loads(self, cookies):
        """Forget the loads of other targets than these if they have no flow."""
        for cookie in self.loads.keys() - cookies:
            if not self.loads[cookie].flows:
                self.loads.pop(cookie)

    def _add(self, key, cookie, now):
        if len(self._flows) >= MAX_FLOWS:
            self._remove(next(iter(self._flows)))
        self._idle.pop(key, None)
        flow = Flow(cookie, now, now)
        self._flows[key] = flow
        self.get_load(cookie).flows += 1
        return flow

    def _add_idle(self, key, flow):
        if len(self._idle) >= MAX_FLOWS:
            self._idle.popitem(last=False)
        self._idle[key] = IdleFlow(
            flow.cookie, flow.last_ack, flow.seen_at, flow.syn_seq
        )

    def _mark_seen(self, key, flow, now):
        flow.seen_at = now
        self._flows.move_to_end(key)

    def _record_progress(self, flow, packet, now):
        load = self.get_load(flow.cookie)
        if flow.last_ack != packet.ack or not flow.established:
            flow.last_ack = packet.ack
            load.answered_at = now
            self._end_wait(flow, load)
        if packet.size:
            if flow.next_seq != packet.seq + packet.size:
                flow.repeats = 0
            flow.next_seq = packet.seq + packet.size
            flow.sent_at = now
            if not flow.waiting_since and not flow.closed:
                flow.waiting_since = now
                flow.request_ack = packet.ack
                flow.failed = False
                flow.prompt = None
                flow.waited_s = None
                load.waiting += 1

    def _end_wait(self, flow, load):
        if flow.waiting_since:
            flow.waiting_since = 0
            load.waiting -= 1

    def _move_load(self, flow, cookie):
        if not flow.closed:
            self._release_load(flow)
            self.get_load(cookie).flows += 1
        flow.cookie = cookie

    def _release_load(self, flow):
        load = self.get_load(flow.cookie)
        self._end_wait(flow, load)
        load.flows -= 1

    def _remove(self, key):
        flow = self._flows.pop(key)
        if not flow.closed:
            self._release_load(flow)
