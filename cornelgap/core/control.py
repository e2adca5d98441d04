"""Typed messages between the packet actor and the control actors.

Control is everything that is not a caller's packet: which configuration is
in force, which entry instances there are, and a planned stop.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Instance:
    """One entry instance as the platform lists it; a hint, never a fact.

    :param name: unique name.
    :param zone: availability zone.
    :param address: ``host:port`` of its UDP socket for peers.
    :param api: ``host:port`` of its gRPC server for peers.
    :param leaving: it has begun a planned stop.
    """

    name: str
    zone: str
    address: str
    api: str = ''
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's list of entry instances has been read."""

    instances: tuple


@dataclass(frozen=True, slots=True)
class AdoptCfg:
    """Put a configuration in force; its revision is higher than before.

    :param cfg: :class:`cornelgap.core.settings.Cfg`.
    :param bundle: the bytes that it was decoded from.
    """

    cfg: object
    bundle: bytes


@dataclass(frozen=True, slots=True)
class RevisionHeard:
    """A peer, or a token, states a revision.

    :param name: the peer, empty if a token stated it.
    :param api: ``host:port`` of the peer's gRPC server, empty if unknown.
    """

    name: str
    api: str
    revision: int
