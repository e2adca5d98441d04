"""A stand-in platform: revisions of a configuration and an instance list.

Each entry instance's control is played by :func:`poll_platform`: a watch
that may be dead, a slow periodic read that may be stale, and peers.  It is
a naive version of the real control parts: "everyone reads the platform".
"""

from dataclasses import dataclass, field

from features.proofs.fabric import LATE_S

WATCH_S = 0.05
POLL_S = 0.5
LIST_LAG_S = 1.0


@dataclass
class Platform:
    """Versioned configuration and the lagging list of instances.

    :param zone: where it runs, for cuts.
    :param slow_s: extra time of each answer.
    :param stale: reads may give the revision before the newest.
    """

    world: object
    zone: str
    revisions: list = field(default_factory=list)
    writes: dict = field(default_factory=dict)
    down: bool = False
    slow_s: float = 0
    stale: bool = False
    watch_dead: bool = False
    listed: list = field(default_factory=list)
    leaving_targets: frozenset = frozenset()

    def write(self, cfg, expected, write_id):
        """Write a revision on condition that the newest is as expected.

        :returns: whether it was written.
        """
        if self.down or self.newest().revision != expected:
            return False
        self.revisions.append(cfg)
        self.writes[write_id] = cfg.revision
        for node in list(self.world.nodes.values()):
            self.push(node, cfg)
        return True

    def newest(self):
        """Give the newest revision."""
        return self.revisions[-1]

    def push(self, node, cfg):
        """Tell one watching node, if the watch lives."""
        if self.watch_dead or not self.is_reachable(node):
            return
        delay = WATCH_S * self.world.rng.random() + self.slow_s
        fault = self.world.fabric.ask_hooks('adopt', (node,))
        deliver_cfg(self.world, fault, delay, node, cfg)

    def read(self):
        """Read a revision; a lagging replica gives an older one."""
        if self.stale and len(self.revisions) > 1:
            return self.revisions[-2]
        return self.newest()

    def is_reachable(self, node):
        """Say whether a node's calls come through."""
        return not self.down and not self.world.fabric.is_cut(
            node.zone, self.zone
        )


def poll_platform(world, node):
    """Play one turn of a node's control and plan the next."""
    if not node.is_running():
        return
    platform = world.platform
    if platform.is_reachable(node):
        world.loop.at(platform.slow_s, node.adopt, platform.read())
        world.loop.at(
            platform.slow_s,
            node.note_instances,
            list(platform.listed),
            platform.leaving_targets,
        )
    _ask_peer(world, node)
    delay = POLL_S * (0.5 + world.rng.random())
    world.loop.at(delay, poll_platform, world, node)


def _ask_peer(world, node):
    peers = [
        peer
        for peer in world.nodes.values()
        if peer is not node
        and peer.is_running()
        and not world.fabric.is_cut(node.zone, peer.zone)
    ]
    if not peers:
        return
    peer = world.rng.choice(peers)
    fault = world.fabric.ask_hooks('fan-out', (node, peer))
    deliver_cfg(world, fault, 0.01, node, peer.engine.state.cfg)


def deliver_cfg(world, fault, delay, node, cfg):
    """Deliver a configuration, once, twice, late or not at all."""
    if fault == 'lost':
        return
    if fault == 'late':
        delay += LATE_S
    world.loop.at(delay, node.adopt, cfg)
    if fault == 'doubled':
        world.loop.at(delay + LATE_S, node.adopt, cfg)
