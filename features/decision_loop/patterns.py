"""The load patterns by name: arrivals and faults, seeded."""

import dataclasses

from cornelgap.core.settings import TargetMode
from features.decision_loop.arrivals import (
    make_arrivals,
    make_long_arrivals,
    name_caller,
)
from features.decision_loop.rehoming import kill_entry
from features.decision_loop.world import Plan

LONG_WORK_S = 2.0
LONG_DEADLINE_S = 30.0
FIRST = 'target-0'
LAST = 'target-6'
LAG_S = 1.0
LEAVE_AT = 4.0
LEFT_AT = 12.0
DIE_AT = 4.0


def plan_steady(rng, site, load=0.7, end_s=10.0):
    """Plan a constant load."""
    return Plan(site, end_s, make_arrivals(rng, site, load, 0, end_s))


def plan_burst(rng, site):
    """Plan five times the usual load for two seconds."""
    arrivals = make_arrivals(rng, site, 0.5, 0, 10)
    arrivals += make_arrivals(rng, site, 2.0, 3, 5)
    return Plan(site, 10.0, arrivals)


def plan_hot_caller(rng, site, hot=True):
    """Plan one of 14 callers asking for ten times its share."""
    site = dataclasses.replace(site, callers=14, flows=420)
    arrivals = make_arrivals(rng, site, 0.7, 0, 10)
    flows = [
        flow
        for flow in range(site.flows)
        if name_caller(site, flow) == 'caller-0'
    ]
    if hot:
        extra = 0.7 * 9 / site.callers
        arrivals += make_arrivals(rng, site, extra, 0, 10, flows)
    return Plan(site, 10.0, arrivals)


def plan_hot_key(rng, site, hot=True):
    """Plan one flow asking for as much as its target can do."""
    arrivals = make_arrivals(rng, site, 0.6, 0, 20)
    if hot:
        arrivals += make_arrivals(rng, site, 1 / site.targets, 0, 20, [0])
    return Plan(site, 20.0, arrivals)


def plan_slow_target(rng, site):
    """Plan a target that turns five times slower."""
    plan = plan_steady(rng, site, 0.6, 20.0)
    plan.faults.append((2.0, make_slow))
    return plan


def plan_failing_target(rng, site):
    """Plan a target that answers each request at once with an error."""
    plan = plan_steady(rng, site, 0.6, 20.0)
    plan.faults.append((2.0, make_failing))
    plan.closes = make_closes(rng, site, 20.0)
    return plan


def plan_long_jobs(rng, site, long=True):
    """Plan downloads of seconds among short requests."""
    plan = plan_steady(rng, site, 0.3, 30.0)
    if long:
        plan.arrivals += make_long_arrivals(
            rng, site, 0.15, 30.0, LONG_WORK_S, LONG_DEADLINE_S
        )
    return plan


def plan_cold_target(rng, site):
    """Plan a target that joins with empty caches."""
    plan = plan_steady(rng, site, 0.6, 15.0)
    plan.cold = (LAST,)
    plan.closes = make_closes(rng, site, 15.0)
    plan.faults.append((3.0, join_cold))
    return plan


def plan_joining_target(rng, site, weight=0.5):
    """Plan a warm target that joins when all flows have their places."""
    site = dataclasses.replace(site, imbalance_weight=weight)
    plan = plan_steady(rng, site, 0.7, 40.0)
    plan.cold = (LAST,)
    plan.faults.append((3.0, join_warm))
    return plan


def plan_leaving_target(rng, site):
    """Plan a target that leaves at full load."""
    plan = plan_steady(rng, site, 0.8, 15.0)
    plan.faults.append((LEAVE_AT, leave))
    plan.faults.append((LEFT_AT, vanish))
    return plan


def plan_dying_entry(rng, site):
    """Plan an entry instance that dies with a sixth of all flows."""
    site = dataclasses.replace(site, flows=12000)
    plan = plan_steady(rng, site, 0.8, 12.0)
    plan.faults.append((DIE_AT, kill_entry))
    return plan


def make_closes(rng, site, end_s):
    """Make the ends of flows that live 10 s on average."""
    rate = site.flows / 10.0
    found = []
    at = rng.expovariate(rate)
    while at < end_s:
        found.append((at, rng.randrange(site.flows)))
        at += rng.expovariate(rate)
    return found


def make_slow(world):
    """Make the first target five times slower."""
    world.targets[FIRST].factor = 5.0


def make_failing(world):
    """Make the first target fail at once, claiming to be idle."""
    world.targets[FIRST].fails = True
    world.targets[FIRST].lie = (0, 0)


def join_cold(world):
    """Let the last target join; entries hear of it unevenly."""
    world.targets[LAST].cold_left = 60
    tell_entries(world, world.plan.site.build_service())


def join_warm(world):
    """Let the last target join, as fast as the others."""
    tell_entries(world, world.plan.site.build_service())


def leave(world):
    """Let the first target drain; entries hear of it unevenly."""
    service = world.plan.site.build_service()
    service.targets[FIRST] = dataclasses.replace(
        service.targets[FIRST], mode=TargetMode.DRAINING
    )
    world.targets[FIRST].draining = True
    tell_entries(world, service)
    world.loop.after(3.0, note_started, world)


def note_started(world):
    """Write down how much the leaving target has started so far."""
    world.tally.late_work = -world.targets[FIRST].started


def vanish(world):
    """Take the target away with whatever it still runs."""
    target = world.targets[FIRST]
    world.tally.late_work += target.started
    target.vanish()


def tell_entries(world, service):
    """Let each entry adopt a configuration, up to a second apart."""
    for entry in world.entries:
        world.loop.after(world.rng.random() * LAG_S, entry.adopt, service)


PATTERNS = {
    'steady': plan_steady,
    'spread': lambda rng, site: plan_steady(rng, site, 0.7, 30.0),
    'burst': plan_burst,
    'hot caller': plan_hot_caller,
    'hot key': plan_hot_key,
    'slow target': plan_slow_target,
    'failing target': plan_failing_target,
    'long jobs': plan_long_jobs,
    'overload 1.5': lambda rng, site: plan_steady(rng, site, 1.5),
    'overload 3': lambda rng, site: plan_steady(rng, site, 3.0),
    'cold target': plan_cold_target,
    'joining target': plan_joining_target,
    'leaving target': plan_leaving_target,
    'dying entry': plan_dying_entry,
}
