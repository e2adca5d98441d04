"""Reassembly of one answer from chunks in any order.

An answer is whole only when every position up to the last is there.  A
doubled chunk changes nothing, and what is missing can be named so that the
home sends just that again.
"""

from dataclasses import dataclass, field

REORDER_SPAN = 3
"""A position counts as lost, rather than late, when chunks this far above
it have come.  TCP uses three duplicate acknowledgements for the same
reason: asking at the first gap would double each reordered chunk."""

TAIL_SPAN = 8
"""Positions above the highest one to ask for after a silence: a lost tail
leaves no gap behind that would show it."""


@dataclass(slots=True)
class Answer:
    """Chunks of one answer.

    :param position: first position not yet received.
    :param highest: highest position received, -1 if none.
    :param last: last position, -1 while unknown.
    """

    chunks: dict = field(default_factory=dict)
    position: int = 0
    highest: int = -1
    last: int = -1

    def add_chunk(self, position, payload, last, credit):
        """Add a chunk and say whether it was new.

        A position outside the credit that was granted is dropped, so that
        a broken or forged sender cannot fill the memory.
        """
        if position in self.chunks or position > self.position + credit:
            return False
        if last:
            self.last = position
        self.chunks[position] = payload
        self.highest = max(self.highest, position)
        while self.position in self.chunks:
            self.position += 1
        return True

    def is_whole(self):
        """Say whether every chunk is there."""
        return 0 <= self.last < self.position

    def has_gap(self):
        """Say whether a chunk is missing below the highest one."""
        return self.position <= self.highest

    def join_chunks(self):
        """Join a whole answer."""
        return b''.join(
            self.chunks[position] for position in range(self.last + 1)
        )

    def list_missing(self, silent, limit=64):
        """List positions that should be sent again.

        :param silent: nothing came for a while, so that late ones count as
            lost and the tail may be lost too.
        """
        end = self.highest + 1 if silent else self.highest - REORDER_SPAN + 1
        missing = [
            position
            for position in range(self.position, end)
            if position not in self.chunks
        ]
        if silent:
            missing += self._list_tail()
        return missing[:limit]

    def _list_tail(self):
        first = max(self.highest + 1, self.position)
        tail = range(first, first + TAIL_SPAN)
        if self.last < 0:
            return list(tail)
        return [position for position in tail if position <= self.last]
