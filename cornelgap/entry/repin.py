"""Moving live feeds and waiting work off targets that leave or fail.

Load pattern: a target that leaves holds hundreds of feeds of each entry
instance.  Users allow a few seconds until it must get no new work, and a
feed may not break.  Each feed is therefore followed at its new target
before the old one is let go, and the moves are paced, so that the other
targets do not meet all of them at once.  New requests move by themselves
when they come (:func:`cornelgap.entry.pins.ensure_target`).
"""

from cornelgap.core import calls
from cornelgap.entry.feeds import (
    FEED_SILENCE_S,
    end_feed,
    find_feeds,
    follow_target,
    postpone_feed,
)
from cornelgap.entry.pins import ensure_target, is_usable, move_flow
from cornelgap.entry.requests import apply_step, offer_request
from cornelgap.entry.state import count_event

FEED_TICKS = 8
"""All feeds are looked at within this many ticks, 160 ms."""

LEAST_FEEDS = 64
GIVE_UP_BACKOFF_S = 0.1
"""A feed whose target failed twice in a row goes to another target."""


def tend_feeds(state, now):
    """Follow, move or end live feeds as their state asks for.

    Each call looks at a part of them, so that thousands of feeds cost a
    tick no more than a few milliseconds and each is seen several times a
    second.
    """
    for flow, feed in _take_some_feeds(state):
        if now - feed.heard_at > FEED_SILENCE_S:
            count_event(state, 'feeds_abandoned')
            end_feed(state, flow, feed)
        elif not feed.call_id:
            _resume_feed(state, now, flow, feed)
        elif not is_usable(state, flow.service, feed.target):
            _move_feed(state, now, flow, feed)
        elif feed.target != flow.target:
            _switch_call(state, now, flow, feed)


def _take_some_feeds(state):
    if not state.feed_keys:
        state.feed_keys = list(state.live_feeds)
    count = max(LEAST_FEEDS, len(state.live_feeds) // FEED_TICKS)
    batch = state.feed_keys[-count:]
    del state.feed_keys[-count:]
    return find_feeds(state, batch)


def _resume_feed(state, now, flow, feed):
    if now < feed.retry_at:
        return
    if feed.backoff >= GIVE_UP_BACKOFF_S:
        move_flow(state, now, flow)
    if ensure_target(state, now, flow):
        follow_target(state, now, flow, feed)
    else:
        postpone_feed(state, now, feed)


def _move_feed(state, now, flow, feed):
    """Follow at a new target first; the old call ends with its first event."""
    if feed.old_call_id or not state.repin_pacer.take(now, urgent=True):
        return
    if ensure_target(state, now, flow):
        _switch_call(state, now, flow, feed)


def _switch_call(state, now, flow, feed):
    if feed.old_call_id:
        state.effects.append(calls.StopCall(feed.old_call_id))
    feed.old_call_id = feed.call_id
    count_event(state, 'feeds_moved')
    follow_target(state, now, flow, feed)


def move_waiting(state, now):
    """Offer work that waits for a leaving target to another one.

    It has not run, so it may run elsewhere under the same id.
    """
    if not state.leaving_targets:
        return
    for key, number in list(state.waiting):
        flow = state.flows.get(key)
        kept = flow.kept.get(number) if flow and flow.kept else None
        if kept is None or kept.verdict or kept.call_id:
            state.waiting.pop((key, number), None)
        elif kept.target in state.leaving_targets:
            _move_request(state, now, flow, kept)


def _move_request(state, now, flow, kept):
    state.waiting.pop((flow.key, kept.number), None)
    admission = state.admissions[flow.service]
    step = admission.cancel(now, (flow.key, kept.number))
    apply_step(state, now, step)
    offer_request(state, now, flow, kept)
