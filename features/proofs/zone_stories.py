"""Stories of availability zones that are cut off, on engines driven by hand.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

import random

from cornelgap.forwarding.neighbours import InstanceIdentity, Neighbours
from cornelgap.forwarding.peer_messages import Beat
from features.proofs.forwarding_desk import Desk, make_route, make_target

NEAR = tuple(make_target(number) for number in range(1, 5))
FAR = tuple(make_target(number, zone='b') for number in range(5, 9))
ZONE_INSTANCES = 10


def start_two_zones():
    """Start an engine with four targets here and four in zone b.

    :returns: tuple (desk, dict caller -> target in zone b).
    """
    desk = Desk()
    desk.set_routes(make_route('search'))
    desk.set_targets(*NEAR, *FAR)
    return desk, carry_flows(desk, FAR + FAR)


def carry_flows(desk, targets):
    """Let an engine see a flow on each of some targets, with an answer.

    :returns: dict caller -> target.
    """
    flows = dict(enumerate(targets, start=40001))
    for caller, target in flows.items():
        desk.send(caller, target, ack=1)
        desk.send(caller, target, ack=2)
    return flows


def load_own_zone(desk, instances=1, rank=0):
    """Let the own zone's targets look so loaded that flows go elsewhere.

    :param instances: instances of the own zone.
    :param rank: how many of them precede this one.
    """
    loads = {target.cookie: 60 for target in NEAR}
    desk.engine.note_other_instances(
        loads, instances, report_interval_s=0.5, rank=rank
    )


def repeat_twice(desk, flows, callers):
    """Let some callers send a request and repeat it two times."""
    for wait in (0, 0.2, 0.4):
        desk.pass_time(wait)
        for caller in callers:
            desk.send(caller, flows[caller], ack=2, size=100)


def play_zone_away():
    """Another zone is cut off, and our own zone is the more loaded one."""
    desk, flows = start_two_zones()
    load_own_zone(desk)
    desk.pass_time(1)
    repeat_twice(desk, flows, list(flows)[:2])
    opened = [desk.open(caller) for caller in range(50000, 50040)]
    far = sum(target.zone == 'b' for target in opened)
    return [f'{far} flows are opened behind the cut'] if far > 1 else []


def play_flows_to_zone_away():
    """Another zone is cut off; few flows lead to each of its targets."""
    desk, flows = start_two_zones()
    desk.pass_time(1)
    repeat_twice(desk, flows, list(flows)[:4])
    reset = {key[1] for key, _ in desk.engine.take_lost_flows(desk.now)}
    # Of the two flows on each target one has asked, the other is idle.  The
    # first target was silent before anything spoke against its zone.
    left = [
        caller
        for caller, target in flows.items()
        if target != flows[40001] and caller not in reset
    ]
    return [f'{len(left)} callers will lose a request'] if left else []


def play_young_before_far_zone():
    """An instance has just started; what it held for zone b was lost."""
    desk = Desk()
    desk.set_routes(make_route('search'))
    desk.set_targets(*NEAR, *FAR)
    flows = {40001 + number: FAR[number % 4] for number in range(8)}
    for caller, target in flows.items():
        desk.send(caller, target, ack=2)
    repeat_twice(desk, flows, list(flows)[:4])
    desk.pass_time(1)
    if desk.engine.take_lost_flows(desk.now):
        return ['flows of live targets were reset']
    return []


def play_zone_with_one_dead_target():
    """One target of another zone has crashed, the others had nothing to do."""
    desk, flows = start_two_zones()
    load_own_zone(desk)
    desk.pass_time(1)
    crashed = flows[40001]
    held = [caller for caller, target in flows.items() if target == crashed]
    repeat_twice(desk, flows, held)
    opened = [desk.open(caller) for caller in range(50000, 50040)]
    if not any(target.zone == 'b' for target in opened[1:]):
        return ['a zone that is in reach gets no flow']
    return []


def start_cut_zone():
    """Start all instances of a zone; they have found zone b away.

    :returns: list of desks.
    """
    desks = []
    for rank in range(ZONE_INSTANCES):
        desk, flows = start_two_zones()
        load_own_zone(desk, ZONE_INSTANCES, rank)
        desk.pass_time(1)
        desks.append(desk)
    for desk in desks:
        repeat_twice(desk, flows, list(flows)[:2])
    tell_all(desks)
    return desks


def tell_all(desks):
    """Let each instance hear what the others have seen."""
    told = [desk.engine.failure_detector.take_evidence() for desk in desks]
    for name, evidence in enumerate(told):
        for other, desk in enumerate(desks):
            if other != name:
                desk.engine.note_evidence(f'n{name}', evidence, desk.now)


def open_far(desks, seconds):
    """Let each instance open ten flows a second; count those in zone b."""
    far = 0
    for turn in range(10 * seconds):
        for number, desk in enumerate(desks):
            desk.pass_time(0.1)
            target = desk.open(50000 + 100 * number + turn)
            far += target.zone == 'b'
    return far


def play_zone_probes():
    """Ten instances of a zone look whether another one is back."""
    far = open_far(start_cut_zone(), seconds=4)
    if not far:
        return ['nobody looks whether the zone is back']
    # One a second, of which the first may come at once.
    return [f'{far} callers wait behind the cut'] if far > 5 else []


def play_zone_back():
    """A zone is back, and one of ten instances has seen an answer from it."""
    desks = start_cut_zone()
    for desk in desks:
        desk.pass_time(2)
    probe = desks[0].open(50000)
    desks[0].send(50000, probe, ack=7001)
    tell_all(desks)
    if any(desk.engine.failure_detector.list_away() for desk in desks):
        return ['an instance still takes the zone to be away']
    return []


def play_late_answer_of_zone():
    """An answer that left a zone before it was cut off is seen after that."""
    desks = start_cut_zone()
    desks[0].send(40003, FAR[2], ack=3)
    tell_all(desks)
    if not all(desk.engine.failure_detector.list_away() for desk in desks[1:]):
        return ['an old answer hides the cut from other instances']
    return []


def play_loaded_zone_back():
    """A zone is back after ten seconds, as loaded as it was before."""
    hub = Neighbours(
        InstanceIdentity('n1', 'a', '10.0.0.1'), [], random.Random(1)
    )
    loads = {target.cookie: 60 for target in NEAR + FAR}
    far = {target.cookie: 60 for target in FAR}
    beat = Beat('n9', 'b', '10.0.1.1', 1, hub=True, zone_loads=far)
    hub.record_beat(beat, 100)
    hub.expire(110)
    loads.update(dict.fromkeys(far, 0))
    loads.update(hub.sum_other_loads({}, 110))
    desk, _ = start_two_zones()
    desk.engine.note_other_instances(loads, instances=1, report_interval_s=0.5)
    opened = [desk.open(caller) for caller in range(50000, 50040)]
    rushed = sum(target.zone == 'b' for target in opened)
    return [f'{rushed} flows rush to the zone'] if rushed > 5 else []


def play_probe_copy():
    """A caller whose opening was a probe sends its first copy."""
    desk = start_cut_zone()[0]
    desk.pass_time(1)
    first = desk.open(50000)
    if first.zone != 'b':
        return ['the first opening after a second is no probe']
    desk.pass_time(0.2)
    if desk.open(50000, copy=1).zone == 'b':
        return ['the caller waits for its second copy']
    return []
