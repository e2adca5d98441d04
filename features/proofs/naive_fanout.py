"""Fan-out beside "everyone reads the platform": nobody ends up elsewhere."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cornelgap.core.control import ControlView, Instance, PeerRevision
from cornelgap.core.stamps import Stamp
from cornelgap.entry import distribution as parts

NAMES = ('e1', 'e2', 'e3', 'e4')
TURN_S = 0.1
SETTLE_S = 40.0
"""Longer than the longest wait of a read that failed."""


class FanoutMachine(RuleBasedStateMachine):
    """Four entries under publications, outages, cuts, pauses, dead watches."""

    def __init__(self):
        """Begin with revision 1 at the platform and nobody knowing it."""
        super().__init__()
        self.now = 0.0
        self.published = [Stamp(1, 1)]
        self.down = False
        self.stale = False
        self.deaf = False
        self.alone = self.paused = frozenset()
        self.dists = {
            name: parts.Distribution.from_settings(
                name, 'z1', random.Random(name)
            )
            for name in NAMES
        }
        self.before = dict.fromkeys(NAMES, Stamp())
        self.watching = set()

    def is_reachable(self, name):
        """Say whether an entry reaches the platform."""
        return not self.down and name not in self.alone

    def take_turn(self):
        """Let each entry act once."""
        self.now += TURN_S
        for name, dist in self.dists.items():
            if name in self.paused:
                continue
            others = [
                one
                for one in NAMES
                if one != name and (one in self.alone) == (name in self.alone)
            ]
            live = tuple(Instance(one, 'z1', f'{one}:1', one) for one in others)
            ahead = tuple(
                PeerRevision(one, one, self.dists[one].stamp)
                for one in others
                if self.dists[one].stamp > dist.stamp
            )
            dist.note_view(self.now, ControlView(dist.stamp, ahead, live=live))
            for action in dist.decide(self.now):
                self.carry_out(name, dist, action)
            dist.take_ripe(self.now)

    def carry_out(self, name, dist, action):
        """Carry out one action, as far as the faults allow."""
        if isinstance(action, parts.ReadPlatform):
            found = None
            if self.is_reachable(name):
                found = self.published[-2:][0 if self.stale else -1]
            dist.note_read(self.now, found, found)
        elif isinstance(action, parts.FetchPeer):
            cut = (action.name in self.alone) != (name in self.alone)
            found = None if cut else self.dists[action.name].stamp
            dist.note_fetched(self.now, action.name, found, found)
        elif isinstance(action, parts.OpenWatch):
            if self.is_reachable(name):
                self.watching.add(name)
            else:
                dist.note_watch_ended(self.now, 0)
        else:
            self.watching.discard(name)

    @rule()
    def publish(self):
        """Publish; watches that live tell of it."""
        last = self.published[-1]
        self.published.append(Stamp(last.era, last.revision + 1))
        for name in sorted(self.watching):
            if self.is_reachable(name) and not self.deaf:
                self.dists[name].note_watch_item(self.now, self.published[-1])

    @rule(lost=st.integers(0, 3))
    def restore(self, lost):
        """Restore the platform from a backup, which no watch tells."""
        last = self.published[-1]
        revision = max(1, last.revision - lost)
        self.published.append(Stamp(last.era + 1, revision))

    @rule(down=st.booleans(), stale=st.booleans(), deaf=st.booleans())
    def spoil_platform(self, down, stale, deaf):
        """Have the platform down, lagging, its watches dead, or well."""
        self.down, self.stale, self.deaf = down, stale, deaf

    @rule(alone=st.frozensets(st.sampled_from(NAMES)))
    def cut(self, alone):
        """Cut some entries off from the others and from the platform."""
        self.alone = alone

    @rule(paused=st.frozensets(st.sampled_from(NAMES)))
    def pause(self, paused):
        """Stop some entries; what they were told meanwhile waits for them."""
        self.paused = paused

    @rule(turns=st.integers(1, 30))
    def pass_time(self, turns):
        """Let time pass."""
        for _ in range(turns):
            self.take_turn()

    @invariant()
    def never_fall(self):
        """Nobody falls back, nobody has what was never published."""
        for name, dist in self.dists.items():
            assert self.before[name] <= dist.stamp
            assert dist.stamp in {Stamp(), *self.published}
            self.before[name] = dist.stamp

    def teardown(self):
        """With all mended, everyone has what everyone would read."""
        self.down = self.stale = self.deaf = False
        self.alone = self.paused = frozenset()
        for _ in range(int(SETTLE_S / TURN_S)):
            self.take_turn()
        found = {name: dist.stamp for name, dist in self.dists.items()}
        assert set(found.values()) == {self.published[-1]}, found
