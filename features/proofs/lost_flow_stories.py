"""Stories of flows whose target has gone while their callers are idle.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

from cornelgap.forwarding.failure_detector import Evidence
from features.proofs.forwarding_desk import Desk, make_route, make_target

TARGETS = tuple(make_target(number) for number in range(1, 5))
CRASHED = TARGETS[0]
CALLERS = range(40001, 40021)
STEP_S = 0.05
BUSY = 4
"""Callers that have a request at the target when it crashes."""


def start_desk():
    """Start an engine with open flows on one target.

    :returns: the desk; all callers have got an answer.
    """
    desk = Desk()
    desk.set_routes(make_route('search'))
    desk.set_targets(*TARGETS)
    for caller in CALLERS:
        desk.send(caller, CRASHED, ack=1)
        desk.send(caller, CRASHED, ack=500)
    return desk


def send_busy(desk):
    """Let the busy callers send a request and repeat it twice."""
    for wait in (0, 0.2, 0.4):
        desk.pass_time(wait)
        for caller in CALLERS[:BUSY]:
            desk.send(caller, CRASHED, ack=500, size=100)


def list_reset(desk):
    """Return the callers whose flows are reset now."""
    return {key[1] for key, _ in desk.engine.take_lost_flows(desk.now)}


def pass_lapse(desk):
    """Let the time pass in which a silent registration lapses."""
    for _ in range(4):
        desk.pass_time(0.9)
        desk.confirm()


def find_left(reset):
    """Return an objection if callers keep a flow that is lost."""
    left = set(CALLERS) - reset
    if not left:
        return []
    return [f'{len(left)} callers will lose their next request']


def play_idle_flows():
    """A target crashes; most of its callers read what they have got."""
    desk = start_desk()
    desk.pass_time(2)
    send_busy(desk)
    return find_left(list_reset(desk))


def play_long_idle_flows():
    """The callers have been idle for longer than a flow counts as load."""
    desk = start_desk()
    desk.pass_time(12)
    if desk.engine.flows.count_flows():
        return ['idle flows count as load']
    send_busy(desk)
    return find_left(list_reset(desk))


def play_flows_of_lapsed_target():
    """Too few callers ask for a verdict, and the registration lapses."""
    desk = start_desk()
    pass_lapse(desk)
    desk.change(CRASHED.name)
    return find_left(list_reset(desk))


def play_crash_seen_by_many():
    """Ten instances carry requests to a target that has just crashed.

    Each request is repeated after 0.2, 0.6 and 1.4 s; what instances see
    reaches all others in one step.
    """
    desks = [start_desk() for _ in range(10)]
    for rank, desk in enumerate(desks):
        desk.engine.note_other_instances(
            {}, len(desks), report_interval_s=1, rank=rank
        )
        desk.pass_time(2)
        desk.send(CALLERS[0], CRASHED, ack=600)
    sent = [(0.11 * number, number) for number in range(1, 12)]
    for step in range(1, 26):
        for desk in desks:
            desk.pass_time(STEP_S)
        for begun, number in sent:
            ages = (begun, begun + 0.2, begun + 0.6, begun + 1.4)
            if any(abs(step * STEP_S - age) < STEP_S / 2 for age in ages):
                caller = CALLERS[1 + number]
                desks[number % 10].send(caller, CRASHED, ack=500, size=100)
        tell_evidence(desks)
    late = sum(not desk.engine.list_silent_names() for desk in desks)
    return [f'{late} of 10 instances still trust the target'] if late else []


def tell_evidence(desks):
    """Let each instance hear what the others see, and they its reply.

    :returns: for each instance, the callers that it resets then.
    """
    told = [
        (name, desk.engine.failure_detector.take_evidence())
        for name, desk in enumerate(desks)
    ]
    while told:
        name, evidence = told.pop()
        if not evidence:
            continue
        for other, desk in enumerate(desks):
            if other == name:
                continue
            alive = desk.engine.note_evidence(f'n{name}', evidence, desk.now)
            told.append((other, alive))
    return [list_reset(desk) for desk in desks]


def play_flows_of_live_targets():
    """One target crashes, and flows of the others are just as idle."""
    desk = start_desk()
    for caller in range(41001, 41021):
        desk.send(caller, TARGETS[1], ack=500)
    closed = CALLERS[-1]
    desk.close(closed, CRASHED, ack=500)
    desk.pass_time(2)
    send_busy(desk)
    reset = list_reset(desk)
    found = [] if reset else ['nobody is reset']
    if reset - set(CALLERS):
        found.append('a flow of a live target was reset')
    if closed in reset:
        found.append('a flow that its caller has closed was reset')
    if list_reset(desk):
        found.append('flows are reset twice')
    return found


def play_flows_of_target_cut_off():
    """A registration lapses, but the target answers its callers."""
    desk = start_desk()
    pass_lapse(desk)
    desk.send(40001, CRASHED, ack=500, size=100)
    desk.send(40001, CRASHED, ack=900)
    desk.change(CRASHED.name)
    return ['flows of a live target were reset'] if list_reset(desk) else []


def play_flows_beside_lost_packets():
    """Packets are lost, and other instances see repeats of a live target."""
    desk = start_desk()
    found = []
    for number in range(40):
        desk.pass_time(0.1)
        desk.send(40001, CRASHED, ack=600 + number)
        told = Evidence([[CRASHED.cookie, 50000 + number, number % 2]])
        desk.engine.note_evidence('n2', told, desk.now)
        if list_reset(desk):
            found.append('flows of a live target were reset')
    return found[:1]
