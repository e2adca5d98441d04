"""The target that a flow is on, and when it must be another one.

A flow stays on its target for life, save that the target leaves, is gone
from the configuration, or cannot be reached.
"""

from cornelgap.entry.lookups import find_target
from cornelgap.entry.state import count_event


def is_usable(state, service, target):
    """Say whether a target may be given new work."""
    if find_target(state, service, target) is None:
        return False
    return target not in state.leaving_targets


def ensure_target(state, now, flow):
    """Move a flow off a target that may get no new work.

    :returns: whether the flow is on a usable target now.
    """
    if is_usable(state, flow.service, flow.target):
        return True
    return move_flow(state, now, flow)


def move_flow(state, now, flow, to_target=None):
    """Pin a flow to another target; work that runs stays where it is.

    :param to_target: where to; None lets placement choose.
    :returns: whether there was another target.
    """
    placement = state.placements.get(flow.service)
    if placement is None:
        return False
    target = to_target or placement.choose_target(
        now, exclude=state.leaving_targets | {flow.target}
    )
    if target is None:
        return False
    placement.note_flow(flow.target, -1)
    placement.note_flow(target, 1)
    flow.target = target
    flow.renew = True
    count_event(state, 'flows_repinned')
    return True
