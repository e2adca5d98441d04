"""A queue in which each caller waits behind its own requests only.

Load pattern: one caller sends ten times as much as any other.  In a single
FIFO queue everybody waits behind it and its requests take nine of ten
slots.  Served in turn, a caller that asks for less than its share waits at
most one round.
"""

from collections import OrderedDict, deque


class FairQueue:
    """Waiting jobs by caller, taken one caller after the other."""

    def __init__(self):
        """Start empty."""
        self._callers = OrderedDict()
        self._size = 0

    def __len__(self):
        """Return the number of waiting jobs."""
        return self._size

    def push(self, job):
        """Let a job wait; one that came earlier goes before."""
        jobs = self._callers.setdefault(job.caller, deque())
        if jobs and job.arrived < jobs[0].arrived:
            jobs.appendleft(job)
        else:
            jobs.append(job)
        self._size += 1

    def pop(self):
        """Take the next job of the caller whose turn it is."""
        caller, jobs = next(iter(self._callers.items()))
        job = jobs.popleft()
        self._size -= 1
        if jobs:
            self._callers.move_to_end(caller)
        else:
            self._callers.pop(caller)
        return job

    def remove(self, job):
        """Take out a job, wherever it waits."""
        jobs = self._callers[job.caller]
        jobs.remove(job)
        self._size -= 1
        if not jobs:
            self._callers.pop(job.caller)

    def count_ahead(self, caller):
        """Return how many jobs are taken before a new one of this caller."""
        own = len(self._callers.get(caller, ()))
        others = (
            min(len(jobs), own + 1)
            for name, jobs in self._callers.items()
            if name != caller
        )
        return own + sum(others)

    def find_newest_of_longest(self):
        """Return the newest job of the caller with the most waiting."""
        return max(self._callers.values(), key=len)[-1]

    def list_jobs(self):
        """Return all waiting jobs, in no useful order."""
        return [job for jobs in self._callers.values() for job in jobs]
