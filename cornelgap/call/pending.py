"""State of one request of a caller, and when to send what for it."""

from dataclasses import dataclass, field

from cornelgap.call.answer import Answer
from cornelgap.call.timing import pick_delay
from cornelgap.core import messages as msg

ACK_CHUNKS = 8
"""Chunks after which an ACK goes out at once, a small part of the credit, so
that the home never waits for credit on a path without loss."""

QUERY_S = 0.5
"""Between two questions about a request that the home knows."""

GAP_S = 0.015
"""Silence after which a known gap is named again, about two round trips of
the farthest caller; the home has sent the chunk again within one."""

STALL_S = 0.045
"""Silence inside an answer after which missing chunks count as lost: a bit
more than the 40 ms within which a home sends no chunk a second time."""


@dataclass(slots=True)
class Pending:
    """One request that has no end yet.

    :param number: 0 until it is first sent in the flow's id space.
    :param known: the home has shown that it knows the id.
    :param due: when something must be sent next.
    """

    handle: int
    payload: bytes
    idempotent: bool
    deadline: float
    long_job: bool
    credit: int
    due: float
    number: int = 0
    known: bool = False
    attempts: int = 0
    resends: int = 0
    unacked: int = 0
    stalls: int = 0
    answer: Answer = field(default_factory=Answer)

    def is_streaming(self):
        """Say whether some of the answer has come."""
        return self.answer.highest >= 0

    def build_due(self, now, service, token, rng):
        """Build what is due now and set the next time."""
        if self.is_streaming():
            self.stalls += 1
            delay = self._pick_stall() * 2 ** min(self.stalls - 1, 5)
            delay = min(delay, QUERY_S)
            self.due = now + pick_delay(rng, delay)
            return self.build_ack(service, token, silent=True)
        if self.known:
            self.due = now + pick_delay(rng, QUERY_S)
            return msg.OutcomeQuery(service, token, self.number)
        if self.attempts:
            self.resends += 1
        self.due = now + pick_delay(rng, attempt=self.attempts)
        self.attempts += 1
        return msg.Request(
            service=service,
            token=token,
            number=self.number,
            payload=self.payload,
            idempotent=self.idempotent,
            # The home counts from the arrival, so each copy states what is
            # left; 0 would mean that no deadline was given.
            deadline_ms=max(1, int((self.deadline - now) * 1000)),
            long_job=self.long_job,
            credit=self.credit,
        )

    def build_ack(self, service, token, silent=False):
        """Build the ACK for what has come so far."""
        self.unacked = 0
        return msg.Ack(
            service=service,
            token=token,
            number=self.number,
            position=self.answer.position,
            missing=self.answer.list_missing(silent),
            credit=self.credit,
        )

    def add_chunk(self, now, chunk):
        """Add a chunk and say whether an ACK should go out at once."""
        self.known = True
        added = self.answer.add_chunk(
            chunk.position, chunk.payload, chunk.last, self.credit
        )
        if not added:
            return False
        self.stalls = 0
        self.unacked += 1
        self.due = now + self._pick_stall()
        return self.answer.is_whole() or self.unacked >= ACK_CHUNKS

    def _pick_stall(self):
        return GAP_S if self.answer.has_gap() else STALL_S

    def note_progress(self, now, retry_after_ms):
        """Note that the home knows the request."""
        self.known = True
        if not self.is_streaming():
            self.due = now + max(QUERY_S, retry_after_ms / 1000)

    def note_refusal(self, now, retry_after_ms, rng):
        """Note that nothing changed and the same id may be sent again."""
        self.known = False
        wait = retry_after_ms / 1000
        self.due = now + max(wait, pick_delay(rng, attempt=self.attempts))

    def restart(self, now):
        """Forget the id; the next send takes a new one."""
        self.number = 0
        self.known = False
        self.attempts = 0
        # Chunks of two runs must never be mixed into one answer.
        self.answer = Answer()
        self.unacked = 0
        self.due = now
