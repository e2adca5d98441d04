"""Version stamps that order data read from the platform's store.

The store numbers its changes with revisions.  A restore from a backup
starts a new era, in which the store issues the lost revisions again for
other changes.  Revisions alone are therefore not comparable: data of a
later era is newer even if its revision is lower.
"""

from msgspec import Struct


class Stamp(Struct, frozen=True, order=True):
    """Era and revision of stored data; the later stamp compares greater.

    :param era: number from 1 that rises when the store is restored from a
        backup; 0 if the store does not state it.
    :param revision: number of the change within the era.
    """

    era: int = 0
    revision: int = 0
