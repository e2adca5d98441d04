"""Adaptive limit of the requests that one entry instance sends to a target.

Load pattern: six entry instances share a target's two or three slots and
know nothing of each other.  If each may use all slots, twelve requests
compete for two slots and wait in the target's queue, which does not share
slots fairly among callers.  If each may use a sixth, slots stay idle when
only one instance has requests.  So the limit adapts: it rises while the
target has room, and falls when the target sheds load or queues requests.
"""

_MIN_LIMIT = 1.0
"""Requests."""

_INCREASE_ON_OK = 0.1
_INCREASE_ON_FREE_SLOT = 0.5
_FACTOR_ON_SHED = 0.5
_FACTOR_ON_QUEUE = 0.95


class SlotLimit:
    """A limit between one and the target's number of slots.

    :param slots: of the target.
    """

    def __init__(self, slots):
        """Start at all slots, so that a single busy instance can use them."""
        self._slots = max(1, slots)
        self._value = float(self._slots)

    def read(self):
        """Return the limit, a whole number of requests."""
        return int(self._value)

    def resize(self, slots):
        """Change the number of slots."""
        self._slots = max(1, slots)
        self._set(self._value)

    def note_ok(self):
        """Raise the limit a little after a successful request."""
        self._set(self._value + _INCREASE_ON_OK)

    def note_shed(self):
        """Lower the limit after the target refused a request for load."""
        self._set(self._value * _FACTOR_ON_SHED)

    def note_report(self, in_flight, waiting):
        """Adapt the limit to a load report of the target."""
        if waiting > 0:
            self._set(self._value * _FACTOR_ON_QUEUE)
        elif in_flight < self._slots:
            self._set(self._value + _INCREASE_ON_FREE_SLOT)

    def _set(self, value):
        self._value = min(max(value, _MIN_LIMIT), float(self._slots))
