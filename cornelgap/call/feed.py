"""State of one feed of a caller: in order, exactly once, resumable."""

from dataclasses import dataclass, field

from cornelgap.call.timing import pick_delay
from cornelgap.core import messages as msg

ACK_EVENTS = 8
"""Events after which an ACK goes out at once."""

GAP_S = 0.05
"""How long an event may be late before it is asked for again."""

KEEP_ALIVE_S = 0.8
"""Between two ACKs on a quiet feed.  An ACK that no home answers is how a
dead home is found, so the protocol asks for one at least every second."""

SILENCE_S = 3.0
"""Without event or progress this long, the feed is subscribed anew: the
home may live and have lost just this feed."""


@dataclass(slots=True)
class Feed:
    """One feed.

    :param position: next position wanted.
    :param number: 0 until subscribed in the flow's id space.
    :param held: later events that wait for the missing ones.
    """

    handle: int
    topic: bytes
    credit: int
    due: float
    position: int = 0
    number: int = 0
    known: bool = False
    attempts: int = 0
    resumes: int = 0
    unacked: int = 0
    heard: float = 0
    held: dict = field(default_factory=dict)

    def build_due(self, now, service, token, rng):
        """Build what is due now and set the next time."""
        if self.known:
            self.due = now + pick_delay(rng, KEEP_ALIVE_S) * 0.8
            return self.build_ack(service, token, late=True)
        self.due = now + pick_delay(rng, attempt=self.attempts)
        self.attempts += 1
        return msg.Subscribe(
            service=service,
            token=token,
            number=self.number,
            position=self.position,
            payload=self.topic,
            credit=self.credit,
        )

    def build_ack(self, service, token, late=False):
        """Build the ACK for what has come so far."""
        self.unacked = 0
        missing = []
        if late and self.held:
            highest = max(self.held)
            missing = [
                position
                for position in range(self.position, highest)
                if position not in self.held
            ]
        return msg.Ack(
            service=service,
            token=token,
            number=self.number,
            position=self.position,
            missing=missing[:64],
            credit=self.credit,
        )

    def add_event(self, now, position, payload):
        """Add an event.

        :returns: events that are now in order, as (position, payload).
        """
        self.note_life(now)
        if position < self.position or position in self.held:
            return []
        if position > self.position + self.credit:
            return []
        self.held[position] = payload
        ready = []
        while self.position in self.held:
            ready.append((self.position, self.held.pop(self.position)))
            self.position += 1
        self.unacked += len(ready)
        if self.held:
            self.due = min(self.due, now + GAP_S)
        return ready

    def note_life(self, now):
        """Note that the home follows the feed."""
        self.heard = now
        if not self.known:
            self.known = True
            self.attempts = 0
            self.due = now + KEEP_ALIVE_S

    def is_silent(self, now):
        """Say whether a followed feed has been silent for too long."""
        return self.known and now - self.heard > SILENCE_S

    def restart(self, due):
        """Subscribe anew at the next position under a new number."""
        self.number = 0
        self.known = False
        self.unacked = 0
        self.held.clear()
        self.due = due
