"""Small look-ups in the state that several modules of the engine share."""

from cornelgap.entry.state import Call


def find_target(state, service, name):
    """Find a target of a service, or None."""
    found = state.cfg.services.get(service)
    return found.targets.get(name) if found else None


def is_quiet(flow):
    """Say whether no request of a flow is open; feeds do not count."""
    return all(kept.verdict for kept in (flow.kept or {}).values())


def register_call(state, now, flow, number, target, feed=False):
    """Note a new call and count it for placement.

    :returns: its call id.
    """
    call_id = state.next_call_id
    state.next_call_id += 1
    state.calls[call_id] = Call(flow.key, number, target, now, feed)
    placement = state.placements.get(flow.service)
    if placement and not feed:
        placement.note_start(target, now)
    return call_id
