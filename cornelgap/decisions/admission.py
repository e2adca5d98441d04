"""Whom the home serves, who waits, and who is refused, for one service.

Load pattern: more requests than slots, for a burst or for hours.  An
unbounded queue answers everybody late: at 3 times capacity it is minutes
long, each answer comes after its deadline, and all work is wasted.  Here a
request waits only if it can still end in time; any other is refused at once
and told when to come back, so that the slots work on answers that count.
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
    """One request that wants a slot.

    :param key: its identity, any hashable value.
    :param caller: whose turn it is counted against.
    :param target: the target its flow is pinned to.
    :param long_job: a download or other long work.
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
    """A job that was not started and never will be.

    :param job: the job.
    :param code: why.
    :param retry_after_ms: when to come back, milliseconds from now.
    """

    job: Job
    code: Code
    retry_after_ms: int


@dataclass(slots=True)
class Step:
    """What the home must do now: send these, answer those."""

    start: list = field(default_factory=list)
    refuse: list = field(default_factory=list)


class Admission:
    """All waiting and running requests of one service at one home.

    :param service: its :class:`~cornelgap.core.settings.ServiceCfg`.
    :param rng: generator for jitter.
    """

    def __init__(self, service, rng):
        """Start empty."""
        self._rng = rng
        self._lanes = {}
        self._lane_of = {}
        self._service = service

    @classmethod
    def from_cfg(cls, service, rng):
        """Build the admission of one service."""
        return cls(service, rng)

    @property
    def waiting(self):
        """Return how many requests wait."""
        return sum(lane.waiting for lane in self._lanes.values())

    @property
    def running(self):
        """Return how many requests run."""
        return sum(lane.running for lane in self._lanes.values())

    def adopt_cfg(self, service):
        """Adopt a newer configuration; waiting and running jobs stay."""
        self._service = service
        for name, lane in tuple(self._lanes.items()):
            if name in service.targets:
                lane.resize(self._slots_of(name), service.long_share)
            elif not lane.waiting and not lane.running:
                self._lanes.pop(name)

    def offer(self, now, job):
        """Start, queue or refuse a job, also one that its target shed.

        A refusal may meet another job than the offered one: a caller with
        many waiting gives way to one with few.
        """
        step = Step()
        if job.key in self._lane_of:
            # A doubled datagram: taken in again it would run twice.
            return step
        lane = self._get_lane(job.target)
        if not lane.can_end_in_time(now, job):
            self._refuse(step, now, lane, job, Code.REQ_DEADLINE)
            return step
        lane.push(job)
        self._lane_of[job.key] = lane
        self._pump(step, now, lane)
        if self.waiting > self._service.queue_limit:
            self._evict(step, now, job)
        return step

    def finish(self, now, key, ended, took_s):
        """Free the slot of a job whose call has ended.

        A job that its target shed may be offered again; it keeps its place
        by its arrival.

        :param ended: a :class:`~cornelgap.decisions.ends.CallEnd`.
        :param took_s: seconds since it was sent.
        """
        step = Step()
        lane = self._lane_of.pop(key, None)
        if lane is not None:
            lane.finish(now, key, ended, took_s)
            self._pump(step, now, lane)
        return step

    def note_report(self, now, target, in_flight, waiting):
        """Take in the load that a target stated with an answer."""
        lane = self._lanes.get(target)
        if lane is not None:
            lane.note_report(now, in_flight, waiting)

    def cancel(self, now, key):
        """Free a waiting or running job that nobody wants any more."""
        step = Step()
        lane = self._lane_of.pop(key, None)
        if lane is not None:
            lane.cancel(now, key)
            self._pump(step, now, lane)
        return step

    def sweep(self, now):
        """Refuse what can no longer end in time, start what now may."""
        step = Step()
        for lane in self._lanes.values():
            self._pump(step, now, lane)
        return step

    def next_wake(self, now):
        """Return when :meth:`sweep` is due, seconds; None if nothing waits."""
        times = [lane.next_wake(now) for lane in self._lanes.values()]
        times = [time for time in times if time is not None]
        return min(times, default=None)

    def _pump(self, step, now, lane):
        for job in lane.take_hopeless(now):
            self._lane_of.pop(job.key)
            self._refuse(step, now, lane, job, Code.REQ_DEADLINE)
        step.start.extend(lane.take_startable(now))

    def _evict(self, step, now, offered):
        # The longest queue pays, wherever it is: a slow target's lane must
        # not use up the room of the others, nor a hot caller that of a lane.
        lane = max(self._lanes.values(), key=_count_waiting)
        job = lane.find_newest_of_longest()
        lane.remove(job)
        self._lane_of.pop(job.key)
        shared = job is not offered
        code = Code.REQ_CALLER_SHARE if shared else Code.REQ_QUEUE_FULL
        self._refuse(step, now, lane, job, code)

    def _refuse(self, step, now, lane, job, code):
        base_ms = 1000 * lane.predict_drain()
        base_ms = min(max(base_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)
        retry_ms = pick_retry_after_ms(self._rng, base_ms)
        step.refuse.append(Refusal(job, code, retry_ms))

    def _get_lane(self, target):
        lane = self._lanes.get(target)
        if lane is None:
            slots = self._slots_of(target)
            lane = Lane(slots, self._service.long_share, self._rng)
            self._lanes[target] = lane
        return lane

    def _slots_of(self, target):
        cfg = self._service.targets.get(target)
        return _UNKNOWN_TARGET_SLOTS if cfg is None else cfg.slots


def _count_waiting(lane):
    return lane.waiting
