"""How many requests one entry keeps at one target at the same time.

Load pattern: six entries share a target's two or three slots and do not
know of each other.  With a fixed limit of all slots each, twelve requests
meet two slots and wait where nobody is fair to callers; with a sixth each,
slots idle when one entry alone has work.  So the limit adapts: up while
there is room, down when the target sheds or queues.
"""

_FLOOR = 1.0
_UP_ON_OK = 0.1
_UP_ON_ROOM = 0.5
_DOWN_ON_SHED = 0.5
_DOWN_ON_QUEUE = 0.95


class SlotLimit:
    """A limit between one and the target's slots.

    :param slots: of the target.
    """

    def __init__(self, slots):
        """Start at all slots: an entry that has work alone loses none."""
        self._slots = max(1, slots)
        self._value = float(self._slots)

    def read(self):
        """Return the limit, a whole number of requests."""
        return int(self._value)

    def resize(self, slots):
        """Take over another number of slots."""
        self._slots = max(1, slots)
        self._set(self._value)

    def note_ok(self):
        """Rise a little: a request found a slot and ended well."""
        self._set(self._value + _UP_ON_OK)

    def note_shed(self):
        """Fall: the target had no room for what was sent."""
        self._set(self._value * _DOWN_ON_SHED)

    def note_report(self, in_flight, waiting):
        """Follow what the target says about its own room."""
        if waiting > 0:
            self._set(self._value * _DOWN_ON_QUEUE)
        elif in_flight < self._slots:
            self._set(self._value + _UP_ON_ROOM)

    def _set(self, value):
        self._value = min(max(value, _FLOOR), float(self._slots))
