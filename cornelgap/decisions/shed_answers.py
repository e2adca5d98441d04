"""Recognizes the answers of targets that shed a request, by size and time.

Load pattern: a full target answers "not run" within one round trip and in a
few bytes, while it serves other requests late.  Instances only forward
packets and don't read answers, but the caller's next acknowledgement shows
the size and time of an answer.  During an overload most answers may be shed
ones.  If they counted for the usual size, they would become the usual
answers, and everything would be admitted when the overload is worst.
"""

from collections import deque

MAX_KEPT = 64
"""Recent answers of a route that define its usual size and wait."""

MIN_KEPT = 16
"""Answers of a route before any of its answers is considered short."""

UPDATE_INTERVAL = 8
"""Kept answers between two updates of the usual size and wait."""

LARGE_QUANTILE = 0.9
"""Quantile of the kept sizes that is taken as the large size.  It remains the
size of a regular answer while up to nine of ten kept answers are shed ones."""

SHORT_DIVISOR = 8
"""An answer is short if it is smaller than the large size divided by this.
Regular answers of one kind differ by a factor of two or three from their
mean."""

BODILESS_BYTES = 400
"""Size up to which an answer may be a status and a few fields."""

BODILESS_DIVISOR = 4
"""Divisor for such answers instead of :data:`SHORT_DIVISOR`, as regular
answers may be little longer."""

SHORT_KEEP_INTERVAL = 16
"""One of this many short answers is kept.  If the answers of a route become
short permanently, they are the usual ones after about a thousand."""


class ShedAnswerDetector:
    """Usual size and wait of one route's answers."""

    def __init__(self):
        """Start without any answer."""
        self._sizes = deque(maxlen=MAX_KEPT)
        self._waits = deque(maxlen=MAX_KEPT)
        self._short_count = 0
        self._kept_since_update = 0
        self._large_size = 0
        self._median_wait_s = 0

    def note_answer(self, size, waited_s):
        """Record an answer.

        :param size: bytes.
        :param waited_s: seconds for which its caller waited.
        :returns: whether it is short and quick, as a shed answer is.
        """
        quick = waited_s <= self._median_wait_s
        return self._note_size(size, waited_s) and quick

    def _note_size(self, size, waited_s):
        short = self._is_short(size)
        if short:
            self._short_count += 1
        if not short or self._short_count % SHORT_KEEP_INTERVAL == 0:
            self._keep(size, waited_s)
        return short

    def _is_short(self, size):
        if len(self._sizes) < MIN_KEPT:
            return False
        bodiless = size <= BODILESS_BYTES
        divisor = BODILESS_DIVISOR if bodiless else SHORT_DIVISOR
        return size * divisor < self._large_size

    def _keep(self, size, waited_s):
        self._sizes.append(size)
        self._waits.append(waited_s)
        self._kept_since_update += 1
        if self._kept_since_update == UPDATE_INTERVAL:
            self._kept_since_update = 0
            self._update_usual()

    def _update_usual(self):
        self._large_size = sorted(self._sizes)[
            int(LARGE_QUANTILE * len(self._sizes))
        ]
        regular_waits = [
            wait
            for size, wait in zip(self._sizes, self._waits, strict=True)
            if size * SHORT_DIVISOR >= self._large_size
        ]
        self._median_wait_s = sorted(regular_waits)[len(regular_waits) // 2]
