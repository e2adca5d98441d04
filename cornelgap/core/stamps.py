"""Where in the history of the platform's store a fact stands.

The store numbers its changes.  When it is restored from a backup, it
reissues the revisions that were lost, and counts the restore as a new era.
A revision alone then says nothing: a fact of the new era with a lower
revision is the later one.
"""

from msgspec import Struct


class Stamp(Struct, frozen=True, order=True):
    """Place of a fact in the store's history; later ones compare greater.

    :param era: number from 1 that rises when the store is restored from a
        backup; 0 if the store does not say.
    :param revision: number of the change within the era.
    """

    era: int = 0
    revision: int = 0
