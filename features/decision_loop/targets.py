"""A target: slots, a short queue, and the faults that targets have."""

from collections import deque
from dataclasses import dataclass

from cornelgap.decisions.ends import CallEnd

FAIL_AFTER_S = 0.002
WARM_AFTER_REQS = 60
COLD_FACTOR = 5.0


@dataclass(slots=True, eq=False)
class Call:
    """One call at a target.

    :param done: called with (call, end) when it ends.
    """

    req: object
    work_s: float
    done: object
    deadline: float | None = None
    dropped: bool = False
    running: bool = False


class Target:
    """Slots and a FIFO queue; sheds what finds neither."""

    def __init__(self, loop, name, slots, queue):
        self.loop = loop
        self.name = name
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.calls = set()
        self.waiting = deque()
        self.busy_s = 0.0
        self.started = 0
        self.factor = 1.0
        self.cold_left = 0
        self.fails = False
        self.gone = False
        self.draining = False
        self.lie = None

    def offer(self, call):
        """Take in a call."""
        if self.gone:
            self.loop.after(FAIL_AFTER_S, call.done, call, CallEnd.FAILED)
        elif self.fails:
            self.started += 1
            self.loop.after(FAIL_AFTER_S, call.done, call, CallEnd.FAILED)
        elif self.running < self.slots:
            self._start(call)
        elif len(self.waiting) < self.queue:
            self.waiting.append(call)
        else:
            call.done(call, CallEnd.SHED)

    def drop(self, call):
        """Cancel a call: a waiting one leaves, a running one stops."""
        call.dropped = True
        if call in self.waiting:
            self.waiting.remove(call)
        elif call.running:
            call.running = False
            self.calls.discard(call)
            self._free()

    def vanish(self):
        """Go away; whatever runs or waits is lost."""
        self.gone = True
        for call in (*self.calls, *self.waiting):
            call.running = False
            call.done(call, CallEnd.FAILED)
        self.calls.clear()
        self.waiting.clear()

    def read_load(self):
        """Return (in flight, waiting) as the target claims it."""
        if self.lie is not None:
            return self.lie
        return self.running, len(self.waiting)

    def _start(self, call):
        self.running += 1
        self.started += 1
        call.running = True
        self.calls.add(call)
        took = call.work_s * self.factor
        if self.cold_left:
            self.cold_left -= 1
            took *= COLD_FACTOR
        self.loop.after(took, self._end, call, took)

    def _end(self, call, took):
        if not call.running:
            return
        call.running = False
        self.calls.discard(call)
        self.busy_s += took
        # The load that comes with an answer still counts its own request.
        call.done(call, CallEnd.OK)
        self._free()

    def _free(self):
        self.running -= 1
        while self.waiting and self.running < self.slots:
            call = self.waiting.popleft()
            late = call.deadline is not None and self.loop.now > call.deadline
            if not late:
                self._start(call)
