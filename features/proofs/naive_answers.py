"""Reassembly of answers and feeds beside naive ones that keep everything."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cornelgap.call.answer import Answer
from cornelgap.call.feed import Feed

CREDIT = 8


class AnswerMachine(RuleBasedStateMachine):
    """Chunks in any order, doubled, beside a naive dict of what came."""

    @initialize(count=st.integers(1, 30))
    def begin(self, count):
        """Choose an answer of some chunks."""
        self.whole = [b'%d.' % number for number in range(count)]
        self.answer = Answer()
        self.naive = {}

    @rule(position=st.integers(0, 29))
    def bring_chunk(self, position):
        """Bring any chunk, new or again."""
        position %= len(self.whole)
        last = position == len(self.whole) - 1
        self.answer.add_chunk(position, self.whole[position], last, CREDIT)
        self.naive[position] = self.whole[position]
        self.check_whole()

    @rule()
    def bring_missing(self):
        """Bring what the caller asks for after a silence."""
        for position in self.answer.list_missing(silent=True):
            if position < len(self.whole):
                self.bring_chunk(position)

    def check_whole(self):
        """Whole only if all came, and then byte for byte."""
        if self.answer.is_whole():
            assert len(self.naive) == len(self.whole)
            assert self.answer.join_chunks() == b''.join(self.whole)

    def teardown(self):
        """Asking for what is missing always ends in the whole answer."""
        if not hasattr(self, 'whole'):
            return
        for _ in range(len(self.whole) + 1):
            self.bring_missing()
        assert self.answer.is_whole()


class FeedMachine(RuleBasedStateMachine):
    """Events in any order, doubled, beside the naive sequence."""

    def __init__(self):
        """Begin at the first event."""
        super().__init__()
        self.feed = Feed(1, b'topic', CREDIT, 0.0)
        self.given = []

    @rule(ahead=st.integers(-4, CREDIT))
    def bring_event(self, ahead):
        """Bring an event near the next position."""
        position = max(0, len(self.given) + ahead)
        self.given += self.feed.add_event(0.0, position, b'%d' % position)
        naive = [(number, b'%d' % number) for number in range(len(self.given))]
        assert self.given == naive, 'a gap, a double or a wrong order'

    @rule()
    def subscribe_anew(self):
        """Resume after a re-home at the next position."""
        self.feed.restart(0.0)
        assert self.feed.position == len(self.given)
