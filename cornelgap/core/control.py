"""Plain data that the control parts share.

Control is everything that is not a caller's packet: which configuration is
in force, which entry instances there are, and a planned stop.
"""

from dataclasses import dataclass

from cornelgap.core.stamps import Stamp


@dataclass(frozen=True, slots=True)
class Instance:
    """One entry instance as the platform lists it; a hint, never a fact.

    :param name: unique name.
    :param zone: availability zone.
    :param address: ``host:port`` of its UDP socket for peers.
    :param api: ``host:port`` of its gRPC server for peers.
    :param leaving: it has begun a planned stop.
    :param admin: ``host:port`` of its administration API.
    """

    name: str
    zone: str
    address: str
    api: str = ''
    leaving: bool = False
    admin: str = ''


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """A peer states which configuration it has.

    :param api: ``host:port`` of the peer's gRPC server, empty if unknown.
    :param stamp: its :class:`~cornelgap.core.stamps.Stamp`.
    """

    name: str
    api: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class ControlView:
    """What the packet actor knows that the control actors act upon.

    :param stamp: place of the configuration in force.
    :param ahead: :class:`PeerRevision` of peers that state a later one.
    :param behind_signs: packets so far that hint at being behind: a token
        of a later configuration, a key that is not known here.
    :param unknown_peers: whether something was to go to a peer of which no
        address is known.
    :param live: :class:`Instance` items that are alive, without this one;
        None if not looked at this time.
    """

    stamp: Stamp
    ahead: tuple = ()
    behind_signs: int = 0
    unknown_peers: bool = False
    live: tuple | None = None
