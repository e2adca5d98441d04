"""What an omniscient central scheduler could do with the same arrivals."""

import heapq

from features.decision_loop.outcomes import Outcome, Tally


def bound_good_work(plan):
    """Return the slot seconds that no policy can exceed.

    All slots act as one fast one, a request may be interrupted, and half a
    request counts half: earliest deadline first is then the best possible.
    """
    arrivals = sorted(plan.arrivals, key=lambda one: one.at)
    slots = plan.site.capacity
    alive = []
    done = 0.0
    now = 0.0
    for number, arrival in enumerate(arrivals):
        heapq.heappush(
            alive, [arrival.at + arrival.deadline_s, number, arrival.work_s]
        )
        last = number + 1 == len(arrivals)
        until = plan.end_s if last else arrivals[number + 1].at
        now = max(now, arrival.at)
        while alive and now < until:
            deadline, _, left = alive[0]
            part = min(until - now, left / slots, max(0.0, deadline - now))
            done += part * slots
            now += part
            alive[0][2] = left - part * slots
            if alive[0][2] <= 1e-9 or now >= deadline:
                heapq.heappop(alive)
    return done


def schedule_pooled(plan):
    """Schedule centrally: no pins, shorts first, longs in their share."""
    return _schedule(plan.arrivals, plan.site.capacity, _long_limit(plan))


def schedule_pinned(plan, flows):
    """Schedule each target centrally, all entries knowing everything."""
    tally = Tally()
    by_target = {}
    for arrival in plan.arrivals:
        target = flows[arrival.flow].target
        by_target.setdefault(target, []).append(arrival)
    limit = max(1, int(plan.site.slots * 0.5))
    for arrivals in by_target.values():
        part = _schedule(arrivals, plan.site.slots, limit)
        tally.rows.extend(part.rows)
    return tally


def _long_limit(plan):
    return max(1, int(plan.site.slots * 0.5)) * plan.site.targets


def _schedule(arrivals, slots, long_limit):
    tally = Tally()
    order = sorted(arrivals, key=lambda one: one.at)
    waiting = {False: [], True: []}
    ends = []
    longs = 0
    place = 0
    now = 0.0
    while place < len(order) or ends or any(waiting.values()):
        now = min(
            order[place].at if place < len(order) else float('inf'),
            ends[0][0] if ends else float('inf'),
        )
        while ends and ends[0][0] <= now:
            longs -= heapq.heappop(ends)[1]
        while place < len(order) and order[place].at <= now:
            waiting[order[place].long_job].append(order[place])
            place += 1
        for kind in (False, True):
            queue = waiting[kind]
            while queue and len(ends) < slots:
                if kind and longs >= long_limit:
                    break
                arrival = queue.pop(0)
                longs += kind
                end = now + arrival.work_s
                heapq.heappush(ends, (end, kind))
                took = end - arrival.at
                in_time = took <= arrival.deadline_s
                fate = Outcome.IN_TIME if in_time else Outcome.LATE
                tally.add(arrival, fate, took)
    return tally
