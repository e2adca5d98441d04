"""Which settings differ, and which of them take effect in a running process.

The tasks of an instance are bound to its name, place and addresses when they
start: others know it by its name, sockets are open, connections to the store
stand.  Those fields count from the next start; all others can be changed.
"""

from msgspec import Struct, structs

LIVE_FIELDS = frozenset(
    ('seeds', 'apply_s', 'drain_s', 'grace_s', 'capacity', 'cold_limit')
)
"""Fields that take effect while the instance runs."""


class Difference(Struct, frozen=True):
    """What differs between two settings.

    :param live: tuples (before, after) by field, of those that take effect.
    :param fixed: the same of those that need a restart.
    """

    live: dict
    fixed: dict


def compare_settings(before, after):
    """Find the fields that differ.

    :param before: :class:`~cornelgap.platform.settings.NodeSettings`.
    :param after: the same.
    :returns: :class:`Difference`.
    """
    live = {}
    fixed = {}
    for field in before.__struct_fields__:
        values = (getattr(before, field), getattr(after, field))
        if values[0] != values[1]:
            (live if field in LIVE_FIELDS else fixed)[field] = values
    return Difference(live, fixed)


def merge_settings(running, loaded):
    """Make the settings that hold in a running process.

    :param running: those that hold so far.
    :param loaded: those of the file.
    :returns: the running ones with the live fields of the file.
    """
    values = {field: getattr(loaded, field) for field in LIVE_FIELDS}
    return structs.replace(running, **values)
