"""Update of the directory from the beats of other instances.

A beat holds the stamps and ages of what its sender knows, and small changes
in full.  Equal stamps confirm the own knowledge, changes that follow directly
on it are applied, and an instance that is further behind has to fetch a
snapshot.
"""

import enum


class News(enum.Enum):
    """Effect of a beat on one kind of facts: routes, targets or drained zones.

    NONE: the beat says nothing new of it, or its sender is behind.
    CONFIRMED: what the directory holds is current as of the beat.
    CHANGED: the directory has applied a change from the beat.
    BEHIND: the directory lacks changes that the beat does not hold.
    """

    NONE = 'none'
    CONFIRMED = 'confirmed'
    CHANGED = 'changed'
    BEHIND = 'behind'


def compare_beat(directory, beat, changes, now):
    """Apply to the directory what a beat confirms or changes.

    :param directory: :class:`~cornelgap.forwarding.directory.Directory`,
        which takes in confirmations and changes.
    :param beat: :class:`~cornelgap.forwarding.peer_messages.Beat`.
    :param changes: the beat's changes of targets, decoded.
    :param now: process clock seconds.
    :returns: set of :class:`News`, one for each kind of facts.
    """
    return {
        compare_drained(directory, beat, now),
        _compare_routes(directory, beat, now),
        _compare_targets(directory, beat, changes, now),
    }


def _compare_routes(directory, beat, now):
    if beat.routes_age is None:
        return News.NONE
    if beat.routes_stamp > directory.routes_stamp:
        return News.BEHIND
    if beat.routes_stamp < directory.routes_stamp:
        return News.NONE
    directory.confirm_routes(now - beat.routes_age)
    return News.CONFIRMED


def compare_drained(directory, beat, now):
    """Apply the orders to drain zones, which each beat holds in full."""
    if not beat.drained_revision:
        return News.NONE
    changed = directory.adopt_drained_zones(
        beat.drained_zones, beat.drained_stamp, now
    )
    return News.CHANGED if changed else News.NONE


def _compare_targets(directory, beat, changes, now):
    if beat.targets_age is None:
        return News.NONE
    if directory.targets_as_of is None:
        return News.BEHIND
    if beat.targets_stamp.era != directory.targets_stamp.era:
        is_ahead = beat.targets_stamp > directory.targets_stamp
        return News.BEHIND if is_ahead else News.NONE
    known = directory.targets_stamp.revision
    as_of = now - beat.targets_age
    if beat.targets_changed <= known <= beat.targets_revision:
        changed = directory.apply_targets((), beat.targets_stamp, as_of, now)
        return News.CHANGED if changed else News.CONFIRMED
    if changes and beat.since <= known < beat.targets_revision:
        directory.apply_targets(changes, beat.targets_stamp, as_of, now)
        return News.CHANGED
    return News.BEHIND if beat.targets_changed > known else News.NONE
