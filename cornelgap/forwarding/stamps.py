"""Order of facts and configurations in the store's history."""

from msgspec import Struct

from cornelgap.core.stamps import Stamp


class ConfigStamp(Struct, frozen=True, order=True):
    """Position of a configuration; later ones compare greater.

    The operator's version number is compared first: a restored backup may
    hold an older configuration than the one in force, and the operator
    never uses a version number twice.

    :param version: the operator's version number of the configuration.
    :param era: as in :class:`~cornelgap.core.stamps.Stamp`.
    :param revision: as in :class:`~cornelgap.core.stamps.Stamp`.
    """

    version: int = 0
    era: int = 0
    revision: int = 0


UNKNOWN = Stamp(era=-1)
"""Compares less than the stamp of any fact."""

UNKNOWN_CONFIG = ConfigStamp(version=-1)
"""Compares less than the stamp of any configuration."""
