"""Admission and placement beside naive central ones: same allowed outcomes.

The naive versions know everything and decide nothing: they only say which
outcomes are allowed.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cornelgap.core.settings import ServiceCfg, TargetCfg, TargetMode
from cornelgap.decisions.admission import Admission, Job
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.placement import Placement

TARGETS = ('b1', 'b2', 'b3')
SLOTS = 2
LIMIT = 6


def make_service(draining=(), conns=5):
    """Make a service of which some targets drain."""
    targets = {
        name: TargetCfg(
            name,
            f'{name}:9',
            'z1',
            SLOTS,
            conns,
            TargetMode.DRAINING if name in draining else TargetMode.ACTIVE,
        )
        for name in TARGETS
    }
    return ServiceCfg('booking', targets=targets, queue_limit=LIMIT)


class AdmissionMachine(RuleBasedStateMachine):
    """Each job is in one place; slots, queue and deadlines are kept."""

    def __init__(self):
        """Begin with nothing offered."""
        super().__init__()
        self.now = 0.0
        self.part = Admission.from_cfg(make_service(), random.Random(1))
        self.jobs = {}
        self.place = {}

    def take_step(self, step):
        """Move jobs as a step says; only from where they may be."""
        for job in step.start:
            assert self.place[job.key] == 'waiting', 'started twice or late'
            assert self.now <= job.deadline, 'started past its deadline'
            self.place[job.key] = 'running'
        for refusal in step.refuse:
            key = refusal.job.key
            assert self.place[key] == 'waiting', 'refused what had started'
            assert refusal.retry_after_ms > 0
            self.place[key] = 'refused'

    def list_in(self, place):
        """List the keys of the jobs in a place."""
        return [key for key, at in self.place.items() if at == place]

    @rule(
        name=st.sampled_from(TARGETS),
        caller=st.sampled_from('xyz'),
        long_job=st.booleans(),
        allowed=st.sampled_from((0.05, 0.5, 5.0)),
    )
    def offer_job(self, name, caller, long_job, allowed):
        """Offer a job."""
        key = len(self.jobs)
        job = Job(key, caller, name, long_job, self.now + allowed, self.now)
        self.jobs[key] = job
        self.place[key] = 'waiting'
        self.take_step(self.part.offer(self.now, job))

    @rule(
        pick=st.integers(0, 100),
        ended=st.sampled_from(list(CallEnd)),
        took=st.sampled_from((0.01, 0.2)),
    )
    def finish_job(self, pick, ended, took):
        """End a running job somehow."""
        running = self.list_in('running')
        if running:
            key = running[pick % len(running)]
            self.place[key] = 'ended'
            self.take_step(self.part.finish(self.now, key, ended, took))

    @rule(pick=st.integers(0, 100))
    def cancel_job(self, pick):
        """Cancel a job that waits or runs."""
        open_jobs = self.list_in('waiting') + self.list_in('running')
        if open_jobs:
            key = open_jobs[pick % len(open_jobs)]
            self.place[key] = 'cancelled'
            self.take_step(self.part.cancel(self.now, key))

    @rule(length=st.sampled_from((0.01, 0.3, 2.0)))
    def pass_time(self, length):
        """Let time pass and sweep."""
        self.now += length
        self.take_step(self.part.sweep(self.now))

    @invariant()
    def keep_bounds(self):
        """Queue and slots stay in their bounds, and the counts agree."""
        waiting = self.list_in('waiting')
        running = self.list_in('running')
        assert len(waiting) <= LIMIT
        assert (self.part.waiting, self.part.running) == (
            len(waiting),
            len(running),
        )
        for name in TARGETS:
            held = [key for key in running if self.jobs[key].target == name]
            # Short and long jobs have a limit each.
            assert len(held) <= 2 * SLOTS


class PlacementMachine(RuleBasedStateMachine):
    """A chosen target is one that the naive version allows."""

    def __init__(self):
        """Begin with all targets active."""
        super().__init__()
        self.now = 0.0
        self.draining = frozenset()
        self.part = Placement.from_cfg(make_service(), 'z1', random.Random(1))
        self.flows = dict.fromkeys(TARGETS, 0)

    @rule(exclude=st.frozensets(st.sampled_from(TARGETS)))
    def choose(self, exclude):
        """Choose a target for a flow and count it."""
        allowed = {
            name
            for name in TARGETS
            if name not in exclude
            and name not in self.draining
            and self.flows[name] < 5
        }
        name = self.part.choose_target(self.now, exclude)
        if not allowed:
            assert name is None, f'{name} is not allowed'
            return
        assert name in allowed, f'{name} is not in {allowed}'
        self.part.note_flow(name, 1)
        self.flows[name] += 1

    @rule(name=st.sampled_from(TARGETS))
    def end_flow(self, name):
        """End a flow."""
        if self.flows[name]:
            self.part.note_flow(name, -1)
            self.flows[name] -= 1

    @rule(name=st.sampled_from(TARGETS), ended=st.sampled_from(list(CallEnd)))
    def end_request(self, name, ended):
        """A request ends somehow; outcomes may eject, never forbid all."""
        self.part.note_start(name, self.now)
        self.now += 0.05
        self.part.note_end(name, self.now, ended, 0.05)

    @rule(draining=st.frozensets(st.sampled_from(TARGETS)))
    def adopt(self, draining):
        """Adopt a configuration in which some targets drain."""
        self.draining = draining
        self.part.adopt_cfg(make_service(draining), self.now)

    @rule(length=st.sampled_from((0.1, 3.0, 40.0)))
    def pass_time(self, length):
        """Let time pass."""
        self.now += length
