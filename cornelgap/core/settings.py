"""Data classes of the configuration.

:mod:`cornelgap.cfg` loads, checks and merges the folder of INI files and
builds one :class:`Cfg` for each revision.  This module reads neither files
nor the network.
"""

import enum
from dataclasses import dataclass, field

from cornelgap.core.stamps import Stamp


class TargetMode(enum.StrEnum):
    """Whether a target takes new work or is being drained."""

    ACTIVE = 'active'
    DRAINING = 'draining'


class KeyStage(enum.StrEnum):
    """Life cycle of a token key; only one key signs at a time.

    Keys of every stage verify tokens.
    """

    PUBLISHED = 'published'
    SIGNING = 'signing'
    RETIRING = 'retiring'


@dataclass(frozen=True, slots=True)
class TargetCfg:
    """One target of a service.

    :param name: unique name, which the target also states in its answers.
    :param address: ``host:port`` of its gRPC server.
    :param zone: availability zone.
    :param slots: number of requests that it runs at the same time.
    :param conns: number of flows that it can hold.
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
    """One service and its limits.

    :param name: unique name, stated in every datagram of its callers.
    :param address: public ``host:port``; a change that gives the address of
        one service to another is refused.
    :param targets: its targets by name.
    :param imbalance_weight: how much imbalance across targets counts
        against broken flows when flows are moved, from 0 (only broken flows
        count) to 1 (only imbalance counts).
    :param deadline_ms: longest deadline that a request may ask for.
    :param queue_limit: most requests that may wait at one entry instance
        for this service.
    :param long_share: fraction of the slots that long jobs may hold.
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

    :param key_id: number from 1 to 255 that each token states.
    :param secret: the key, 32 bytes.
    :param stage: published, signing or retiring.
    """

    key_id: int
    secret: bytes
    stage: KeyStage = KeyStage.SIGNING


@dataclass(frozen=True, slots=True)
class Cfg:
    """The whole configuration of an entry instance at one revision.

    :param revision: rises by one with each accepted change; 0 means that
        there is no configuration yet.
    :param services: :class:`ServiceCfg` by name.
    :param keys: key ring: :class:`KeyCfg` by key id.
    :param draining_instances: names of entry instances that must stop.
    :param era: era of the platform's store that it was read in.
    """

    revision: int = 0
    services: dict = field(default_factory=dict)
    keys: dict = field(default_factory=dict)
    draining_instances: frozenset = frozenset()
    era: int = 0

    @property
    def stamp(self):
        """Return the stamp that orders this among all configurations."""
        return Stamp(self.era, self.revision)
