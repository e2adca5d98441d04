"""Keeping flows spread over targets: what placement is told, and moves.

Load pattern: flows live for hours, so an imbalance that a drained or a
new target leaves behind would stay for hours too.  While it lasts, quiet
flows are moved one by one, at the pace that placement allows; their
requests never notice, and a feed is followed at its new target before the
old one is let go.
"""

from cornelgap.entry.lookups import is_quiet
from cornelgap.entry.pins import is_usable, move_flow

MOVES_EVERY_S = 0.25
MOVES_LIMIT = 50
"""Moves planned at once for a service: 200 flows a second off a target
that fails."""

MOVES_SERVICES = 100
"""Services looked at each time, in turn.  Looking at all of 2,300 took half
a core of an idle instance; this way each gets its turn within 6 s, and a
site with fewer than a hundred still looks at all of them each time.  Feeds
on a leaving target do not wait for it."""

OPEN_COUNTS_S = 2.0
"""How long an open counts as a flow of its target.  Callers use a flow
right after its open; without the count a burst of opens within one round
trip would all go to the target that looks emptiest."""


def note_open(state, now, service, target):
    """Count an open as a flow until its first use can show."""
    state.placements[service].note_flow(target, 1)
    state.recent_opens.append((now, service, target))


def forget_opens(state, now):
    """Stop counting opens whose flows show by themselves by now."""
    opens = state.recent_opens
    while opens and now - opens[0][0] >= OPEN_COUNTS_S:
        _, service, target = opens.popleft()
        placement = state.placements.get(service)
        if placement is not None:
            placement.note_flow(target, -1)


def plan_moves(state, now):
    """Ask placement for moves; the sweep over the flows carries them out."""
    if now < state.next_moves_at:
        return
    state.next_moves_at = now + MOVES_EVERY_S
    count = len(state.membership.list_live(now)) + 1
    state.moves = {}
    for service in _take_turn(state):
        placement = state.placements[service]
        placement.set_instances(count)
        if state.leaving:
            continue
        for move in placement.choose_moves(now, MOVES_LIMIT):
            wanted = state.moves.setdefault((service, move.from_target), [])
            wanted.append(move.to_target)


def _take_turn(state):
    """Give the services whose turn it is."""
    if not state.moves_turn:
        state.moves_turn = list(state.placements)
    turn = state.moves_turn[-MOVES_SERVICES:]
    del state.moves_turn[-MOVES_SERVICES:]
    return [service for service in turn if service in state.placements]


def move_if_wanted(state, now, flow):
    """Move a quiet flow if its target should have fewer."""
    if not state.moves or flow.moved_to or flow.closed:
        return
    wanted = state.moves.get((flow.service, flow.target))
    if not wanted or not is_quiet(flow):
        return
    to_target = wanted.pop()
    if is_usable(state, flow.service, to_target):
        move_flow(state, now, flow, to_target)
