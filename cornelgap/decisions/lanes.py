"""Waiting and running jobs of one target at one home instance.

Load pattern: downloads that take seconds among refinements that take a few
hundredths of a second.  In one queue the short jobs would wait for the long
ones.  So each class of jobs has its own queue, and long jobs may only use
their share of the slots.  A job is queued only if it is predicted to end by
its deadline.
"""

import heapq
import itertools

from cornelgap.decisions.averages import Average
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.fairqueue import FairQueue
from cornelgap.decisions.limits import SlotLimit
from cornelgap.decisions.pauses import Pause

_DURATION_WEIGHT = 0.1
_INTERVAL_WEIGHT = 0.1

_WAIT_FACTOR = 1.2
"""Factor on the predicted wait, which is a mean: a fifth more keeps late
answers rare."""

_DURATION_FACTOR = 2.0
"""Factor on the mean duration; twice the mean covers nine of ten requests.  A
job that starts with less time left would use a slot for an answer that comes
too late."""

_REPORT_MAX_AGE_S = 10.0
"""Age up to which a load report counts; with few requests the last report may
be this old."""

_RECHECK_S = 0.1
"""Interval at which delayed long jobs are checked again."""

_LONG_DELAY_SHARE = 0.5
"""Share of the time between its arrival and its deadline for which a long job
waits while other entry instances' long jobs may use the slots."""

_MAX_ESTIMATE_SHARE = 0.5
"""Upper limit of an estimated duration, as a share of the time between a
job's arrival and its deadline.  After a slow phase the estimate is too high,
and only jobs that run can correct it."""


class _JobClass:
    """The short or the long jobs of a lane.

    :ivar running: start time by key of each running job.
    :ivar end_intervals: mean seconds between two ends while jobs wait.
    """

    def __init__(self):
        self.queue = FairQueue()
        self.running = {}
        self.durations = Average(_DURATION_WEIGHT)
        self.end_intervals = Average(_INTERVAL_WEIGHT)
        self.interval_began_at = None

    def predict_interval(self, limit):
        """Return the expected seconds between the ends of two jobs."""
        return self.end_intervals.read(self.durations.read(0) / limit)


class Lane:
    """Waiting and running jobs of one target.

    :param slots: of the target.
    :param long_share: share of the slots that long jobs may use, 0 to 1.
    :param rng: random number generator for jitter.
    """

    def __init__(self, slots, long_share, rng):
        """Start empty."""
        self._limit = SlotLimit(slots)
        self._pause = Pause(rng)
        self._short = _JobClass()
        self._long = _JobClass()
        self._jobs = {}
        # Heap of the latest start times of waiting jobs.  The entry of a job
        # that has left its queue stays until it reaches the top, since a
        # search for it would cost more.
        self._latest_starts = []
        self._sequence = itertools.count()
        self._other_requests = 0
        self._reported_at = float('-inf')
        self.resize(slots, long_share)

    @property
    def waiting(self):
        """Return the number of waiting jobs."""
        return len(self._short.queue) + len(self._long.queue)

    @property
    def running(self):
        """Return the number of running jobs."""
        return len(self._short.running) + len(self._long.running)

    def resize(self, slots, long_share):
        """Apply the limits of a newer configuration."""
        self._limit.resize(slots)
        self._long_limit = max(1, int(slots * long_share))

    def can_end_in_time(self, now, job):
        """Predict whether a job queued now would end by its deadline."""
        job_class = self._get_class(job)
        if not job_class.queue and not job_class.running:
            return now < job.deadline
        interval_s = job_class.predict_interval(self._get_limit(job_class))
        ahead = job_class.queue.count_ahead(job.caller)
        wait_s = interval_s * (ahead + 1) * _WAIT_FACTOR
        return now + wait_s + self._estimate_duration(job) <= job.deadline

    def push(self, job):
        """Add a job to its queue."""
        self._get_class(job).queue.push(job)
        self._jobs[job.key] = job
        entry = (self._compute_latest_start(job), next(self._sequence), job)
        heapq.heappush(self._latest_starts, entry)

    def remove(self, job):
        """Remove a waiting job."""
        self._get_class(job).queue.remove(job)
        self._jobs.pop(job.key)

    def find_newest_of_longest(self):
        """Return the last job of the caller with the most waiting jobs.

        Only the longer one of the two queues is searched.
        """
        job_class = max(
            (self._short, self._long), key=lambda one: len(one.queue)
        )
        return job_class.queue.find_newest_of_longest()

    def finish(self, now, key, ended, took_s):
        """Free the slot of a job and update the estimates from its end."""
        job = self._jobs.pop(key)
        job_class = self._get_class(job)
        if job_class.running.pop(key, None) is None:
            # The end was reported twice, or after the job was offered again.
            # The job must leave the queue, but the estimates don't change.
            job_class.queue.remove(job)
            return
        if ended is CallEnd.SHED:
            self._limit.note_shed()
            self._pause.note_shed(now, self._short.durations.read(0))
            return
        if ended in _TIMED_ENDS:
            job_class.durations.add(took_s)
        if ended is CallEnd.OK:
            self._limit.note_ok()
            self._pause.note_ok(now, self._short.durations.read(0))
        self._note_end(now, job_class)

    def note_report(self, now, in_flight, waiting):
        """Record the load of the target from all entry instances."""
        self._other_requests = max(0, in_flight + waiting - self.running)
        self._reported_at = now
        self._limit.note_report(in_flight, waiting)
        self._pause.note_report(waiting)

    def cancel(self, now, key):
        """Remove a waiting or running job."""
        job = self._jobs[key]
        job_class = self._get_class(job)
        if job_class.running.pop(key, None) is None:
            job_class.queue.remove(job)
        self._jobs.pop(key)

    def remove_expired(self, now):
        """Remove and return the waiting jobs that can't end in time."""
        expired = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            job = heapq.heappop(self._latest_starts)[-1]
            if self._is_waiting(job):
                self.remove(job)
                expired.append(job)
        return expired

    def start_ready(self, now):
        """Start and return the waiting jobs that may be sent now, in order."""
        started = []
        for job_class in (self._short, self._long):
            limit = self._get_limit(job_class)
            while job_class.queue and len(job_class.running) < limit:
                if self._pause.is_active(now):
                    break
                if job_class is self._long and self._must_delay_long_jobs(now):
                    break
                started.append(self._start(now, job_class))
        return started

    def next_wake(self, now):
        """Return when this lane must be checked again, seconds.

        :returns: None if no job waits.
        """
        while self._latest_starts and not self._is_waiting(
            self._latest_starts[0][-1]
        ):
            heapq.heappop(self._latest_starts)
        if not self._latest_starts:
            return None
        wake = self._latest_starts[0][0]
        if self._long.queue:
            wake = min(
                wake, max(now + _RECHECK_S, self._compute_long_delay_end())
            )
        if self._pause.is_active(now):
            wake = min(wake, self._pause.until)
        return max(now, wake)

    def predict_queue_time(self):
        """Return the expected seconds until the queues are empty."""
        return sum(
            job_class.predict_interval(self._get_limit(job_class))
            * (len(job_class.queue) + 1)
            for job_class in (self._short, self._long)
            if job_class.queue or job_class.running
        )

    def _is_waiting(self, job):
        known = self._jobs.get(job.key) is job
        return known and job.key not in self._get_class(job).running

    def _get_class(self, job):
        return self._long if job.long_job else self._short

    def _get_limit(self, job_class):
        return (
            self._long_limit if job_class is self._long else self._limit.read()
        )

    def _estimate_duration(self, job):
        estimate = _DURATION_FACTOR * self._get_class(job).durations.read(0)
        return min(estimate, _MAX_ESTIMATE_SHARE * (job.deadline - job.arrived))

    def _compute_latest_start(self, job):
        return job.deadline - self._estimate_duration(job)

    def _must_delay_long_jobs(self, now):
        # Six entry instances, each within its own limit, could fill all slots
        # with long jobs.  Any request of another instance may be a long one:
        # wait for a report that shows free slots, but for a limited time.
        if now - self._reported_at > _REPORT_MAX_AGE_S:
            return False
        if self._other_requests + len(self._long.running) < self._long_limit:
            return False
        return now < self._compute_long_delay_end()

    def _compute_long_delay_end(self):
        return min(
            job.arrived + _LONG_DELAY_SHARE * (job.deadline - job.arrived)
            for job in self._long.queue.list_jobs()
        )

    def _start(self, now, job_class):
        job = job_class.queue.pop()
        job_class.running[job.key] = now
        if job_class.interval_began_at is None:
            job_class.interval_began_at = now
        return job

    def _note_end(self, now, job_class):
        if job_class.interval_began_at is not None:
            job_class.end_intervals.add(now - job_class.interval_began_at)
        # Intervals count only while jobs wait: idle time predicts nothing.
        job_class.interval_began_at = now if job_class.queue else None


_TIMED_ENDS = frozenset((CallEnd.OK, CallEnd.TIMEOUT))
"""Ends that tell how long a job takes."""
