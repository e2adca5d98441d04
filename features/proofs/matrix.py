"""The fault matrix as data: every step of every protocol, every fault.

A cell is run in the small world: the script brings the step about, a hook
sees its first occurrence and strikes at that moment, the world calms down,
and the checkers judge.  A cell whose step was never seen fails, since it
has proved nothing.
"""

from dataclasses import dataclass, field

from features.proofs import faults
from features.proofs.entry_node import EntryNode
from features.proofs.fake_target import Target
from features.proofs.world import World

WARM_S = 0.4
ACT_S = 4.5
AGAIN_S = 0.4
STRIKE_DELAYS = (0, 0.004)
"""Just before the step's packet arrives, or just after."""


def _do_nothing(world):
    pass


def _open_another(world):
    world.start_caller(9, 'booking')


def _slow_targets(world):
    for target in list(world.targets.values()):
        target.late_s = 0.8
        world.loop.at(1.2, setattr, target, 'late_s', 0)


def _find_home(world):
    homes = [world.find_home(one) for one in world.callers.values()]
    return next(home for home in homes if home is not None)


def _kill_one(world):
    _find_home(world).kill()
    world.loop.at(1, world.start_entry, 'e8')


def _leave_one(world):
    node = _find_home(world)
    world.loop.at(1, world.start_entry, 'e8')
    world.fabric.ask_hooks('leave', (node,))
    node.leave()


def _drain_one(world):
    flow = next(iter(_find_home(world).engine.state.flows.values()))
    world.drain_target(flow.target)


def _publish_one(world):
    world.publish(lambda cfg: cfg)


def _rotate_key(world):
    world.fabric.ask_hooks('key rotation', ())
    world.rotate_key()


def _join_one(world):
    node = world.start_entry('e8')
    world.fabric.ask_hooks('join', (node,))


STEPS = {
    'open': _open_another,
    'relay': _do_nothing,
    'admit': _slow_targets,
    'send to target': _do_nothing,
    'answer': _do_nothing,
    'chunk': _do_nothing,
    'feed chunk': _do_nothing,
    'acknowledge': _do_nothing,
    'outcome query': _slow_targets,
    're-home': _kill_one,
    'handover': _leave_one,
    're-pin': _drain_one,
    'configuration publish': _publish_one,
    'adopt': _publish_one,
    'fan-out': _publish_one,
    'key rotation': _rotate_key,
    'join': _join_one,
    'leave': _leave_one,
}
"""Step name to the script that brings it about."""

FREQUENT_STEPS = ('relay', 'chunk', 'feed chunk', 'acknowledge')
ALL_FAULTS = (*faults.PACKET_FAULTS, *faults.WORLD_FAULTS)

_ONE_STREAM = 'one gRPC stream delivers in order and once'
_OWN_ROWS = 'is made of steps that have rows of their own'
_WRITE = 'a write is a call; its loss is "write applied, answer lost"'
_NEWER_WINS = 'revisions in another order are the fault "platform stale"'

NOT_APPLICABLE = {
    **{
        (step, f'packet {how}'): _ONE_STREAM
        for step in ('send to target', 'answer', 're-pin')
        for how in ('doubled', 'reordered')
    },
    ('handover', 'packet reordered'): _ONE_STREAM,
    **{
        (step, fault): _OWN_ROWS
        for step in ('key rotation', 'join', 'leave')
        for fault in faults.PACKET_FAULTS
    },
    **{
        ('configuration publish', fault): _WRITE
        for fault in faults.PACKET_FAULTS
    },
    ('adopt', 'packet reordered'): _NEWER_WINS,
    ('fan-out', 'packet reordered'): _NEWER_WINS,
}
"""Cells that mean nothing, each with the reason."""


@dataclass(frozen=True, slots=True)
class Cell:
    """One cell: a step, and one or two faults that strike at it."""

    step: str
    faults: tuple

    def find_reason(self):
        """Give the reason why the cell does not apply, or nothing."""
        reasons = [
            NOT_APPLICABLE.get((self.step, fault), '') for fault in self.faults
        ]
        return next((reason for reason in reasons if reason), '')


@dataclass(slots=True)
class Outcome:
    """What a cell's run showed.

    :param struck: how often its faults have struck.
    """

    cell: Cell
    seed: int
    struck: int
    found: dict = field(default_factory=dict)


class _Striker:
    """Hook that strikes when the step is seen."""

    def __init__(self, world, cell):
        self.world = world
        self.step = cell.step
        self.left = list(cell.faults)
        self.struck = 0
        self.ready_at = 0

    def see(self, step, args):
        """See a packet or call; return the fault of this packet, if any."""
        if step != self.step or not self.left:
            return None
        if self.struck and self.world.loop.now < self.ready_at:
            return None
        fault = self._take_fault()
        if fault in faults.PACKET_FAULTS:
            return faults.PACKET_FAULTS[fault]
        delay = self.world.rng.choice(STRIKE_DELAYS)
        self.world.loop.at(delay, self._strike, fault, args)
        return None

    def _take_fault(self):
        self.struck += 1
        self.ready_at = self.world.loop.now + AGAIN_S
        fault = self.left.pop(0)
        if self.left and self.left[0] not in faults.PACKET_FAULTS:
            # The second fault comes while the first is being repaired,
            # whether or not the step is seen again.
            self.world.loop.at(AGAIN_S, self._strike_again)
        return fault

    def _strike_again(self):
        self.struck += 1
        self._strike(self.left.pop(0), ())

    def _strike(self, fault, args):
        ctx = _make_context(self.world, args)
        if ctx is not None:
            faults.WORLD_FAULTS[fault](self.world, ctx)


def _make_context(world, args):
    """Name the entry instance and the target that a step concerns."""
    names = [item.name for item in args if isinstance(item, EntryNode)]
    names += [
        item.partition(':')[0]
        for item in args
        if isinstance(item, str) and item.partition(':')[0] in world.nodes
    ]
    alive = [name for name in names if world.nodes[name].alive]
    alive = alive or [it.name for it in world.nodes.values() if it.alive]
    if not alive:
        return None
    targets = [item.name for item in args if isinstance(item, Target)]
    targets = targets or [
        item.name for item in world.targets.values() if '9' not in item.name
    ]
    return faults.Context(world.rng.choice(alive), world.rng.choice(targets))


def list_single_cells():
    """List every step with every fault once."""
    return [Cell(step, (fault,)) for step in STEPS for fault in ALL_FAULTS]


def list_double_cells():
    """List each fault twice, and each pair, each at one step in turn."""
    pairs = [
        (one, two)
        for index, one in enumerate(ALL_FAULTS)
        for two in ALL_FAULTS[index:]
    ]
    cells = []
    for index, pair in enumerate(pairs):
        # A second packet fault needs a step that is seen again and again.
        packets = pair[1] in faults.PACKET_FAULTS
        steps = FREQUENT_STEPS if packets else tuple(STEPS)
        # The next step at which the pair applies, so that none is lost.
        for more in range(len(steps)):
            cell = Cell(steps[(index + more) % len(steps)], pair)
            if not cell.find_reason():
                cells.append(cell)
                break
    return cells


def run_cell(cell, seed):
    """Run one cell.

    :returns: its :class:`Outcome`.
    """
    world = World(seed, callers=3)
    striker = _Striker(world, cell)
    try:
        world.run(WARM_S)
        world.fabric.hooks.append(striker.see)
        STEPS[cell.step](world)
        world.run(ACT_S)
        world.fabric.hooks.clear()
        found = world.finish()
        return Outcome(cell, seed, striker.struck, found)
    finally:
        world.close()


def sweep(cells, seed):
    """Run all cells that apply.

    :returns: (outcomes, cells that do not apply).
    """
    skipped = [cell for cell in cells if cell.find_reason()]
    outcomes = [
        run_cell(cell, seed + index)
        for index, cell in enumerate(cells)
        if not cell.find_reason()
    ]
    return outcomes, skipped
