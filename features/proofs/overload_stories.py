"""Stories of services whose targets shed and whose callers retry at once.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

import random

from cornelgap.decisions.overload import LOW
from cornelgap.decisions.shed_answers import ShedAnswerDetector
from cornelgap.forwarding import admission_control
from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.directory_view import RequestPolicy, Route
from cornelgap.forwarding.packets import Forward, Reason, Reset
from features.proofs.forwarding_desk import ADDRESS, make_packet
from features.proofs.overload_world import (
    TRIES,
    URGENT,
    WORST,
    OverloadWorld,
)

USUAL = 0.5
"""Part of what the targets serve that callers ask for on an ordinary day."""

MOST_APART = 0.05
"""Largest difference between the shares of requests that are served to the
callers of two instances of the same load."""

SETTLED_S = 4
ENDS_S = 7


def play_load(load, seconds=ENDS_S - 2, **changes):
    """Play two ordinary seconds and then a lasting overload."""
    world = OverloadWorld(**changes)
    world.press(USUAL)
    world.run(2)
    world.press(load)
    world.run(seconds)
    return world


def judge_load(world, first=SETTLED_S, last=ENDS_S):
    """Judge what was served in some seconds of an overload."""
    found = list(world.objections[:1])
    useful = world.count(world.served, first, last)
    useful /= (last - first) * world.capacity
    if useful < 0.9:
        found.append(f'targets serve {useful:.2f} of what they could')
    came = world.count(world.came, first, last, URGENT)
    served = world.count(world.served, first, last, URGENT)
    fits = min(came, 0.85 * (last - first) * world.capacity)
    if served < 0.95 * fits:
        found.append(f'{served} of {came} urgent requests are served')
    arrived = world.count(world.shed, first, last)
    arrived += world.count(world.served, first, last)
    share = world.count(world.shed, first, last) / arrived
    if share > 0.3:
        found.append(f'targets shed {share:.2f} of what arrives')
    return found


def play_overload_doubled():
    """Callers ask for twice what the targets serve."""
    return judge_load(play_load(2))


def play_overload_sixfold():
    """Callers ask for six times as much; urgent requests alone do not fit."""
    return judge_load(play_load(6))


def play_overload_new_instance():
    """An instance starts while the targets are overloaded."""
    world = play_load(2, 2)
    world.restart(0)
    world.run(7)
    return judge_load(world, 8, 11)


def play_overload_flood():
    """One of many callers sends as much as all others together."""
    world = OverloadWorld()
    world.press(0.7, urgent=0.2)
    world.run(2)
    world.flood = world.capacity
    world.run(2)
    before = dict(world.by_account)
    came_before = world.count(world.came, 0, 4, WORST)
    world.run(4)
    flood = world.by_account[WORST, 0] - before.get((WORST, 0), 0)
    others = sum(
        number - before.get(key, 0)
        for key, number in world.by_account.items()
        if key[0] == WORST and key[1]
    )
    rate, _ = world.rates[WORST]
    found = judge_load(world, 4, 8)
    if came_before and others < 0.85 * rate * 4:
        found.append(f'{others} requests of others are served, {flood} of one')
    if flood < 0.1 * 4 * world.capacity:
        found.append('the flood does not get what others leave')
    return found


def play_overload_equal_callers():
    """All callers of a priority ask for the same and not all fit."""
    world = play_load(3, 1)
    before = dict(world.by_account)
    world.run(8)
    _, accounts = world.rates[WORST]
    served = [
        world.by_account[WORST, one] - before.get((WORST, one), 0)
        for one in range(1, accounts + 1)
    ]
    mean = sum(served) / len(served)
    if min(served) < 0.4 * mean or max(served) > 1.8 * mean:
        return [f'equal callers get from {min(served)} to {max(served)}']
    return []


def play_overload_short():
    """A rush is over before a caller's first copy."""
    world = play_load(4, 0.2)
    world.press(USUAL)
    world.run(3)
    return ['openings are refused'] if world.refused else []


def play_overload_ends():
    """An overload ends, and refusals with it."""
    world = play_load(6, 3)
    world.press(USUAL)
    world.run(6)
    came = world.count(world.came, 8, 11)
    served = world.count(world.served, 8, 11)
    found = []
    if served < 0.95 * came:
        found.append(f'{served} of {came} requests are served afterwards')
    for desk in world.desks:
        states = [line['state'] for line in world.told[desk]]
        if not states or states[0] != 'begins' or 'ends' not in states:
            found.append(f'operators are told of {states}')
    return found


def play_overload_route_dropped():
    """A configuration drops the only route whose openings are refused."""
    world = play_load(2, 3)
    desk = world.desks[0]
    desk.set_routes(
        Route(
            'r-urgent',
            ADDRESS,
            443,
            (('search', 1),),
            RequestPolicy(URGENT),
        )
    )
    states = [
        line['state'] for line in desk.engine.admission.step(desk.now + 1)
    ]
    states += [
        line['state'] for line in desk.engine.admission.step(desk.now + 2)
    ]
    return [] if states == ['ends'] else [f'operators are told of {states}']


def play_overload_failing_minority():
    """A fifth of the targets answers errors to half of what they get."""
    world = OverloadWorld(targets=10, failing=2)
    world.press(0.6)
    world.run(6)
    return ['openings are refused'] if world.refused else []


def play_overload_ends_in_errors():
    """An overload ends; a tenth of the answers are errors, as before it."""
    world = OverloadWorld(failing=8, errors=0.09)
    world.press(USUAL)
    world.run(2)
    world.press(6)
    world.run(3)
    world.press(USUAL)
    world.run(6)
    came = world.count(world.came, 7, 11)
    served = world.count(world.served, 7, 11)
    if served < 0.95 * came:
        return [f'{served} of {came} requests are served afterwards']
    return []


def play_overload_room():
    """Callers ask for nearly all that the targets serve."""
    world = OverloadWorld()
    world.press(0.85)
    world.run(6)
    return ['openings are refused'] if world.refused else []


def play_overload_after_power():
    """All instances are back, and callers that waited return at once."""
    world = OverloadWorld()
    world.press(USUAL)
    world.run(2)
    for number in range(len(world.desks)):
        world.restart(number)
    world.press(5)
    world.run(0.6)
    world.press(USUAL)
    world.run(2)
    return ['openings are refused'] if world.refused else []


def play_overload_open_flows():
    """Worse requests on open flows shed; the urgent ones alone would fit."""
    world = play_load(4, 3)
    shares = [
        desk.engine.admission.read_shares()['search', str(URGENT)]
        for desk in world.desks
    ]
    if min(shares) < 1:
        return [f'urgent openings are cut to {min(shares):.2f}']
    return []


def play_overload_copies():
    """Copies of openings reach instances that refuse."""
    world = play_load(6, 3)
    desk = world.desks[0]
    found = []
    for number in range(300):
        caller = 61000 + number
        syn = make_packet(caller, pkt.SYN, 443 + WORST, source=7)
        effect = desk.put(syn)
        if isinstance(effect, Reset) and effect.reason != Reason.OVERLOADED:
            found.append(f'refused as {effect.reason}')
        passed = isinstance(effect, Forward)
        for copy in (1, 2):
            desk.now += 0.2
            again = make_packet(
                caller, pkt.SYN, 443 + WORST, source=7, ack=copy
            )
            # Elsewhere, or here before a restart, it may have been passed on.
            other = make_packet(
                caller + 1000, pkt.SYN, 443 + WORST, source=7, ack=copy
            )
            if passed and not isinstance(desk.put(again), Forward):
                found.append('a copy of an opening that was passed on waits')
            if isinstance(desk.put(other), Reset):
                found.append('a copy of an unknown opening is refused')
    return found[:1]


def play_overload_mostly_sheds():
    """Nineteen of twenty answers of a route are sheds, for long."""
    rng = random.Random(1)
    usual = ShedAnswerDetector()
    for _ in range(64):
        usual.note_answer(rng.randint(500, 2000), 0.03)
    missed = taken = 0
    for number in range(2000):
        if number % 20:
            missed += not usual.note_answer(120, 0.006)
        else:
            taken += usual.note_answer(rng.randint(500, 2000), 0.1)
    found = []
    if missed > 50:
        found.append(f'{missed} of 1900 sheds are taken for usual answers')
    if taken:
        found.append(f'{taken} whole answers are taken for sheds')
    return found


def play_overload_answers_vary():
    """Whole answers differ as those of the platform's services do."""
    found = []
    for mean, spread in ((600, 0.6), (1000, 0.6), (20000, 0.7)):
        rng = random.Random(mean)
        usual = ShedAnswerDetector()
        taken = 0
        for _ in range(4000):
            size = mean * rng.lognormvariate(-spread * spread / 2, spread)
            taken += usual.note_answer(130 + size, rng.uniform(0.01, 0.04))
        if taken > 0.75 * LOW * 4000:
            found.append(f'{taken} of 4000 answers of {mean} count as sheds')
        sheds = sum(usual.note_answer(140, 0.008) for _ in range(100))
        if sheds < 95:
            found.append(f'{100 - sheds} sheds beside answers of {mean} pass')
    return found


def play_overload_shorter_answers():
    """A route's answers are short from now on, and nobody is full."""
    usual = ShedAnswerDetector()
    for _ in range(64):
        usual.note_answer(4000, 0.03)
    shorts = [usual.note_answer(100, 0.02) for _ in range(2000)]
    return ['short answers count as sheds for good'] if shorts[-1] else []


def play_overload_one_priority():
    """All routes of a service have one priority."""
    world = OverloadWorld()
    world.press(USUAL, urgent=0)
    world.run(2)
    world.press(4, urgent=0)
    world.run(ENDS_S - 2)
    return judge_load(world)


def play_overload_unnamed():
    """The routes name no priority: nothing is refused."""
    world = OverloadWorld(named=False)
    world.press(4)
    world.run(2)
    return ['openings are refused'] if world.refused else []


def play_overload_switched_off():
    """The part is taken out for a trial."""
    enabled = admission_control.ENABLED
    admission_control.ENABLED = False
    try:
        world = play_load(4, 2)
    finally:
        admission_control.ENABLED = enabled
    return ['openings are refused'] if world.refused else []


def play_overload_errors_of_all():
    """No target is full, and half of all answers are errors."""
    world = OverloadWorld()
    world.press(0.5)
    world.run(3)
    world.fail_all()
    world.run(10)
    came = world.count(world.came, 5, 13)
    served = world.count(world.served, 5, 13)
    if served < 0.7 * came:
        return [f'{served} of {came} requests are served']
    return []


def judge_errors(world, errors, first, last, judged=(URGENT, WORST)):
    """Judge what is served where a share of all requests fails.

    :param errors: share of the requests that fail at each try.
    :param judged: priorities of the requests that fit.
    """
    needed = 0.8 * (1 - errors**TRIES)
    found = list(world.objections[:1])
    for priority in judged:
        came = world.count(world.came, first, last, priority)
        served = world.count(world.served, first, last, priority)
        if served < needed * came:
            found.append(f'{served} of {came} requests are served: {errors}')
    return found


def play_errors(errors, restart=False, **changes):
    """Play three ordinary seconds, and ten in which requests fail."""
    world = OverloadWorld()
    world.press(USUAL)
    world.run(3)
    world.fail_all(errors, **changes)
    if restart:
        for number in range(len(world.desks)):
            world.restart(number)
    world.run(10)
    return judge_errors(world, errors, 5, 13)


def play_overload_errors_by_share():
    """A small, a middle and a large part of all answers are errors."""
    return [
        objection
        for errors in (0.2, 0.5, 0.9)
        for objection in play_errors(errors)
    ]


def play_overload_errors_of_route():
    """Only the requests of one priority fail."""
    return [
        objection
        for priority in (URGENT, WORST)
        for objection in play_errors(0.5, priorities={priority})
    ]


def play_overload_errors_of_nearly_all():
    """Nine in ten requests of the least urgent priority fail."""
    return play_errors(0.9, priorities={WORST})


def play_overload_errors_at_start():
    """Requests fail when all instances start, and none knows usual waits."""
    return play_errors(0.5, restart=True)


def play_overload_errors_under_load():
    """Requests begin to fail during an overload, and cease before it ends."""
    world = play_load(2)
    world.fail_all(0.5)
    world.run(8)
    useful = world.count(world.served, 9, 15) / (6 * world.capacity)
    found = judge_errors(world, 0.5, 9, 15, (URGENT,))
    if useful < 0.9:
        found.append(f'targets serve {useful:.2f} of what they could')
    world.fail_all(0)
    world.run(6)
    return found + judge_load(world, 18, 21)


def play_overload_uneven_callers():
    """One of three instances has eight tenths of all callers."""
    world = play_load(1.3, 10, callers=(8, 1, 1))
    shares = []
    for number in range(len(world.desks)):
        came = sum(world.came_at[second, number] for second in range(6, 12))
        served = sum(world.served_at[second, number] for second in range(6, 12))
        shares.append(served / came)
    if max(shares) - min(shares) > MOST_APART:
        told = ', '.join(f'{share:.2f}' for share in shares)
        return [f'callers of the instances are served {told}']
    return []
