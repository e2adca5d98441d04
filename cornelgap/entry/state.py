"""State of the flow engine: plain data that its modules read and change.

One instance of :class:`EntryState` belongs to exactly one task.  The
modules beside this one hold the functions; none of them has a socket, a
clock or a thread.
"""

import random
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from cornelgap.core.settings import Cfg, TargetMode
from cornelgap.core.verdicts import Verdict
from cornelgap.decisions.admission import Admission
from cornelgap.decisions.membership import Membership
from cornelgap.decisions.pacing import Pacer
from cornelgap.decisions.placement import Placement
from cornelgap.decisions.retry import RetryBudget
from cornelgap.decisions.shedding import Shedder

REHOME_RATE = 400
"""Flows re-homed a second by one instance.  One death among six instances
with 20,000 live flows is then over in 10 s on the five others, at a tenth
of the opens that an instance carries."""

REHOME_BURST = 200
REPIN_RATE = 200
"""Feeds moved off leaving targets a second by one instance: 600 feeds on a
target are moved within the three seconds that users allow."""

REPIN_BURST = 100


@dataclass(slots=True)
class Kept:
    """What is known of one request id.

    :param deadline: on the engine's clock, seconds.
    :param arrived: when it first came to this home, on the same clock.
    :param call_id: 0 while no call runs.
    :param verdict: None until the request has ended.
    :param ended_at: time of the verdict.
    :param doubtful: an earlier attempt under this id may have run.
    """

    number: int
    payload: bytes
    idempotent: bool
    long_job: bool
    deadline: float
    arrived: float = 0
    target: str = ''
    call_id: int = 0
    verdict: Verdict | None = None
    ended_at: float = 0
    answer: object = None
    doubtful: bool = False


@dataclass(slots=True)
class Feed:
    """One live feed of a flow.

    :param base: position of ``events[0]``, the first not acknowledged.
    :param events: payloads not acknowledged yet.
    :param sent_at: time of the last sending of each of them.
    :param cursor: next position never sent to the caller.
    :param call_id: call that brings the feed, 0 if none.
    :param old_call_id: call on a leaving target that ends once the new one
        has brought its first event.
    :param heard_at: last time that the caller spoke of it.
    :param retry_at: earliest time of the next attempt to follow.
    """

    number: int
    topic: bytes
    base: int
    cursor: int
    credit: int = 32
    events: list = field(default_factory=list)
    sent_at: list = field(default_factory=list)
    ahead: int = 0
    target: str = ''
    call_id: int = 0
    old_call_id: int = 0
    heard_at: float = 0
    retry_at: float = 0
    backoff: float = 0


@dataclass(slots=True)
class Flow:
    """What the home keeps of one flow in one id space.

    :param key: flow id and epoch, 24 bytes.
    :param caller: the caller's address, packed by :func:`pack_address`; a
        pair of host and port would take 100 bytes more for each flow.
    :param top: highest request number seen.
    :param seen: bitmap of the numbers below it.
    :param expiry: when its newest token expires, seconds on this clock.
    :param moved_to: successor that owns the flow now, empty if this one.
    :param renew: a new token must go out with the next reply.
    """

    key: bytes
    service: str
    target: str
    caller: bytes
    expiry: float
    top: int = 0
    seen: int = 0
    kept: dict | None = None
    feeds: dict | None = None
    moved_to: str = ''
    renew: bool = False
    closed: bool = False

    @property
    def address(self):
        """Give the caller's address as ``(host, port)``."""
        host, _, port = self.caller.decode().rpartition(':')
        return host, int(port)


@dataclass(slots=True)
class Call:
    """Whom a call to a target belongs to."""

    key: bytes
    number: int
    target: str
    started: float
    feed: bool


@dataclass
class EntryState:
    """All state of one entry instance's flow engine.

    :param name: name of the instance.
    :param boot: nonce of this process.
    :param flows: flow by key.
    :param calls: call by call id.
    :param live_feeds: (flow key, number) of each live feed.
    :param waiting: (flow key, number) of requests that admission holds.
    :param leaving_targets: targets that must get no new work.
    :param incarnations: target's incarnation, learnt from its answers.
    :param waited_s: how long the datagrams handled now lay in their socket.
    :param recent_opens: (time, service, target) of opens of the last
        seconds, which count as flows until their first use can show.
    :param moves: targets that flows of a target should move to, by name.
    :param untold: (due time, flow key) of flows taken over whose callers may
        have missed their new token.
    :param effects: what the surroundings must do, in order.
    """

    name: str
    zone: str
    boot: int
    rng: random.Random
    membership: Membership
    api: str = ''
    cfg: Cfg = field(default_factory=Cfg)
    flows: dict = field(default_factory=dict)
    calls: dict = field(default_factory=dict)
    live_feeds: dict = field(default_factory=dict)
    waiting: dict = field(default_factory=dict)
    open_requests: int = 0
    placements: dict = field(default_factory=dict)
    admissions: dict = field(default_factory=dict)
    budgets: dict = field(default_factory=dict)
    leaving_targets: set = field(default_factory=set)
    listed_leaving: frozenset = frozenset()
    incarnations: dict = field(default_factory=dict)
    effects: list = field(default_factory=list)
    counters: Counter = field(default_factory=Counter)
    waited_s: float = 0
    shedder: Shedder = field(default_factory=Shedder)
    recent_opens: deque = field(default_factory=deque)
    moves: dict = field(default_factory=dict)
    next_round_at: float = 0
    next_sweep_at: float = 0
    untold: deque = field(default_factory=deque)
    moves_turn: list = field(default_factory=list)
    next_moves_at: float = 0
    alive_sent: dict = field(default_factory=dict)
    next_call_id: int = 1
    leaving: bool = False
    handed_at: float = 0
    batches: dict = field(default_factory=dict)
    next_batch_id: int = 1
    feed_keys: list = field(default_factory=list)
    sweep_keys: list = field(default_factory=list)
    # Ordered by the time of the end.  A plain dict keeps the holes of what
    # was taken from its front and walks over them to find the first item,
    # which for many ended requests takes all of the actor's time.
    kept_ended: OrderedDict = field(default_factory=OrderedDict)
    rehome_pacer: Pacer = field(
        default_factory=lambda: Pacer(REHOME_RATE, REHOME_BURST)
    )
    repin_pacer: Pacer = field(
        default_factory=lambda: Pacer(REPIN_RATE, REPIN_BURST)
    )

    def take_effects(self):
        """Hand over the collected effects and start anew."""
        taken = self.effects
        self.effects = []
        return taken


def adopt_cfg(state, now, cfg):
    """Put a configuration in force; an older or equal one is ignored.

    A watch can deliver late and a lagging store can answer with an old
    value.  Adopting it would bring back targets that have left, which an
    operator would see as a revision that falls.  Only rising ones pass,
    and those of a later era of the platform's store.

    :returns: whether it was adopted.
    """
    if cfg.stamp <= state.cfg.stamp:
        return False
    state.cfg = cfg
    for name, service in cfg.services.items():
        _adopt_service(state, now, name, service)
    for name in list(state.placements):
        if name not in cfg.services:
            state.placements.pop(name)
            state.budgets.pop(name)
    update_leaving(state)
    return True


def _adopt_service(state, now, name, service):
    if name in state.placements:
        state.placements[name].adopt_cfg(service, now)
        state.admissions[name].adopt_cfg(service)
        return
    rng = random.Random(state.rng.getrandbits(64))
    state.placements[name] = Placement.from_cfg(service, state.zone, rng)
    state.admissions[name] = Admission.from_cfg(service, rng)
    state.budgets[name] = RetryBudget.from_cfg(service)


def update_leaving(state):
    """Recompute which targets must get no new work."""
    draining = {
        target.name
        for service in state.cfg.services.values()
        for target in service.targets.values()
        if target.mode is TargetMode.DRAINING
    }
    state.leaving_targets = draining | state.listed_leaving


def make_key(flow_id, epoch):
    """Make the key of a flow in one id space."""
    return flow_id + epoch.to_bytes(8, 'big')


def split_key(key):
    """Split a flow key into (flow id, epoch)."""
    return key[:16], int.from_bytes(key[16:], 'big')


def pack_address(address):
    """Pack a caller's address ``(host, port)`` for keeping in a flow."""
    return f'{address[0]}:{address[1]}'.encode()


def count_event(state, name):
    """Count something for the metrics."""
    state.counters[name] += 1
