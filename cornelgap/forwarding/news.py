"""Update of the directory from the beats of other instances.

A beat holds the stamps and ages of what its sender knows, and small changes
in full.  Equal stamps confirm the own knowledge, changes that follow directly
on it are applied, and an instance that is further behind has to fetch a
snapshot.
"""

import enum


class BeatEffect(enum.Enum):
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


def update_from_beat(directory, beat, changes, now):
    """Apply to the directory what a beat confirms or changes.

    :param directory: :class:`~cornelgap.forwarding.directory.Directory`,
        which takes in confirmations and changes.
    :param beat: :class:`~cornelgap.forwarding.peer_messages.Beat`.
    :param changes: the beat's changes of targets, decoded.
    :param now: process clock seconds.
    :returns: set of :class:`BeatEffect`, one for each kind of facts.
    """
    return {
        update_drained_zones(directory, beat, now),
        _update_routes(directory, beat, now),
        _update_targets(directory, beat, changes, now),
    }


def _update_routes(directory, beat, now):
    if beat.routes_age is None:
        return BeatEffect.NONE
    if beat.routes_stamp > directory.routes_stamp:
        return BeatEffect.BEHIND
    if beat.routes_stamp < directory.routes_stamp:
        return BeatEffect.NONE
    directory.confirm_routes(now - beat.routes_age)
    return BeatEffect.CONFIRMED


def update_drained_zones(directory, beat, now):
    """Apply the orders to drain zones, which each beat holds in full."""
    if not beat.drained_revision:
        return BeatEffect.NONE
    changed = directory.adopt_drained_zones(
        beat.drained_zones, beat.drained_stamp, now
    )
    return BeatEffect.CHANGED if changed else BeatEffect.NONE


def _update_targets(directory, beat, changes, now):
    if beat.targets_age is None:
        return BeatEffect.NONE
    if directory.targets_as_of is None:
        return BeatEffect.BEHIND
    if beat.targets_stamp.era != directory.targets_stamp.era:
        is_ahead = beat.targets_stamp > directory.targets_stamp
        return BeatEffect.BEHIND if is_ahead else BeatEffect.NONE
    known = directory.targets_stamp.revision
    as_of = now - beat.targets_age
    if beat.targets_changed <= known <= beat.targets_revision:
        changed = directory.apply_targets((), beat.targets_stamp, as_of, now)
        return BeatEffect.CHANGED if changed else BeatEffect.CONFIRMED
    if changes and beat.since <= known < beat.targets_revision:
        directory.apply_targets(changes, beat.targets_stamp, as_of, now)
        return BeatEffect.CHANGED
    return (
        BeatEffect.BEHIND if beat.targets_changed > known else BeatEffect.NONE
    )
