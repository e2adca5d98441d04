"""The configuration in force, as plain data that every part reads.

The folder of INI files is loaded, checked and merged by
:mod:`cornelgap.cfg`; what comes out is one :class:`Cfg` of a revision.
Nothing here reads a file or the network.
"""

import enum
from dataclasses import dataclass, field

from cornelgap.core.stamps import Stamp


class TargetMode(enum.StrEnum):
    """What a target may be given."""

    ACTIVE = 'active'
    DRAINING = 'draining'


class KeyStage(enum.StrEnum):
    """Life of a token key; only one key signs at a time."""

    PUBLISHED = 'published'
    SIGNING = 'signing'
    RETIRING = 'retiring'


@dataclass(frozen=True, slots=True)
class TargetCfg:
    """One target of a service.

    :param name: unique name, which a target also states about itself.
    :param address: ``host:port`` of its gRPC server.
    :param zone: availability zone.
    :param slots: requests that it runs at the same time.
    :param conns: flows that it can hold.
    :param mode: active or draining.
    """

    name: str
    address: str
    zone: str
    slots: int = 2
    conns: int = 2000
    mode: TargetMode = TargetMode.ACTIVE


@dataclass(frozen=True, slots=True)
class ServiceCfg:
    """One service and the figures that its operators chose.

    :param name: unique name, stated in every datagram of its callers.
    :param address: public ``host:port``, kept for the audit of moves.
    :param targets: its targets by name.
    :param imbalance_weight: from 0 (only broken flows count) to 1 (only
        imbalance across targets counts).
    :param deadline_ms: longest deadline that a request may ask for.
    :param queue_limit: requests waiting at one entry for this service.
    :param long_share: share of the slots that long jobs may hold.
    :param token_s: lifetime of a flow token in seconds.
    """

    name: str
    address: str = ''
    targets: dict = field(default_factory=dict)
    imbalance_weight: float = 0.5
    deadline_ms: int = 30000
    queue_limit: int = 64
    long_share: float = 0.5
    token_s: int = 900


@dataclass(frozen=True, slots=True)
class KeyCfg:
    """One key of the token key ring.

    :param key_id: number stated in each token, 1 to 255.
    :param secret: the key, 32 bytes.
    :param stage: published, signing or retiring.
    """

    key_id: int
    secret: bytes
    stage: KeyStage = KeyStage.SIGNING


@dataclass(frozen=True, slots=True)
class Cfg:
    """Everything that an entry instance needs to serve, at one revision.

    :param revision: rises by one with each accepted change; 0 is none yet.
    :param services: service by name.
    :param keys: key ring by key id.
    :param draining_instances: names of entry instances that must leave.
    :param era: era of the platform's store in which it was read.
    """

    revision: int = 0
    services: dict = field(default_factory=dict)
    keys: dict = field(default_factory=dict)
    draining_instances: frozenset = frozenset()
    era: int = 0

    @property
    def stamp(self):
        """Return its place among all configurations."""
        return Stamp(self.era, self.revision)
