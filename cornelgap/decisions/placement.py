"""On which target a flow is placed, and when it is moved.

Load pattern: few targets with few slots, shared by six entries that do not
coordinate; flows live for hours, so a bad choice lasts.  What an entry
knows first-hand (its own flows and requests in flight) is fresh and nobody
else acts on it; reports of targets are late, and everybody acts on them.
So own counts lead, reports correct them and fade, and no report can make a
target attractive by itself.
"""

import enum
import math
import statistics
from dataclasses import dataclass

from cornelgap.core.settings import TargetMode
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.health import Health, HealthState
from cornelgap.decisions.pacing import Pacer
from cornelgap.decisions.slowstart import compute_share
from cornelgap.decisions.targetload import TargetLoad

_LOAD_WEIGHT = 0.3
"""How much one request in flight per slot counts against a mean share of
flows; measured in docs/DECISIONS.md."""

_ZONE_COST = 0.02
"""What another zone costs, in mean shares of flows: 0.5 ms more each way
against 3 ms to the caller, so it decides only between near equals."""

_MIN_SLOWNESS = 1.25
"""The mean of ten requests varies by this much without a cause."""

_MAX_SLOWNESS = 8.0

_PANIC_SHARE = 0.5
"""Fewer trusted targets than this share: spread over all of them."""

_HOLD_S = 5.0
"""How long an imbalance must last; a burst of opens evens out by itself."""

_TOLERANCE = 0.1
"""Gap, in mean shares of flows, that a weight of 1 leaves alone."""

_MOVES_PER_S = 5.0
"""An imbalance of hours may take a minute to mend; a feed handed over for
nothing is the worse loss."""

_CONN_SLACK = 1.25
"""The fabric spreads flows unevenly; a target refuses the rest itself."""


_NOBODY = frozenset()


class TargetState(enum.Enum):
    """What placement does with a target."""

    ACTIVE = 'active'
    COLD = 'cold'
    EJECTED = 'ejected'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Move:
    """One flow, any, that should get a new target.

    :param from_target: its target now.
    :param to_target: its next target.
    """

    from_target: str
    to_target: str


@dataclass(frozen=True, slots=True)
class TargetView:
    """One target as status shows it."""

    target: str
    state: TargetState
    in_flight: int
    flows: int


class Placement:
    """Targets of one service as one entry instance sees and uses them.

    :param service: its :class:`~cornelgap.core.settings.ServiceCfg`.
    :param zone: availability zone of this instance.
    :param rng: generator.
    """

    def __init__(self, service, zone, rng):
        """Start with all targets of the configuration, taken as warm."""
        self._zone = zone
        self._rng = rng
        self._instances = 1
        self._health = Health(rng)
        self._loads = {}
        self._imbalanced_since = None
        self._pacer = Pacer(_MOVES_PER_S, 1)
        self._take_cfg(service, None)

    @classmethod
    def from_cfg(cls, service, zone, rng):
        """Build the placement of one service for an instance in a zone."""
        return cls(service, zone, rng)

    def adopt_cfg(self, service, now):
        """Adopt a newer configuration; targets new in it start cold."""
        self._take_cfg(service, now)

    def set_instances(self, count):
        """Say how many entry instances share the targets' connections."""
        self._instances = max(1, count)

    def choose_target(self, now, exclude=_NOBODY):
        """Choose the target of a new or moved flow.

        :param now: seconds.
        :param exclude: names not wanted.
        :return: a name, or None if no target may take a flow.
        """
        names = self._list_usable(now, exclude)
        if not names:
            return None
        scores = self._score(now, names)
        lowest = min(scores.values())
        return self._rng.choice(
            [name for name, score in scores.items() if score == lowest]
        )

    def note_flow(self, target, change):
        """Count a flow pinned (+1) or let go (-1) by this instance."""
        load = self._loads.get(target)
        if load is not None:
            load.flows = max(0, load.flows + change)
            self._drop_if_gone(target)

    def note_start(self, target, now):
        """Count a request that was sent."""
        load = self._loads.get(target)
        if load is not None:
            load.note_in_flight(now, 1)

    def note_end(self, target, now, ended, took_s):
        """Take in the end of a request.

        :param ended: a :class:`~cornelgap.decisions.ends.CallEnd`.
        :param took_s: seconds since its home received it.  The wait at home
            belongs to it: a target with a hot flow answers each request
            as usual while its queue grows.
        """
        load = self._loads.get(target)
        if load is not None:
            load.note_in_flight(now, -1)
            if ended in _TELLING_ENDS:
                load.took.add(took_s)
            self._health.note_end(target, now, ended)

    def note_report(self, target, now, in_flight, waiting, slots, draining):
        """Take in the load that a target stated with an answer."""
        load = self._loads.get(target)
        if load is not None:
            load.note_report(now, in_flight + waiting)
            load.reports_draining = draining

    def choose_moves(self, now, limit):
        """Choose flows to move, at most ``limit``, each make before break.

        Flows leave targets that drain or fail first; an imbalance is only
        mended once it has lasted, and slowly.

        :return: a list of :class:`Move`; call again as pace allows.
        """
        moves = self._choose_escapes(now, limit)
        if not moves:
            moves = self._choose_levelling(now, limit)
        return moves

    def describe(self, now):
        """Return a :class:`TargetView` of each target, by name."""
        return [
            TargetView(
                target=name,
                state=self._read_state(name, now),
                in_flight=load.in_flight,
                flows=load.flows,
            )
            for name, load in sorted(self._loads.items())
        ]

    def _take_cfg(self, service, now):
        self._weight = service.imbalance_weight
        self._targets = dict(service.targets)
        for name, target in self._targets.items():
            load = self._loads.get(name)
            if load is None:
                load = TargetLoad(target.slots, since=now)
                self._loads[name] = load
            load.slots = max(1, target.slots)
        for name in tuple(self._loads):
            self._drop_if_gone(name)

    def _drop_if_gone(self, name):
        load = self._loads[name]
        if name not in self._targets and not load.flows:
            self._loads.pop(name)
            self._health.forget(name)

    def _read_state(self, name, now):
        target = self._targets.get(name)
        if target is None:
            return TargetState.GONE
        state = self._read_serving(name, now)
        if state is TargetState.ACTIVE and self._read_share(name, now) < 1:
            return TargetState.COLD
        return state

    def _read_serving(self, name, now):
        """Give the state, with cold targets among the active ones.

        Each open asks this of each target; how cold one is matters only to
        its score, where it is worked out once.
        """
        target = self._targets[name]
        if (
            target.mode is TargetMode.DRAINING
            or self._loads[name].reports_draining
        ):
            return TargetState.DRAINING
        if self._health.read_state(name, now) is HealthState.EJECTED:
            return TargetState.EJECTED
        return TargetState.ACTIVE

    def _read_share(self, name, now):
        since = self._loads[name].since
        returned = self._health.read_returned_at(name)
        if since is None and returned is None:
            return 1.0
        return min(compute_share(now, since), compute_share(now, returned))

    def _list_usable(self, now, exclude):
        states = {
            name: self._read_serving(name, now)
            for name in self._targets
            if name not in exclude
        }
        serving = {
            name: state
            for name, state in states.items()
            if state is not TargetState.DRAINING
            and self._loads[name].flows < self._limit_flows(name)
        }
        lit = self._leave_out_dark_zones(serving)
        trusted = [
            name
            for name, state in lit.items()
            if state is not TargetState.EJECTED
        ]
        if len(trusted) < _PANIC_SHARE * len(lit):
            # Most look bad: then the fault is more likely load, or on our
            # own side, and the last good target would drown.
            return list(lit)
        return trusted

    def _leave_out_dark_zones(self, serving):
        # A cut between zones makes all targets of the other zones look bad
        # at once.  Without this the panic rule would send most flows into
        # the cut; the own zone's good targets show that we are not at fault.
        dark = {self._targets[name].zone for name in serving}
        dark -= {
            self._targets[name].zone
            for name, state in serving.items()
            if state is not TargetState.EJECTED
        }
        own_lit = any(
            self._targets[name].zone == self._zone and self._zone not in dark
            for name in serving
        )
        if not own_lit:
            return serving
        return {
            name: state
            for name, state in serving.items()
            if self._targets[name].zone not in dark
        }

    def _limit_flows(self, name):
        conns = self._targets[name].conns
        if self._instances == 1:
            return conns
        return math.ceil(conns / self._instances * _CONN_SLACK)

    def _score(self, now, names, load_weight=_LOAD_WEIGHT):
        """Return the score of each name; the lowest takes the next flow."""
        loads = {name: self._loads[name] for name in names}
        flows = sum(load.flows for load in loads.values())
        slots = sum(load.slots for load in loads.values())
        mean_flows = max(flows / slots, 1 / slots)
        others = sum(load.others for load in loads.values()) / slots
        scores = {}
        usual_took = self._read_usual_took(loads)
        for name, load in loads.items():
            slowness = _rate_slowness(load, usual_took)
            share = load.slots / slowness
            # An ejected target is only here when panic spreads flows.
            if self._read_state(name, now) is not TargetState.EJECTED:
                share *= self._read_share(name, now)
            busy = load.estimate(now, others * load.slots) / load.slots
            score = (load.flows + 1) / share / mean_flows
            score += load_weight * busy
            if self._targets[name].zone != self._zone:
                score += _ZONE_COST
            scores[name] = score
        return scores

    def _read_usual_took(self, loads):
        known = [load.took.read(0) for load in loads.values()]
        return statistics.median(known) if all(known) else 0

    def _choose_escapes(self, now, limit):
        moves = []
        usable = set(self._list_usable(now, _NOBODY))
        for name, load in sorted(self._loads.items()):
            if name in usable or not usable:
                continue
            if self._read_state(name, now) in _STAYING:
                continue
            moves += self._plan_moves(now, name, min(load.flows, limit))
            limit -= len(moves)
            if limit <= 0:
                break
        return moves

    def _plan_moves(self, now, name, count):
        moves = []
        for _ in range(count):
            to_target = self.choose_target(now, frozenset((name,)))
            if to_target is None:
                break
            moves.append(Move(name, to_target))
            # Counted at once, so that the next move sees this one.
            self._loads[to_target].flows += 1
        for move in moves:
            self._loads[move.to_target].flows -= 1
        return moves

    def _choose_levelling(self, now, limit):
        names = self._list_usable(now, _NOBODY)
        if len(names) < 2 or self._weight <= 0:
            return []
        # Requests in flight change within a second, flows are to stay.
        scores = self._score(now, names, load_weight=0)
        highest = max(names, key=scores.get)
        lowest = min(names, key=scores.get)
        # From highest to lowest, as a joined target is far below the mean
        # while the others are hardly above it.
        gap = scores[highest] - scores[lowest]
        bound = _TOLERANCE / self._weight
        if gap <= bound or self._loads[highest].flows < 2:
            self._imbalanced_since = None
            return []
        if self._imbalanced_since is None:
            self._imbalanced_since = now
        lasted = now - self._imbalanced_since >= _HOLD_S
        if limit < 1 or not lasted or not self._pacer.take(now, urgent=True):
            return []
        return [Move(highest, lowest)]


def _rate_slowness(load, usual_took):
    """Return how many times slower than usual a target answers, 1 to 8.

    Its flows then count as that many: a slow target, a cold one, or one
    with a hot flow, gets fewer new flows and gives up some that it has.
    """
    if not usual_took:
        return 1.0
    ratio = load.took.read(usual_took) / usual_took
    # Without a jump at the bound: there each answer would move a flow.
    return min(1 + max(0, ratio - _MIN_SLOWNESS), _MAX_SLOWNESS)


_TELLING_ENDS = frozenset((CallEnd.OK, CallEnd.TIMEOUT))
_STAYING = frozenset((TargetState.ACTIVE, TargetState.COLD))
