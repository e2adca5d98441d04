"""Admission of requests to one service: start, queue or refuse.

Load pattern: more requests than slots, for a short burst or for hours.  With
an unbounded queue all answers are late: at 3 times the capacity the queue is
minutes long, each answer comes after its deadline, and all work is wasted.
So a request is queued only if it can still end by its deadline.  Any other is
refused at once with a time to retry after, so that slots are used only for
answers that arrive in time.
"""

from dataclasses import dataclass, field

from cornelgap.core.errors import Code
from cornelgap.decisions.lanes import Lane
from cornelgap.decisions.retry import pick_retry_after_ms

_MIN_RETRY_MS = 50
_MAX_RETRY_MS = 5000
_UNKNOWN_TARGET_SLOTS = 1


@dataclass(frozen=True, slots=True)
class Job:
    """One request that needs a slot of a target.

    :param key: its identity, any hashable value.
    :param caller: client account whose queue the request waits in.
    :param target: the target its flow is pinned to.
    :param long_job: whether it is a download or another long request.
    :param deadline: seconds on the clock of ``now``.
    :param arrived: seconds on the same clock.
    """

    key: object
    caller: str
    target: str
    long_job: bool
    deadline: float
    arrived: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that was refused without being started.

    :param job: the job.
    :param code: reason of the refusal.
    :param retry_after_ms: when to retry, milliseconds from now.
    """

    job: Job
    code: Code
    retry_after_ms: int


@dataclass(slots=True)
class Step:
    """Actions that the home instance must take now.

    :param start: each :class:`Job` to send to its target.
    :param refuse: each :class:`Refusal` to answer its caller with.
    """

    start: list = field(default_factory=list)
    refuse: list = field(default_factory=list)


class Admission:
    """All waiting and running requests of one service at one home instance.

    :param service: its :class:`~cornelgap.core.settings.ServiceCfg`.
    :param rng: random number generator for jitter.
    """

    def __init__(self, service, rng):
        """Start empty."""
        self._rng = rng
        self._lanes = {}
        self._lane_by_key = {}
        self._service = service

    @classmethod
    def from_cfg(cls, service, rng):
        """Create the admission of one service."""
        return cls(service, rng)

    @property
    def waiting(self):
        """Return the number of waiting requests."""
        return sum(lane.waiting for lane in self._lanes.values())

    @property
    def running(self):
        """Return the number of running requests."""
        return sum(lane.running for lane in self._lanes.values())

    def adopt_cfg(self, service):
        """Apply a newer configuration; waiting and running jobs stay."""
        self._service = service
        for name, lane in tuple(self._lanes.items()):
            if name in service.targets:
                lane.resize(self._get_slots(name), service.long_share)
            elif not lane.waiting and not lane.running:
                self._lanes.pop(name)

    def offer(self, now, job):
        """Start, queue or refuse a new job or one that its target shed.

        If too many jobs wait, the refused job may be another than the offered
        one: the last job of the caller with the most jobs in the longest queue.
        """
        step = Step()
        if job.key in self._lane_by_key:
            # A duplicate datagram; queued again, its request would run twice.
            return step
        lane = self._get_lane(job.target)
        if not lane.can_end_in_time(now, job):
            self._refuse(step, now, lane, job, Code.REQ_DEADLINE)
            return step
        lane.push(job)
        self._lane_by_key[job.key] = lane
        self._advance(step, now, lane)
        if self.waiting > self._service.queue_limit:
            self._evict(step, now, job)
        return step

    def finish(self, now, key, ended, took_s):
        """Free the slot of a job whose call has ended.

        A job that its target shed may be offered again; its arrival time then
        decides its position in the queue.

        :param ended: a :class:`~cornelgap.decisions.ends.CallEnd`.
        :param took_s: seconds since it was sent.
        """
        step = Step()
        lane = self._lane_by_key.pop(key, None)
        if lane is not None:
            lane.finish(now, key, ended, took_s)
            self._advance(step, now, lane)
        return step

    def note_report(self, now, target, in_flight, waiting):
        """Record the load that a target reported with an answer."""
        lane = self._lanes.get(target)
        if lane is not None:
            lane.note_report(now, in_flight, waiting)

    def cancel(self, now, key):
        """Remove a waiting or running job that its caller has cancelled."""
        step = Step()
        lane = self._lane_by_key.pop(key, None)
        if lane is not None:
            lane.cancel(now, key)
            self._advance(step, now, lane)
        return step

    def sweep(self, now):
        """Refuse jobs that can't end in time, and start those that may run."""
        step = Step()
        for lane in self._lanes.values():
            self._advance(step, now, lane)
        return step

    def next_wake(self, now):
        """Return when :meth:`sweep` is due, seconds; None if nothing waits."""
        times = [lane.next_wake(now) for lane in self._lanes.values()]
        times = [time for time in times if time is not None]
        return min(times, default=None)

    def _advance(self, step, now, lane):
        for job in lane.remove_expired(now):
            self._lane_by_key.pop(job.key)
            self._refuse(step, now, lane, job, Code.REQ_DEADLINE)
        step.start.extend(lane.start_ready(now))

    def _evict(self, step, now, offered):
        # Evict from the longest queue of all lanes: a slow target must not
        # use up the queue limit of the others, nor one caller that of a lane.
        lane = max(self._lanes.values(), key=_count_waiting)
        job = lane.find_newest_of_longest()
        lane.remove(job)
        self._lane_by_key.pop(job.key)
        evicts_other = job is not offered
        code = Code.REQ_CALLER_SHARE if evicts_other else Code.REQ_QUEUE_FULL
        self._refuse(step, now, lane, job, code)

    def _refuse(self, step, now, lane, job, code):
        base_ms = 1000 * lane.predict_queue_time()
        base_ms = min(max(base_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)
        retry_ms = pick_retry_after_ms(self._rng, base_ms)
        step.refuse.append(Refusal(job, code, retry_ms))

    def _get_lane(self, target):
        lane = self._lanes.get(target)
        if lane is None:
            slots = self._get_slots(target)
            lane = Lane(slots, self._service.long_share, self._rng)
            self._lanes[target] = lane
        return lane

    def _get_slots(self, target):
        cfg = self._service.targets.get(target)
        return _UNKNOWN_TARGET_SLOTS if cfg is None else cfg.slots


def _count_waiting(lane):
    return lane.waiting
