"""Targets of open flows that callers' packets do not name.

The cookie of a packet names the target on which its flow is open, except
while the caller has last received a SYN+ACK of another target, see
:mod:`~cornelgap.forwarding.handshake_cookies`.  The instance that saw the
flow open knows its target, the owner of the flow.  It reports the owner to
the other instances if another target may have answered the SYN as well.  An
instance that gets a packet of a flow whose owner it does not know asks the
others.
"""

from collections import OrderedDict

from msgspec import Struct

NO_SEQUENCE = -1
"""Stands for the sequence number of a SYN that was not seen."""

MAX_OWNERS = 16384
"""Most owners kept; the least recently used one is removed first."""

MAX_PENDING = 1024
"""Most reports, and most queries, that wait to be sent.  Beyond that they are
discarded: a later packet of the flow renews them."""

MAX_ROWS = 64
"""Most reports, and most queries, in one message; they take about 4 KB."""

MESSAGE_INTERVAL_S = 0.05
"""Least time between two messages.  When many flows move to other instances
at once, their reports and queries share messages."""

REPORT_INTERVAL_S = 1.0
"""Least time between two reports of one flow."""

QUERY_INTERVAL_S = 0.15
"""Least time between two queries of one flow.  Callers repeat a packet after
0.2 s, which renews a query that was lost."""

FORGET_AFTER_S = 60.0
"""Time without a packet or report after which an owner is forgotten.  Flows
are idle for less than that."""


class Owner(Struct):
    """The target that holds an open flow.

    :param cookie: the target's cookie.
    :param syn_seq: sequence number of the flow's SYN, or ``NO_SEQUENCE``.
    :param used_at: when it was last reported or looked up.
    """

    cookie: int
    syn_seq: int
    used_at: float


class Spacing:
    """Keeps a minimum interval between two events of one flow.

    :param interval_s: seconds.
    """

    def __init__(self, interval_s):
        """Start without events."""
        self._interval_s = interval_s
        self._last = OrderedDict()

    def take(self, flow, now):
        """Say whether an event of a flow is due, and record it if it is."""
        last_at = self._last.get(flow, float('-inf'))
        if now - last_at < self._interval_s:
            return False
        self._last[flow] = now
        self._last.move_to_end(flow)
        return True

    def expire(self, now):
        """Forget the events that no longer matter."""
        while self._last:
            flow, last_at = next(iter(self._last.items()))
            if now - last_at < self._interval_s:
                break
            self._last.pop(flow)


class FlowOwners:
    """Known owners, and the reports and queries that are to be sent."""

    def __init__(self):
        """Start without any owner."""
        self._owners = OrderedDict()
        self._reports = {}
        self._queries = {}
        self._report_spacing = Spacing(REPORT_INTERVAL_S)
        self._query_spacing = Spacing(QUERY_INTERVAL_S)
        self._message_at = float('-inf')

    def learn(self, flow, cookie, syn_seq, now):
        """Record the owner of a flow."""
        self._owners.pop(flow, None)
        if len(self._owners) >= MAX_OWNERS:
            self._owners.popitem(last=False)
        self._owners[flow] = Owner(cookie, syn_seq, now)

    def find(self, flow, now):
        """Return the :class:`Owner` of a flow, or None."""
        owner = self._owners.get(flow)
        if owner is not None:
            owner.used_at = now
            self._owners.move_to_end(flow)
        return owner

    def report(self, flow, cookie, syn_seq, now):
        """Record an owner, and report it unless that was done just now."""
        self.learn(flow, cookie, syn_seq, now)
        has_room = len(self._reports) < MAX_PENDING
        if has_room and self._report_spacing.take(flow, now):
            self._reports[flow] = (cookie, syn_seq)

    def ask(self, flow, now):
        """Ask the other instances for an owner, unless that was done just now."""
        has_room = len(self._queries) < MAX_PENDING
        if has_room and self._query_spacing.take(flow, now):
            self._queries[flow] = ()

    def take_message(self, now):
        """Return what is to be sent now, and mark it as sent.

        :returns: tuple (reports, queries) of lists.  A report is a list of
            the flow's key, the owner's cookie and the sequence number of the
            SYN, a query is a list of the flow's key.
        """
        if now - self._message_at < MESSAGE_INTERVAL_S:
            return [], []
        reports = _take_rows(self._reports)
        queries = _take_rows(self._queries)
        if reports or queries:
            self._message_at = now
        return reports, queries

    def expire(self, now):
        """Forget owners that were not used lately."""
        while self._owners:
            flow, owner = next(iter(self._owners.items()))
            if owner.used_at >= now - FORGET_AFTER_S:
                break
            self._owners.pop(flow)
        self._report_spacing.expire(now)
        self._query_spacing.expire(now)


def _take_rows(pending):
    """Remove some flows and what is to be sent of them, as rows."""
    return [[*flow, *pending.pop(flow)] for flow in list(pending)[:MAX_ROWS]]
