"""The jobs of one target at one home: two queues, a limit, a forecast.

Load pattern: downloads of seconds among refinements of a few hundredths.
In one queue the short ones wait for the long ones; here each kind has its
queue, and long jobs may only hold their share of the slots.
"""

import heapq
import itertools

from cornelgap.decisions.averages import Average
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.fairqueue import FairQueue
from cornelgap.decisions.limits import SlotLimit
from cornelgap.decisions.pauses import Pause

_SAMPLE_SHARE = 0.1
_GAP_SHARE = 0.1
_WAIT_MARGIN = 1.2
"""A forecast is a mean: a fifth more keeps late answers rare."""

_NEED_FACTOR = 2.0
"""Twice the mean covers nine of ten requests; a job started with less left
would hold a slot for an answer that comes too late."""

_REPORT_LIFE_S = 10.0
"""With few requests a report may be this old and still be the last one."""

_RECHECK_S = 0.1

_HOLD_SHARE = 0.5
"""Share of its own time that a long job waits for others' long jobs."""

_MAX_NEED_SHARE = 0.5
"""A job is taken to need half of its own time at most: after a slow phase
the estimate is too high, and only running jobs can correct it."""


class _Kind:
    """Short or long jobs of a lane."""

    def __init__(self):
        self.queue = FairQueue()
        self.running = {}
        self.took = Average(_SAMPLE_SHARE)
        self.gap = Average(_GAP_SHARE)
        self.busy_since = None

    def predict_gap(self, limit):
        """Return the expected seconds between two ends."""
        return self.gap.read(self.took.read(0) / limit)


class Lane:
    """Waiting and running jobs of one target.

    :param slots: of the target.
    :param long_share: share of the slots that long jobs may hold.
    :param rng: generator.
    """

    def __init__(self, slots, long_share, rng):
        """Start empty."""
        self._limit = SlotLimit(slots)
        self._pause = Pause(rng)
        self._short = _Kind()
        self._long = _Kind()
        self._jobs = {}
        # Latest starts of waiting jobs, earliest first; jobs that have left
        # the queue stay until they come up, as finding them costs more.
        self._expiries = []
        self._ties = itertools.count()
        self._others = 0
        self._reported_at = float('-inf')
        self.resize(slots, long_share)

    @property
    def waiting(self):
        """Return how many jobs wait."""
        return len(self._short.queue) + len(self._long.queue)

    @property
    def running(self):
        """Return how many jobs run."""
        return len(self._short.running) + len(self._long.running)

    def resize(self, slots, long_share):
        """Take over the figures of a newer configuration."""
        self._limit.resize(slots)
        self._long_limit = max(1, int(slots * long_share))

    def can_end_in_time(self, now, job):
        """Forecast whether a job offered now would end by its deadline."""
        kind = self._kind_of(job)
        if not kind.queue and not kind.running:
            return now < job.deadline
        gap = kind.predict_gap(self._limit_of(kind))
        ahead = kind.queue.count_ahead(job.caller)
        wait = gap * (ahead + 1) * _WAIT_MARGIN
        return now + wait + self._need(job) <= job.deadline

    def push(self, job):
        """Let a job wait."""
        self._kind_of(job).queue.push(job)
        self._jobs[job.key] = job
        entry = (self._latest_start(job), next(self._ties), job)
        heapq.heappush(self._expiries, entry)

    def remove(self, job):
        """Take out a waiting job."""
        self._kind_of(job).queue.remove(job)
        self._jobs.pop(job.key)

    def find_newest_of_longest(self):
        """Return the newest waiting job of the caller with the most."""
        kind = max((self._short, self._long), key=lambda one: len(one.queue))
        return kind.queue.find_newest_of_longest()

    def finish(self, now, key, ended, took_s):
        """Free the slot of a job and learn from its end."""
        job = self._jobs.pop(key)
        kind = self._kind_of(job)
        if kind.running.pop(key, None) is None:
            # Its end came twice, or late, after it was offered again; it
            # must leave the queue, but it says nothing about the target.
            kind.queue.remove(job)
            return
        if ended is CallEnd.SHED:
            self._limit.note_shed()
            self._pause.note_shed(now, self._short.took.read(0))
            return
        if ended in _TELLING_ENDS:
            kind.took.add(took_s)
        if ended is CallEnd.OK:
            self._limit.note_ok()
            self._pause.note_ok(now, self._short.took.read(0))
        self._note_gap(now, kind)

    def note_report(self, now, in_flight, waiting):
        """Take in the load of the target, all entries' together."""
        self._others = max(0, in_flight + waiting - self.running)
        self._reported_at = now
        self._limit.note_report(in_flight, waiting)
        self._pause.note_report(waiting)

    def cancel(self, now, key):
        """Forget a waiting or running job."""
        job = self._jobs[key]
        kind = self._kind_of(job)
        if kind.running.pop(key, None) is None:
            kind.queue.remove(job)
        self._jobs.pop(key)

    def take_hopeless(self, now):
        """Take out the waiting jobs that can no longer end in time."""
        late = []
        while self._expiries and self._expiries[0][0] < now:
            job = heapq.heappop(self._expiries)[-1]
            if self._waits(job):
                self.remove(job)
                late.append(job)
        return late

    def take_startable(self, now):
        """Take out the waiting jobs that may be sent now, in order."""
        started = []
        for kind in (self._short, self._long):
            limit = self._limit_of(kind)
            while kind.queue and len(kind.running) < limit:
                if self._pause.is_active(now):
                    break
                if kind is self._long and self._holds_long(now):
                    break
                started.append(self._start(now, kind))
        return started

    def next_wake(self, now):
        """Return when something changes without an event, seconds."""
        while self._expiries and not self._waits(self._expiries[0][-1]):
            heapq.heappop(self._expiries)
        if not self._expiries:
            return None
        wake = self._expiries[0][0]
        if self._long.queue:
            wake = min(wake, max(now + _RECHECK_S, self._read_hold_end()))
        if self._pause.is_active(now):
            wake = min(wake, self._pause.until)
        return max(now, wake)

    def predict_drain(self):
        """Return the expected seconds until the queues are empty."""
        return sum(
            kind.predict_gap(self._limit_of(kind)) * (len(kind.queue) + 1)
            for kind in (self._short, self._long)
            if kind.queue or kind.running
        )

    def _waits(self, job):
        known = self._jobs.get(job.key) is job
        return known and job.key not in self._kind_of(job).running

    def _kind_of(self, job):
        return self._long if job.long_job else self._short

    def _limit_of(self, kind):
        return self._long_limit if kind is self._long else self._limit.read()

    def _need(self, job):
        took = _NEED_FACTOR * self._kind_of(job).took.read(0)
        return min(took, _MAX_NEED_SHARE * (job.deadline - job.arrived))

    def _latest_start(self, job):
        return job.deadline - self._need(job)

    def _holds_long(self, now):
        # Six entries, each within its own limit, could fill all slots with
        # long jobs.  What others have at the target may be one: wait for a
        # report that shows room, but not for ever.
        if now - self._reported_at > _REPORT_LIFE_S:
            return False
        if self._others + len(self._long.running) < self._long_limit:
            return False
        return now < self._read_hold_end()

    def _read_hold_end(self):
        return min(
            job.arrived + _HOLD_SHARE * (job.deadline - job.arrived)
            for job in self._long.queue.list_jobs()
        )

    def _start(self, now, kind):
        job = kind.queue.pop()
        kind.running[job.key] = now
        if kind.busy_since is None:
            kind.busy_since = now
        return job

    def _note_gap(self, now, kind):
        if kind.busy_since is not None:
            kind.gap.add(now - kind.busy_since)
        # Gaps only count while jobs wait: an idle time is no forecast.
        kind.busy_since = now if kind.queue else None


_TELLING_ENDS = frozenset((CallEnd.OK, CallEnd.TIMEOUT))
