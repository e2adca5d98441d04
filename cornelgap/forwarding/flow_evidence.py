"""Evidence for and against targets, read from callers' packets.

A packet that acknowledges more data than the one before proves an answer, a
repeated packet shows that no answer came.  A request that has waited too
long, or whose answer is unusually short, counts as failed.  Each of these is
passed on to the failure detector.
"""

from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.buckets import DurationHistogram
from cornelgap.forwarding.packet_checks import is_repeat
from cornelgap.forwarding.request_watch import RequestWatch


class FlowEvidence:
    """Reads callers' packets and reports to the failure detector.

    :param flows: :class:`~cornelgap.forwarding.flows.FlowTable`.
    :param failure_detector:
        :class:`~cornelgap.forwarding.failure_detector.FailureDetector`.
    :param on_answer: called for each answer whose duration is known, with
        the flow's key, the flow and the size of the answer in bytes.
    :ivar answers: histogram of answer durations.
    """

    def __init__(self, flows, failure_detector, on_answer):
        """Start without any request."""
        self._on_answer = on_answer
        self._flows = flows
        self._failure_detector = failure_detector
        self._request_watch = RequestWatch()
        self.answers = DurationHistogram()

    def keep_routes(self, route_keys):
        """Drop the averages of all routes but these."""
        self._request_watch.keep_routes(route_keys)

    def clear(self):
        """Drop the waiting requests, as after a stall of this process."""
        self._request_watch.clear()

    def note_repeated_syn(self, packet, known, target, again, now):
        """Record that a caller repeated a SYN.

        :param known: the flow, not yet open.
        :param target: the target that got the SYN; None if it is unknown.
        :param again: whether the caller had repeated the SYN before.
        """
        self._failure_detector.note_repeat(
            known.cookie, target, packet, again, now, opening=True
        )
        if again:
            self._note_failure(known)

    def note_packet(self, packet, cookie, target, now):
        """Record a packet of an open flow.

        :param target: the target of the cookie; None if it is unknown.
        """
        known = self._flows.find(packet.flow)
        # The first packet seen of a flow is no evidence: whatever it
        # acknowledges may have been answered long ago.
        if known is not None:
            if known.last_ack != packet.ack or not known.established:
                self._note_answer(cookie, target, packet, known, now)
            elif is_repeat(packet, known, now):
                known.repeats += 1
                again = known.repeats > 1
                self._failure_detector.note_repeat(
                    cookie, target, packet, again, now
                )
        closing = bool(packet.flags & (pkt.FIN | pkt.RST))
        self._note_end(packet, known, closing)
        flow = self._flows.note_packet(
            packet.flow, packet, cookie, closing, now
        )
        if known is not None and flow.waiting_since == now:
            self._request_watch.note_request(packet.flow, now)
            self._failure_detector.note_request(now)

    def note_overdue(self, now):
        """Record the requests that have waited too long as failed."""
        for key, since in self._request_watch.pop_due(now):
            flow = self._flows.find(key)
            if flow is None or flow.closed or flow.waiting_since != since:
                continue
            self._note_failure(flow)

    def _note_answer(self, cookie, target, packet, known, now):
        # A packet without data is sent as soon as an answer arrives.  One
        # with data is a new request and may acknowledge an answer of long
        # ago: it only proves that the last request was answered.
        answered_at = known.waiting_since if packet.size else now
        if known.waiting_since and not packet.size:
            waited_s = now - known.waiting_since
            self.answers.add(waited_s)
            known.answered_at, known.waited_s = now, waited_s
            known.prompt = self._request_watch.note_answer(
                packet.flow, waited_s
            )
        self._failure_detector.note_answer(
            cookie, target, answered_at, known.opened_at, now
        )

    def _note_end(self, packet, known, closing):
        """Record the outcome of a flow's last request, if it has ended.

        A caller that closes while it waits has given up on the request.
        """
        if known is None or known.closed or known.request_ack is None:
            return
        if not closing and not is_next_request(packet, known):
            return
        size = (packet.ack - known.request_ack) & pkt.SEQUENCE_MASK
        if size and known.waited_s is not None:
            self._on_answer(packet.flow, known, size)
        if not size or self._request_watch.note_size(packet.flow, size):
            self._note_failure(known)
        elif known.prompt is not None:
            kind = 'prompt' if known.prompt else 'slow'
            self._failure_detector.note_outcome(known.cookie, kind)

    def _note_failure(self, flow):
        """Record that a flow's last request failed, once per request.

        If the caller gives the same request up seconds later, this must not
        count again: the target may serve again by then.
        """
        if not flow.failed:
            flow.failed = True
            self._failure_detector.note_outcome(flow.cookie, 'failed')


def is_next_request(packet, known):
    """Return whether a packet starts a new request on its flow.

    Data that arrives before any answer belongs to the same request.  Taken
    for a new request, it would make the first one look unanswered.

    :param known: the flow as recorded here.
    """
    if not packet.size or known.next_seq == packet.seq + packet.size:
        return False
    return not known.waiting_since or known.last_ack != packet.ack
