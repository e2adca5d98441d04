"""Seeded arrivals: the same for every policy that is compared."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller.

    :param at: seconds from the start.
    :param flow: number of the flow that carries it.
    :param work_s: slot seconds that it needs.
    :param deadline_s: seconds after ``at``.
    """

    at: float
    flow: int
    caller: str
    work_s: float
    deadline_s: float
    long_job: bool = False
    idempotent: bool = False


def draw_work(rng, mean_s, spread=0.6):
    """Draw a log-normal service time of a mean."""
    return mean_s * math.exp(rng.gauss(0, spread) - spread * spread / 2)


def make_arrivals(rng, site, load, start_s, end_s, flows=None):
    """Make Poisson arrivals at ``load`` times the capacity.

    :param flows: numbers of flows that carry them; all by default.
    """
    flows = flows or range(site.flows)
    rate = load * site.capacity / site.work_s
    found = []
    at = start_s + rng.expovariate(rate)
    while at < end_s:
        flow = rng.choice(flows)
        found.append(
            Arrival(
                at=at,
                flow=flow,
                caller=name_caller(site, flow),
                work_s=draw_work(rng, site.work_s),
                deadline_s=site.deadline_s,
            )
        )
        at += rng.expovariate(rate)
    return found


def make_long_arrivals(rng, site, load, end_s, work_s, deadline_s):
    """Make long jobs that take ``load`` times the capacity."""
    rate = load * site.capacity / work_s
    found = []
    at = rng.expovariate(rate)
    while at < end_s:
        flow = rng.randrange(site.flows)
        found.append(
            Arrival(
                at=at,
                flow=flow,
                caller=name_caller(site, flow),
                work_s=draw_work(rng, work_s, 0.3),
                deadline_s=deadline_s,
                long_job=True,
                idempotent=True,
            )
        )
        at += rng.expovariate(rate)
    return found


def name_caller(site, flow):
    """Return the caller of a flow; flows are dealt out in turn."""
    return f'caller-{flow % site.callers}'
