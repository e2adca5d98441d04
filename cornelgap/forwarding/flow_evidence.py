"""What the packets of callers' flows say of targets.

A packet that acknowledges more than the one before shows an answer, one that
comes again shows that none came, and a request that has waited for long, or
whose answer is unusually short, was not served.  The judge hears of each.
"""

from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.buckets import Buckets
from cornelgap.forwarding.packet_checks import is_repeat
from cornelgap.forwarding.request_watch import RequestWatch

SEQUENCE_MASK = 0xFFFFFFFF
"""Sequence numbers have 32 bits and begin anew after the last one."""


class FlowEvidence:
    """Reads callers' packets and tells a judge of targets.

    :param flows: :class:`~cornelgap.forwarding.flows.FlowTable`.
    :param judge: :class:`~cornelgap.forwarding.target_judge.TargetJudge`.
    :param note_size: hears of each answer whose time is known: the flow's
        key, the flow and the answer's bytes.
    :ivar answers: counts of the times that answers took.
    """

    def __init__(self, flows, judge, note_size):
        """Watch no request yet."""
        self._note_size = note_size
        self._flows = flows
        self._judge = judge
        self._watch = RequestWatch()
        self.answers = Buckets()

    def keep_routes(self, places):
        """Forget what is usual on all routes but these."""
        self._watch.keep_routes(places)

    def clear(self):
        """Forget waiting requests, as after a standstill of our own."""
        self._watch.clear()

    def note_copy(self, packet, known, target, again, now):
        """Note that a caller repeated a SYN.

        :param known: the flow, not yet open.
        :param target: the target that got the SYN; None if it is unknown.
        :param again: whether it had repeated the same before.
        """
        self._judge.note_repeat(
            known.cookie, target, packet, again, now, opening=True
        )
        if again:
            self._note_failure(known)

    def note_packet(self, packet, cookie, target, now):
        """Note a packet of an open flow.

        :param target: the target of the cookie; None if it is unknown.
        """
        known = self._flows.find(packet.flow)
        # The first packet that is seen of a flow says nothing: whatever it
        # acknowledges may have been answered long ago.
        if known is not None:
            if known.acked != packet.ack or not known.pinned:
                self._note_answer(cookie, target, packet, known, now)
            elif is_repeat(packet, known, now):
                known.repeats += 1
                again = known.repeats > 1
                self._judge.note_repeat(cookie, target, packet, again, now)
        closing = bool(packet.flags & (pkt.FIN | pkt.RST))
        self._note_end(packet, known, closing)
        flow = self._flows.note_packet(
            packet.flow, packet, cookie, closing, now
        )
        if known is not None and flow.waiting_since == now:
            self._watch.note_request(packet.flow, now)
            self._judge.note_request(now)

    def note_overdue(self, now):
        """Note the requests that have waited too long as failures."""
        for key, since in self._watch.take_due(now):
            flow = self._flows.find(key)
            if flow is None or flow.closed or flow.waiting_since != since:
                continue
            self._note_failure(flow)

    def _note_answer(self, cookie, target, packet, known, now):
        # A packet without data is sent at the moment when an answer came.
        # One with data is a new request, which may acknowledge an answer
        # of long ago; all it proves is that the last request was answered.
        answered_at = known.waiting_since if packet.size else now
        if known.waiting_since and not packet.size:
            waited_s = now - known.waiting_since
            self.answers.add(waited_s)
            known.answered_at, known.waited_s = now, waited_s
            known.prompt = self._watch.note_answer(packet.flow, waited_s)
        self._judge.note_answer(
            cookie, target, answered_at, known.opened_at, now
        )

    def _note_end(self, packet, known, closing):
        """Note how the last request of a flow has ended, if it has.

        A caller that closes while it waits has given the request up.
        """
        if known is None or known.closed or known.asked_ack is None:
            return
        if not closing and not is_next_request(packet, known):
            return
        size = (packet.ack - known.asked_ack) & SEQUENCE_MASK
        if size and known.waited_s is not None:
            self._note_size(packet.flow, known, size)
        if not size or self._watch.note_size(packet.flow, size):
            self._note_failure(known)
        elif known.prompt is not None:
            kind = 'prompt' if known.prompt else 'slow'
            self._judge.note_outcome(known.cookie, kind)

    def _note_failure(self, flow):
        """Note once that a flow's last request was not served.

        A caller that gives it up seconds later must not speak against a
        target that may serve again.
        """
        if not flow.failed:
            flow.failed = True
            self._judge.note_outcome(flow.cookie, 'failed')


def is_next_request(packet, known):
    """Say whether a packet begins another request on its flow.

    Data that come while nothing was answered are more of the same request;
    taken for another one, it would look as if the first had no answer.

    :param known: the flow as seen here.
    """
    if not packet.size or known.sent == packet.seq + packet.size:
        return False
    return not known.waiting_since or known.acked != packet.ack
