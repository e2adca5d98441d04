"""Live feeds at their home: followed, acknowledged, resumed, moved.

A feed is a sequence of numbered events that every target of the service
can give from any position.  The home keeps only the events that the
caller has not acknowledged, and asks the target for no more than it has
room for.  When the target fails or leaves, the feed goes on at the next
position elsewhere; the caller sees a pause, never a gap or a double.
"""

from cornelgap.core import calls
from cornelgap.core import messages as msg
from cornelgap.core.errors import Code
from cornelgap.core.verdicts import report_may_have_run
from cornelgap.core.window import is_new_number, mark_number
from cornelgap.entry.lookups import find_target, register_call
from cornelgap.entry.replies import (
    refuse_datagram,
    send_message,
    send_progress,
    send_report,
    take_renewal,
)
from cornelgap.entry.requests import MOVING_RETRY_MS
from cornelgap.entry.state import Feed, count_event, split_key

FEED_BUFFER = 64
"""Events kept for a caller that does not acknowledge: 70 KB at most."""

FEED_SILENCE_S = 30.0
"""A caller acknowledges each second; after thirty it has gone, and
following on for it would hold a target's connection for nobody."""

RESEND_AFTER_S = 0.04
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 2.0


def handle_subscribe(state, now, flow, sub, size):
    """Start a feed, or answer a repeated subscription."""
    flow.feeds = {} if flow.feeds is None else flow.feeds
    feed = flow.feeds.get(sub.number)
    if feed is not None:
        feed.heard_at = now
        send_progress(state, now, flow, sub.number, feed.base)
        return
    if not is_new_number(flow.top, flow.seen, sub.number):
        # The feed has ended here; the caller subscribes anew if it wants.
        verdict = report_may_have_run(str(Code.REQ_TOO_OLD))
        send_report(state, now, flow, sub.number, verdict)
        return
    if state.leaving or flow.closed:
        refuse_datagram(
            state, flow.address, sub, size, Code.REQ_MOVING, MOVING_RETRY_MS
        )
        return
    flow.top, flow.seen = mark_number(flow.top, flow.seen, sub.number)
    feed = Feed(
        number=sub.number,
        topic=sub.payload,
        base=sub.position,
        cursor=sub.position,
        credit=max(sub.credit, 1),
        heard_at=now,
    )
    add_feed(state, now, flow, feed)
    send_progress(state, now, flow, feed.number, feed.base)


def add_feed(state, now, flow, feed):
    """Put a feed under way at the flow's target."""
    flow.feeds = {} if flow.feeds is None else flow.feeds
    flow.feeds[feed.number] = feed
    state.live_feeds[flow.key, feed.number] = True
    count_event(state, 'feeds')
    follow_target(state, now, flow, feed)


def next_position(feed):
    """Give the first position that the target has not brought yet."""
    return feed.base + len(feed.events)


def follow_target(state, now, flow, feed):
    """Follow a feed at the flow's present target from where it stands."""
    target = find_target(state, flow.service, flow.target)
    if target is None:
        postpone_feed(state, now, feed)
        return
    feed.target = target.name
    feed.ahead = max(1, FEED_BUFFER - len(feed.events))
    feed.call_id = register_call(
        state, now, flow, feed.number, target.name, feed=True
    )
    flow_id, _ = split_key(flow.key)
    state.effects.append(
        calls.StartFollow(
            call_id=feed.call_id,
            service=flow.service,
            target=target.name,
            address=target.address,
            incarnation=state.incarnations.get(target.name, 0),
            flow_id=flow_id,
            position=next_position(feed),
            payload=feed.topic,
            pieces=feed.ahead,
        )
    )


def postpone_feed(state, now, feed):
    """Let some time pass before a feed is followed again.

    Without the growing pause and its jitter, all feeds of a target that
    died would knock at the next one in the same instant, again and again.
    """
    doubled = max(feed.backoff * 2, FIRST_BACKOFF_S)
    feed.backoff = min(doubled, LONGEST_BACKOFF_S)
    feed.retry_at = now + feed.backoff * state.rng.uniform(0.5, 1)


def handle_event(state, now, flow, feed, event):
    """Take a piece of a feed; a doubled or older one is dropped."""
    if event.call_id == feed.call_id:
        feed.ahead -= 1
        feed.backoff = 0
        _stop_old_call(state, feed)
    if event.position == next_position(feed):
        feed.events.append(event.payload)
        feed.sent_at.append(-1.0)
        _send_unsent(state, now, flow, feed)
    elif event.position > next_position(feed):
        _repair_gap(state, now, feed, event)


def _stop_old_call(state, feed):
    if feed.old_call_id:
        state.effects.append(calls.StopCall(feed.old_call_id))
        feed.old_call_id = 0


def _repair_gap(state, now, feed, event):
    """Follow anew when a target skips a position.

    Passing the later event on would be a gap that the caller's list of
    results never shows; following again from the right place closes it.
    """
    count_event(state, 'feed_gaps')
    if event.call_id == feed.call_id:
        state.effects.append(calls.StopCall(feed.call_id))
        feed.call_id = 0
        postpone_feed(state, now, feed)


def _send_unsent(state, now, flow, feed):
    end = min(next_position(feed), feed.base + feed.credit)
    while feed.cursor < end:
        _send_event(state, now, flow, feed, feed.cursor)
        feed.cursor += 1


def _send_event(state, now, flow, feed, position):
    flow_id, epoch = split_key(flow.key)
    at = position - feed.base
    feed.sent_at[at] = now
    send_message(
        state,
        flow.address,
        msg.Event(
            flow_id,
            epoch,
            feed.number,
            position,
            feed.events[at],
            take_renewal(state, now, flow),
        ),
    )


def handle_feed_ack(state, now, flow, feed, ack):
    """Free what the caller has and send again what it lacks."""
    feed.heard_at = now
    feed.credit = max(ack.credit, 1)
    done = min(ack.position, feed.cursor) - feed.base
    if done > 0:
        del feed.events[:done]
        del feed.sent_at[:done]
        feed.base += done
    wanted = ack.missing or [feed.base]
    for position in wanted:
        if _may_resend(feed, now, position):
            _send_event(state, now, flow, feed, position)
    _send_unsent(state, now, flow, feed)
    _grant_more(state, feed)
    if not feed.events:
        send_progress(state, now, flow, feed.number, feed.base)


def _may_resend(feed, now, position):
    if not feed.base <= position < feed.cursor:
        return False
    return now - feed.sent_at[position - feed.base] >= RESEND_AFTER_S


def _grant_more(state, feed):
    if not feed.call_id:
        return
    room = FEED_BUFFER - len(feed.events) - feed.ahead
    if room >= FEED_BUFFER // 2:
        feed.ahead += room
        state.effects.append(calls.GrantPieces(feed.call_id, room))


def handle_feed_ended(state, now, flow, feed, event):
    """Go on elsewhere, or later, when a feed's call ends."""
    if event.call_id == feed.old_call_id:
        feed.old_call_id = 0
        return
    if event.call_id != feed.call_id:
        return
    feed.call_id = 0
    count_event(state, 'feed_resumes')
    if event.retry_after_ms:
        feed.backoff = event.retry_after_ms / 1000
    postpone_feed(state, now, feed)


def end_feed(state, flow, feed):
    """Stop a feed at its target and forget it."""
    for call_id in (feed.call_id, feed.old_call_id):
        if call_id:
            state.effects.append(calls.StopCall(call_id))
    feed.call_id = 0
    feed.old_call_id = 0
    flow.feeds.pop(feed.number, None)
    flow.feeds = flow.feeds or None
    state.live_feeds.pop((flow.key, feed.number), None)


def find_feeds(state, keys):
    """Find (flow, feed) of those feeds that still live.

    :param keys: (flow key, number) of each.
    """
    return [
        (state.flows[key], state.flows[key].feeds[number])
        for key, number in keys
        if (key, number) in state.live_feeds
    ]
