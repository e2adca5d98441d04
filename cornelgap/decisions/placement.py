"""Assignment of flows to targets, and rebalancing between targets.

A service has few targets with few slots each, shared by six entry instances
that do not coordinate.  Flows last for hours, so a bad assignment has a
lasting effect.  An instance's own counts of flows and requests in flight are
current, and no other instance reacts to them.  Load reported by targets is
late, and all instances react to it at the same time.  The score of a target
is therefore based on own counts; reports only correct it, their influence
decays, and no report alone can make a target attractive.
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

_IN_FLIGHT_WEIGHT = 0.3
"""Weight of one request in flight per slot, relative to a mean share of flows.

docs/DECISIONS.md has the measurements behind it."""

_OTHER_ZONE_PENALTY = 0.02
"""Score added to targets in other zones, in mean shares of flows.

Crossing zones adds 0.5 ms each way to the 3 ms to the caller, so the penalty
decides only between nearly equal targets."""

_SLOWNESS_THRESHOLD = 1.25
"""The mean time of ten requests varies by this factor by chance."""

_MAX_SLOWNESS = 8.0

_PANIC_THRESHOLD = 0.5
"""If a smaller share of targets is healthy, flows are spread over all."""

_MIN_IMBALANCE_S = 5.0
"""How long an imbalance must last before flows are moved.

An imbalance caused by a burst of new flows evens out by itself."""

_IMBALANCE_TOLERANCE = 0.1
"""Difference in mean shares of flows that an imbalance weight of 1 allows."""

_REBALANCING_MOVES_PER_S = 5.0
"""Limit on moves that only mend an imbalance.

Mending an imbalance that would last for hours may take a minute; handing
over a feed needlessly is the greater loss."""

_CONN_HEADROOM = 1.25
"""Factor on this instance's even share of a target's connections.

The fabric spreads flows unevenly over instances.  Targets refuse connections
beyond their own limit themselves."""


_NO_TARGETS = frozenset()


class TargetState(enum.Enum):
    """State of a target as placement sees it.

    Cold targets get a reduced share of new flows.  Ejected, draining and gone
    targets get none and their flows move away, except that ejected ones stay
    in use below the panic threshold.
    """

    ACTIVE = 'active'
    COLD = 'cold'
    EJECTED = 'ejected'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Move:
    """A request to move one flow, whichever, to another target.

    :param from_target: name of its current target.
    :param to_target: name of its new target.
    """

    from_target: str
    to_target: str


@dataclass(frozen=True, slots=True)
class TargetView:
    """State and load of one target, for the status report."""

    target: str
    state: TargetState
    in_flight: int
    flows: int


class Placement:
    """Assigns the flows of one service on one entry instance to targets.

    :param service: its :class:`~cornelgap.core.settings.ServiceCfg`.
    :param zone: availability zone of this instance.
    :param rng: random generator.
    """

    def __init__(self, service, zone, rng):
        """Start with all targets of the configuration, treated as warm."""
        self._zone = zone
        self._rng = rng
        self._instances = 1
        self._health = Health(rng)
        self._loads = {}
        self._imbalanced_since = None
        self._pacer = Pacer(_REBALANCING_MOVES_PER_S, 1)
        self._apply_cfg(service, None)

    @classmethod
    def from_cfg(cls, service, zone, rng):
        """Build the placement of one service for an instance in a zone."""
        return cls(service, zone, rng)

    def adopt_cfg(self, service, now):
        """Adopt a newer configuration; targets new in it start cold."""
        self._apply_cfg(service, now)

    def set_instances(self, count):
        """Set how many entry instances share the targets' connections."""
        self._instances = max(1, count)

    def choose_target(self, now, exclude=_NO_TARGETS):
        """Choose the target of a new or moved flow.

        :param now: seconds.
        :param exclude: names of targets that must not be chosen.
        :return: a name, or None if no target can take a flow.
        """
        names = self._list_eligible(now, exclude)
        if not names:
            return None
        scores = self._compute_scores(now, names)
        lowest = min(scores.values())
        return self._rng.choice(
            [name for name, score in scores.items() if score == lowest]
        )

    def note_flow(self, target, change):
        """Count a flow that was pinned (+1) or released (-1)."""
        load = self._loads.get(target)
        if load is not None:
            load.flows = max(0, load.flows + change)
            self._remove_if_gone(target)

    def note_start(self, target, now):
        """Count a request that was sent to a target."""
        load = self._loads.get(target)
        if load is not None:
            load.note_in_flight(now, 1)

    def note_end(self, target, now, ended, took_s):
        """Record the end of a request.

        :param ended: a :class:`~cornelgap.decisions.ends.CallEnd`.
        :param took_s: seconds since the flow's home instance received it.
            Includes the time queued there: a target with a busy flow answers
            each request as fast as usual while that queue grows.
        """
        load = self._loads.get(target)
        if load is not None:
            load.note_in_flight(now, -1)
            if ended in _TIMED_ENDS:
                load.durations.add(took_s)
            self._health.note_end(target, now, ended)

    def note_report(self, target, now, in_flight, waiting, slots, draining):
        """Record the load that a target reported with an answer."""
        load = self._loads.get(target)
        if load is not None:
            load.note_report(now, in_flight + waiting)
            load.reports_draining = draining

    def choose_moves(self, now, limit):
        """Choose at most ``limit`` flows to move, make before break.

        Flows on draining or failing targets come first.  An imbalance is
        mended only after it has lasted for a while, and at a limited rate.

        :return: a list of :class:`Move`; call again for more, at the pace
            that moves can be made.
        """
        moves = self._choose_evacuations(now, limit)
        if not moves:
            moves = self._choose_rebalancing(now, limit)
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

    def _apply_cfg(self, service, now):
        self._imbalance_weight = service.imbalance_weight
        self._targets = dict(service.targets)
        for name, target in self._targets.items():
            load = self._loads.get(name)
            if load is None:
                load = TargetLoad(target.slots, since=now)
                self._loads[name] = load
            load.slots = max(1, target.slots)
        for name in tuple(self._loads):
            self._remove_if_gone(name)

    def _remove_if_gone(self, name):
        load = self._loads[name]
        if name not in self._targets and not load.flows:
            self._loads.pop(name)
            self._health.forget(name)

    def _read_state(self, name, now):
        target = self._targets.get(name)
        if target is None:
            return TargetState.GONE
        state = self._read_serving_state(name, now)
        if (
            state is TargetState.ACTIVE
            and self._compute_ramp_share(name, now) < 1
        ):
            return TargetState.COLD
        return state

    def _read_serving_state(self, name, now):
        """Return the state of a target, with ACTIVE instead of COLD.

        Runs for each target whenever a flow is opened.  The ramp-up of a
        cold target affects only its score and is computed there, once.
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

    def _compute_ramp_share(self, name, now):
        since = self._loads[name].since
        returned = self._health.read_ejection_end(name)
        if since is None and returned is None:
            return 1.0
        return min(compute_share(now, since), compute_share(now, returned))

    def _list_eligible(self, now, exclude):
        states = {
            name: self._read_serving_state(name, now)
            for name in self._targets
            if name not in exclude
        }
        serving = {
            name: state
            for name, state in states.items()
            if state is not TargetState.DRAINING
            and self._loads[name].flows < self._limit_flows(name)
        }
        reachable = self._exclude_failed_zones(serving)
        healthy = [
            name
            for name, state in reachable.items()
            if state is not TargetState.EJECTED
        ]
        if len(healthy) < _PANIC_THRESHOLD * len(reachable):
            # If most targets look bad, the cause is more likely overload or
            # this instance itself, and the last good target would be flooded.
            return list(reachable)
        return healthy

    def _exclude_failed_zones(self, serving):
        # A network partition between zones makes all targets of the other
        # zones look bad at once.  The panic threshold would then send most
        # flows to unreachable targets.  Good targets in the own zone show
        # that this instance is not the cause.
        failed_zones = {self._targets[name].zone for name in serving}
        failed_zones -= {
            self._targets[name].zone
            for name, state in serving.items()
            if state is not TargetState.EJECTED
        }
        own_zone_good = any(
            self._targets[name].zone == self._zone
            and self._zone not in failed_zones
            for name in serving
        )
        if not own_zone_good:
            return serving
        return {
            name: state
            for name, state in serving.items()
            if self._targets[name].zone not in failed_zones
        }

    def _limit_flows(self, name):
        conns = self._targets[name].conns
        if self._instances == 1:
            return conns
        return math.ceil(conns / self._instances * _CONN_HEADROOM)

    def _compute_scores(self, now, names, in_flight_weight=_IN_FLIGHT_WEIGHT):
        """Return the score of each target; the lowest gets the next flow."""
        loads = {name: self._loads[name] for name in names}
        flows = sum(load.flows for load in loads.values())
        slots = sum(load.slots for load in loads.values())
        mean_flows = max(flows / slots, 1 / slots)
        others = sum(load.other_requests for load in loads.values()) / slots
        scores = {}
        median_took = self._compute_median_took(loads)
        for name, load in loads.items():
            slowness = _compute_slowness(load, median_took)
            share = load.slots / slowness
            # Ejected targets are only scored below the panic threshold.
            if self._read_state(name, now) is not TargetState.EJECTED:
                share *= self._compute_ramp_share(name, now)
            in_flight_per_slot = (
                load.estimate(now, others * load.slots) / load.slots
            )
            score = (load.flows + 1) / share / mean_flows
            score += in_flight_weight * in_flight_per_slot
            if self._targets[name].zone != self._zone:
                score += _OTHER_ZONE_PENALTY
            scores[name] = score
        return scores

    def _compute_median_took(self, loads):
        known = [load.durations.read(0) for load in loads.values()]
        return statistics.median(known) if all(known) else 0

    def _choose_evacuations(self, now, limit):
        moves = []
        eligible = set(self._list_eligible(now, _NO_TARGETS))
        for name, load in sorted(self._loads.items()):
            if name in eligible or not eligible:
                continue
            if self._read_state(name, now) in _HEALTHY_STATES:
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
            # Counted for now, so that the next choice sees this move.
            self._loads[to_target].flows += 1
        for move in moves:
            self._loads[move.to_target].flows -= 1
        return moves

    def _choose_rebalancing(self, now, limit):
        names = self._list_eligible(now, _NO_TARGETS)
        if len(names) < 2 or self._imbalance_weight <= 0:
            return []
        # Requests in flight change within a second and would cause moves of
        # flows that are meant to stay, so only flows are compared.
        scores = self._compute_scores(now, names, in_flight_weight=0)
        highest = max(names, key=scores.get)
        lowest = min(names, key=scores.get)
        # Compares the highest with the lowest score, not with the mean: a
        # newly joined target is far below the mean while the others are
        # hardly above it.
        gap = scores[highest] - scores[lowest]
        bound = _IMBALANCE_TOLERANCE / self._imbalance_weight
        if gap <= bound or self._loads[highest].flows < 2:
            self._imbalanced_since = None
            return []
        if self._imbalanced_since is None:
            self._imbalanced_since = now
        lasted = now - self._imbalanced_since >= _MIN_IMBALANCE_S
        if limit < 1 or not lasted or not self._pacer.take(now, urgent=True):
            return []
        return [Move(highest, lowest)]


def _compute_slowness(load, median_took):
    """Return how many times slower than usual a target answers, 1 to 8.

    Each flow on the target counts this many times.  A target that is slow,
    cold, or has a busy flow gets fewer new flows and loses some of its own.
    """
    if not median_took:
        return 1.0
    ratio = load.durations.read(median_took) / median_took
    # Continuous at the threshold: with a jump there, each answer could move
    # a flow.
    return min(1 + max(0, ratio - _SLOWNESS_THRESHOLD), _MAX_SLOWNESS)


_TIMED_ENDS = frozenset((CallEnd.OK, CallEnd.TIMEOUT))
_HEALTHY_STATES = frozenset((TargetState.ACTIVE, TargetState.COLD))
