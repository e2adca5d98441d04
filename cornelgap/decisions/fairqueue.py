"""A queue that serves callers round robin.

Load pattern: one caller sends ten times as many requests as any other.  In a
single FIFO queue all callers wait behind it, and its requests take nine of
ten slots.  With round robin, a caller that asks for less than its share
waits at most one round.
"""

from collections import OrderedDict, deque


class FairQueue:
    """Waiting jobs by caller, dequeued round robin over the callers."""

    def __init__(self):
        """Start empty."""
        self._callers = OrderedDict()
        self._size = 0

    def __len__(self):
        """Return the number of waiting jobs."""
        return self._size

    def push(self, job):
        """Add a job; one that arrived before its caller's first goes first."""
        jobs = self._callers.setdefault(job.caller, deque())
        if jobs and job.arrived < jobs[0].arrived:
            jobs.appendleft(job)
        else:
            jobs.append(job)
        self._size += 1

    def pop(self):
        """Remove and return the first job of the next caller in turn."""
        caller, jobs = next(iter(self._callers.items()))
        job = jobs.popleft()
        self._size -= 1
        if jobs:
            self._callers.move_to_end(caller)
        else:
            self._callers.pop(caller)
        return job

    def remove(self, job):
        """Remove a job at any position."""
        jobs = self._callers[job.caller]
        jobs.remove(job)
        self._size -= 1
        if not jobs:
            self._callers.pop(job.caller)

    def count_ahead(self, caller):
        """Return how many jobs would be served before a new one of a caller."""
        own = len(self._callers.get(caller, ()))
        others = (
            min(len(jobs), own + 1)
            for name, jobs in self._callers.items()
            if name != caller
        )
        return own + sum(others)

    def find_newest_of_longest(self):
        """Return the last job of the caller with the most waiting jobs."""
        return max(self._callers.values(), key=len)[-1]

    def list_jobs(self):
        """Return all waiting jobs, grouped by caller."""
        return [job for jobs in self._callers.values() for job in jobs]
