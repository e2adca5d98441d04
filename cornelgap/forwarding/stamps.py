"""Where in the store's history facts and configurations stand."""

from msgspec import Struct

from cornelgap.core.stamps import Stamp


class ConfigStamp(Struct, frozen=True, order=True):
    """Place of a configuration; later ones compare greater.

    The operator's number goes first: a backup may hold the configuration
    before the one in force, and the operator never gives a number twice.

    :param version: the operator's number of the configuration.
    :param era: as in :class:`~cornelgap.core.stamps.Stamp`.
    :param revision: as in :class:`~cornelgap.core.stamps.Stamp`.
    """

    version: int = 0
    era: int = 0
    revision: int = 0


UNKNOWN = Stamp(era=-1)
"""Older than every fact."""

UNKNOWN_CONFIG = ConfigStamp(version=-1)
"""Older than every configuration."""
