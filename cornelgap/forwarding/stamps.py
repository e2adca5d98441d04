"""Where in the store's history a fact stands.

The store numbers its changes.  When it is restored from a backup, it
reissues the revisions that were lost, and counts the restore as a new era.
A revision alone then says nothing: a fact of the new era with a lower
revision is the later one.
"""

from msgspec import Struct


class Stamp(Struct, frozen=True, order=True):
    """Place of a fact in the store's history; later ones compare greater.

    :param era: how often the store was restored from a backup.
    :param revision: number of the change within the era.
    """

    era: int = 0
    revision: int = 0


class ConfigStamp(Struct, frozen=True, order=True):
    """Place of a configuration; later ones compare greater.

    The operator's number goes first: a backup may hold the configuration
    before the one in force, and the operator never gives a number twice.

    :param version: the operator's number of the configuration.
    :param era: as in :class:`Stamp`.
    :param revision: as in :class:`Stamp`.
    """

    version: int = 0
    era: int = 0
    revision: int = 0


UNKNOWN = Stamp(era=-1)
"""Older than every fact."""

UNKNOWN_CONFIG = ConfigStamp(version=-1)
"""Older than every configuration."""
