"""Whether an answer is the one of a target that had no room.

Load pattern: a full target answers "not run" within a round trip and in few
bytes, while it serves others late.  Instances forward packets only and read
no answer; its size and time show in the caller's next acknowledgement.
During an overload most answers may be such ones, and a mean of all would
take them for usual: the gate would open when the overload is worst.
"""

from collections import deque

KEPT = 64
"""Answers of a route that tell what is usual there."""

LEAST = 16
"""Answers of a route before which none is taken for a shed."""

JUDGED = 8
"""Kept answers after which the usual ones are computed anew."""

LARGE = 0.9
"""Part of the kept answers that are no larger than the usual large one.  It
stays the one of whole answers while nine of ten kept ones are sheds."""

SHORT_PART = 8
"""An answer of less than one part of so many of a large one is short.  Whole
answers of one kind differ by a factor of two or three from their mean."""

BODILESS_BYTES = 400
"""An answer of no more bytes may be a status and a few fields."""

BODILESS_PART = 4
"""The same for such an answer; whole ones may be little longer."""

KEPT_SHORT = 16
"""One of so many short answers is kept: a route whose answers have become
short for good is learnt after a thousand of them."""


class ShedAnswers:
    """What is usual on one route."""

    def __init__(self):
        """Know no answer."""
        self._sizes = deque(maxlen=KEPT)
        self._waits = deque(maxlen=KEPT)
        self._shorts = 0
        self._new = 0
        self._large = 0
        self._wait_s = 0

    def note_answer(self, size, waited_s):
        """Note an answer.

        :param size: bytes.
        :param waited_s: seconds for which its caller waited.
        :returns: whether it is short and quick, as a shed is.
        """
        quick = waited_s <= self._wait_s
        return self._note_size(size, waited_s) and quick

    def _note_size(self, size, waited_s):
        short = self._is_short(size)
        if short:
            self._shorts += 1
        if not short or self._shorts % KEPT_SHORT == 0:
            self._keep(size, waited_s)
        return short

    def _is_short(self, size):
        if len(self._sizes) < LEAST:
            return False
        bodiless = size <= BODILESS_BYTES
        part = BODILESS_PART if bodiless else SHORT_PART
        return size * part < self._large

    def _keep(self, size, waited_s):
        self._sizes.append(size)
        self._waits.append(waited_s)
        self._new += 1
        if self._new == JUDGED:
            self._new = 0
            self._judge()

    def _judge(self):
        self._large = sorted(self._sizes)[int(LARGE * len(self._sizes))]
        large = [
            wait
            for one, wait in zip(self._sizes, self._waits, strict=True)
            if one * SHORT_PART >= self._large
        ]
        self._wait_s = sorted(large)[len(large) // 2]
