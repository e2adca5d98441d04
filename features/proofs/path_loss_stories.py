"""Stories of instances that lose packets while all targets serve.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

from collections import Counter
from types import SimpleNamespace

from cornelgap.forwarding.packets import Reset
from features.proofs.forwarding_desk import Desk, make_route, make_target
from features.proofs.lost_flow_stories import (
    list_reset,
    send_busy,
    start_desk,
    tell_evidence,
)

TARGETS = tuple(make_target(number) for number in range(1, 13))
FLOWS = 3
"""Callers with a flow on each target."""

STEP_S = 0.05
ENDS_S = 6.0
REPEATS_S = (0.2, 0.6, 1.4)
"""When a caller repeats its request, seconds after it."""

CUT_REPEATS_S = (0.2, 0.4)
"""Pauses before the first and the second repeat of a request."""

PERIOD_S = 2.0
"""Each caller sends a request so often."""

LOSSY_ENDS_S = 4.0
SMALL_STEP_S = 0.01
SERVED_S = 0.3
"""Each caller whose answers arrive sends a request so often."""

CRASHES_S = 2.5
LAPSES_S = 3.0
"""When a target crashes, and how long its registration then stays."""


class SlowWay:
    """Callers of one instance, whose packets wait ever longer on its link.

    :param delay: function of the time to the seconds until an answer shows.
    """

    def __init__(self, delay, **kept):
        """Open flows of all callers on all targets."""
        self.desk = Desk(**kept)
        self.desk.set_routes(make_route('search'))
        self.desk.set_targets(*TARGETS)
        self._delay = delay
        self._events = []
        self._acks = Counter()
        begin = self.desk.now
        self.resets = set()
        for number, target in enumerate(TARGETS):
            for flow in range(FLOWS):
                caller = 40001 + number * FLOWS + flow
                self._acks[caller] = 1
                self.desk.send(caller, target, ack=1)
                first = begin + PERIOD_S * number / len(TARGETS) + 0.01 * flow
                self._plan(caller, target, first, begin + ENDS_S)

    def _plan(self, caller, target, at, end):
        while at < end:
            answered = at + self._delay(at - 100)
            self._events.append((at, caller, target, 100))
            for after in REPEATS_S:
                if at + after < answered:
                    self._events.append((at + after, caller, target, 100))
            self._events.append((answered, caller, target, 0))
            at += PERIOD_S

    def run_step(self):
        """Handle the packets of the next step."""
        self.desk.pass_time(STEP_S)
        self.desk.confirm()
        due = [event for event in self._events if event[0] <= self.desk.now]
        self._events = [item for item in self._events if item not in due]
        for _, caller, target, size in sorted(due, key=lambda item: item[:2]):
            if not size:
                self._acks[caller] += 500
            acked = self._acks[caller]
            effect = self.desk.send(
                caller, target, ack=acked, size=size, seq=1000 + acked
            )
            if isinstance(effect, Reset):
                self.resets.add(caller)
        self.resets |= list_reset(self.desk)


def grow_delay(passed_s):
    """Return the delay of a link whose queue grows to 0.75 s."""
    return 0.03 + min(0.75, max(0, passed_s - 0.5) * 0.5)


def keep_prompt(_passed_s):
    """Return the delay of a link that is not full."""
    return 0.03


def work_long(_passed_s):
    """Return the delay of a target that works on each request for long."""
    return 0.25


def find_broken(ways):
    """Return an objection if flows of live targets were reset."""
    reset = sum(len(way.resets) for way in ways)
    return [f'{reset} flows of live targets were reset'] if reset else []


def play_full_link():
    """The link of an instance fills, and all its callers repeat."""
    way = SlowWay(grow_delay)
    for _ in range(int(ENDS_S / STEP_S)):
        way.run_step()
    return find_broken([way])


def play_witnesses_with_full_links():
    """Three instances with full links tell a fourth one what they see.

    Callers of the fourth read what they have got, so that no answer shows
    there.
    """
    ways = [SlowWay(grow_delay, seed=seed) for seed in (1, 2, 3)]
    idle = SlowWay(keep_prompt, seed=4)
    ways.append(idle)
    for rank, way in enumerate(ways):
        way.desk.engine.note_other_instances(
            {}, len(ways), report_interval_s=1, rank=rank
        )
    idle._events = idle._events[:FLOWS]
    for _ in range(int(ENDS_S / STEP_S)):
        for way in ways:
            way.run_step()
        reset = tell_evidence([way.desk for way in ways])
        for way, callers in zip(ways, reset, strict=True):
            way.resets |= callers
    return find_broken([idle])


def play_full_target():
    """A full target answers no opening; its open flows are idle."""
    desk = Desk()
    desk.set_routes(make_route('search'))
    desk.set_targets(TARGETS[0])
    for caller in range(40001, 40005):
        desk.send(caller, TARGETS[0], ack=1)
        desk.send(caller, TARGETS[0], ack=500)
    desk.pass_time(2)
    found = []
    for wait, copy in ((0, 0), (0.2, 1), (0.4, 2)):
        desk.pass_time(wait)
        for caller in range(41001, 41009):
            desk.open(caller, copy=copy)
        if desk.engine.take_lost_flows(desk.now):
            found.append('flows of a full target were reset')
    return found


def play_repeats_answered_after_cut():
    """A zone is cut off, and its targets answer when it is back."""
    far = tuple(make_target(number, zone='b') for number in range(21, 29))
    desk = Desk()
    desk.set_routes(make_route('search'))
    desk.set_targets(*TARGETS, *far)
    callers = {41001 + number: target for number, target in enumerate(far)}
    for caller, target in callers.items():
        desk.send(caller, target, ack=1)
    desk.pass_time(2)
    for wait in (0, *CUT_REPEATS_S):
        desk.pass_time(wait)
        desk.confirm()
        for caller, target in callers.items():
            desk.send(caller, target, ack=1, size=100)
    desk.pass_time(0.35)
    found = []
    for caller, target in callers.items():
        desk.send(caller, target, ack=900)
        if desk.engine.failure_detector.is_lossy(desk.now):
            found.append('the way here is blamed for a cut beyond it')
    return found[:1]


def drop_confirmed(way):
    """Leave out further repeats: a live target confirms the first one."""
    kept = []
    repeated = Counter()
    for event in sorted(way._events, key=lambda item: item[:2]):
        _, caller, _, size = event
        repeated[caller] = repeated[caller] + 1 if size else 0
        if repeated[caller] <= 2:
            kept.append(event)
    way._events = kept


def play_slow_targets():
    """All requests take longer than callers wait; one target crashes."""
    way = SlowWay(work_long)
    drop_confirmed(way)
    crashed = TARGETS[0]
    desk = way.desk
    for _ in range(int(CRASHES_S / STEP_S)):
        way.run_step()
    way._events = [item for item in way._events if item[2] is not crashed]
    begun = desk.now
    for number in range(FLOWS + 1):
        for after in (0, *REPEATS_S):
            at = begun + 0.1 * number + after
            way._events.append((at, 42001 + number, crashed, 100))
        desk.send(42001 + number, crashed, ack=1)
    for _ in range(int(LAPSES_S / STEP_S)):
        way.run_step()
        if crashed.name in desk.engine.list_silent_names():
            return []
    return ['a crashed target is trusted until its registration lapses']


def play_silence_under_overload():
    """Targets shed, and requests to one of them are lost on full links."""
    desk = start_desk()
    desk.engine.failure_detector.overloaded = True
    desk.pass_time(2)
    send_busy(desk)
    desk.engine.failure_detector.overloaded = False
    reset = list_reset(desk)
    return ['flows were reset on what too much load explains'] if reset else []


def play_few_flows_on_lossy_path():
    """Two callers of one instance lose all answers for a second.

    The targets answer the callers of the other instance of the zone.
    """
    far = tuple(make_target(number, zone='b') for number in (21, 22))
    few, other = desks = [Desk(seed=seed) for seed in (1, 2)]
    for rank, desk in enumerate(desks):
        desk.set_routes(make_route('search'))
        desk.set_targets(*far)
        desk.engine.note_other_instances({}, 2, 1, rank)
    flows = (40001, far[0]), (40002, far[0]), (40003, far[0]), (40004, far[1])
    for caller, target in flows:
        few.send(caller, target, ack=1)
    events = [
        (begun + after, few, caller, target, 1, 100)
        for begun, (caller, target) in ((2, flows[0]), (2.1, flows[3]))
        for after in (0, *REPEATS_S)
    ]
    for number, target in enumerate(far):
        other.send(41001 + number, target, ack=1)
        events += _plan_served(other, 41001 + number, target, 0.15 * number)
    return find_broken([_play_events(desks, events)])


def _plan_served(desk, caller, target, begun):
    """Plan requests that are answered at once.

    :returns: list of events as of :func:`_play_events`.
    """
    events = []
    for number in range(int((LOSSY_ENDS_S - begun) / SERVED_S)):
        at = begun + SERVED_S * number
        ack = 1 + 500 * number
        events.append((at, desk, caller, target, ack, 100))
        events.append((at + 0.03, desk, caller, target, ack + 500, 0))
    return events


def _play_events(desks, events):
    """Play packets, and what instances tell each other of them.

    :param events: tuples (time, desk, caller, target, acknowledgement, size).
    :returns: object with the callers whose flows were reset.
    """
    events = sorted(events, key=lambda event: event[0])
    resets = set()
    for step in range(int(LOSSY_ENDS_S / SMALL_STEP_S)):
        for desk in desks:
            desk.pass_time(SMALL_STEP_S)
            desk.confirm()
        while events and events[0][0] <= step * SMALL_STEP_S:
            _, desk, caller, target, ack, size = events.pop(0)
            effect = desk.send(
                caller, target, ack=ack, size=size, seq=1000 + ack
            )
            if isinstance(effect, Reset):
                resets.add(caller)
        resets.update(*tell_evidence(desks))
    return SimpleNamespace(resets=resets)
