"""Where a caller's datagram goes: served here, relayed home, or refused.

The token says everything; there is no look-up that could guess wrong.  A
datagram whose route is not known for certain is refused openly.
"""

import sys

from cornelgap.core import messages as msg
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.token import (
    Token,
    make_flow_id,
    make_nonce,
    mint_token,
    pick_signing_key,
    verify_token,
)
from cornelgap.decisions.retry import pick_retry_after_ms
from cornelgap.decisions.shedding import Urgency
from cornelgap.entry import feeds, requests
from cornelgap.entry.balance import note_open
from cornelgap.entry.handover import send_moved_here
from cornelgap.entry.lookups import find_target
from cornelgap.entry.peering import relay_datagram
from cornelgap.entry.pins import ensure_target, is_usable
from cornelgap.entry.replies import (
    note_expiry,
    refuse_datagram,
    send_message,
)
from cornelgap.entry.state import Flow, count_event, make_key, pack_address
from cornelgap.wire import caller_pb2 as pb
from cornelgap.wire.caller_codec import decode_message, parse_datagram

BEHIND_RETRY_MS = 200
"""A configuration reaches an instance that lags within about this time."""

NO_CFG_RETRY_MS = 1000
NO_TARGET_RETRY_MS = 500
REHOME_RETRY_MS = 250
OVERLOADED_RETRY_MS = 300


def handle_caller(state, now, data, address, hops=0):
    """Take one datagram of a caller, directly or by a peer."""
    try:
        _handle_parsed(state, now, parse_datagram(data), data, address, hops)
    except CodedError as exc:
        # Too damaged to say to whom a refusal would go, so only counted.
        count_event(state, f'dropped_{exc.code}')


def _handle_parsed(state, now, raw, data, address, hops):
    if _is_shed(state, raw, hops):
        refuse_datagram(
            state,
            address,
            raw,
            len(data),
            Code.REQ_OVERLOADED,
            pick_retry_after_ms(state.rng, OVERLOADED_RETRY_MS),
        )
    elif raw.kind == pb.OPEN:
        message = decode_message(raw, len(data))
        _open_flow(state, now, message, data, address, hops)
    elif raw.kind in _HANDLERS:
        _route_message(state, now, raw, data, address, hops)
    else:
        count_event(state, 'dropped_kind')


def _is_shed(state, raw, hops):
    """Say whether this instance is too busy for a datagram of this kind.

    A relayed datagram has cost a hop already, and its request may be under
    way; it is given up last.
    """
    urgency = _URGENCIES.get(raw.kind, Urgency.PROGRESS)
    if raw.kind == pb.REQUEST and raw.long_job:
        urgency = Urgency.LONG
    if hops:
        urgency = min(urgency, Urgency.PROGRESS)
    return not state.shedder.may_handle(urgency)


def _open_flow(state, now, message, data, address, hops):
    """Answer an OPEN; nothing is stored, so a doubled one costs nothing."""
    if message.size < msg.MIN_OPEN_BYTES:
        count_event(state, f'dropped_{Code.PKT_UNDER_PADDED}')
        return
    peers = state.membership.list_live(now) if state.leaving else ()
    if peers and not hops:
        # The home of a new flow must outlive this instance's stop.
        peer = state.rng.choice(sorted(peers))
        relay_datagram(state, now, peer, data, address, hops)
        return
    problem = _find_open_problem(state, message.service)
    if problem:
        code, retry_after_ms = problem
        refuse_datagram(
            state, address, message, message.size, code, retry_after_ms
        )
        return
    placement = state.placements[message.service]
    target = placement.choose_target(now, exclude=state.leaving_targets)
    if target is None:
        refuse_datagram(
            state,
            address,
            message,
            message.size,
            Code.REQ_NO_TARGET,
            NO_TARGET_RETRY_MS,
        )
        return
    _send_opened(state, now, message, target, address)


def _find_open_problem(state, service):
    if not state.cfg.revision or pick_signing_key(state.cfg.keys) is None:
        return Code.REQ_NO_CFG, NO_CFG_RETRY_MS
    if service not in state.cfg.services:
        return Code.REQ_NO_SERVICE, 0
    return None


def _send_opened(state, now, message, target, address):
    flow_id = make_flow_id()
    epoch = make_nonce()
    token = _mint_home_token(
        state, now, message.service, target, flow_id, epoch
    )
    note_open(state, now, message.service, target)
    count_event(state, 'opens')
    send_message(
        state,
        address,
        msg.Opened(message.service, message.nonce, token, flow_id, epoch),
    )


def _mint_home_token(state, now, service, target, flow_id, epoch):
    life = state.cfg.services[service].token_s
    return mint_token(
        pick_signing_key(state.cfg.keys),
        Token(
            flow=flow_id,
            epoch=epoch,
            service=service,
            target=target,
            home=state.name,
            boot=state.boot,
            revision=state.cfg.revision,
            expiry=int(now) + life,
            era=state.cfg.era,
        ),
    )


def _route_message(state, now, message, data, address, hops):
    size = len(data)
    try:
        token = verify_token(state.cfg.keys, message.token)
    except CodedError as exc:
        # A key that this instance lacks means that it is behind, not that
        # the token is bad.  The same datagram may do well elsewhere.
        behind = exc.code is Code.PKT_KEY_UNKNOWN
        retry_after_ms = BEHIND_RETRY_MS if behind else 0
        refuse_datagram(state, address, message, size, exc.code, retry_after_ms)
        return
    if message.service != token.service:
        refuse_datagram(state, address, message, size, Code.PKT_OTHER_SERVICE)
        return
    key = make_key(token.flow, token.epoch)
    flow = state.flows.get(key)
    if flow is not None and flow.moved_to:
        relay_datagram(state, now, flow.moved_to, data, address, hops)
    elif flow is not None or _is_home(state, token):
        _serve_flow(state, now, message, token, flow, address, size)
    elif _is_home_lost(state, now, token):
        _rehome_flow(state, now, message, token, address, size)
    else:
        relay_datagram(state, now, token.home, data, address, hops)


def _is_home(state, token):
    return token.home == state.name and token.boot == state.boot


def _is_home_lost(state, now, token):
    """Say whether the process that the token names is gone.

    A token that names this instance under another boot nonce comes from a
    process that ended here: its windows are forgotten, so its ids must
    never be run by this one.
    """
    if token.home == state.name:
        return True
    return state.membership.is_lost(now, token.home, token.boot)


def _serve_flow(state, now, message, token, flow, address, size):
    if flow is None:
        flow = _create_flow(state, now, message, token, address, size)
        if flow is None:
            return
    flow.caller = pack_address(address)
    if not _is_home(state, token):
        send_moved_here(state, now, flow)
    else:
        note_expiry(state, now, flow, token.expiry)
    _HANDLERS[message.kind](
        state, now, flow, decode_message(message, size), size
    )


def _create_flow(state, now, message, token, address, size):
    """Create the state of a flow at its first use, if that is safe."""
    if token.expiry < now:
        # The window of an expired flow may be gone; an old copy of a
        # request would look new to an empty one and run again.
        refuse_datagram(state, address, message, size, Code.PKT_TOKEN_EXPIRED)
        return None
    if token.service not in state.cfg.services:
        behind = token.stamp > state.cfg.stamp
        code = Code.REQ_BEHIND if behind else Code.REQ_NO_SERVICE
        refuse_datagram(state, address, message, size, code, BEHIND_RETRY_MS)
        return None
    key = make_key(token.flow, token.epoch)
    # Names are interned: hundreds of thousands of flows share a few.
    flow = Flow(
        key=key,
        service=sys.intern(token.service),
        target=sys.intern(token.target),
        caller=pack_address(address),
        expiry=token.expiry,
    )
    state.flows[key] = flow
    state.placements[token.service].note_flow(token.target, 1)
    ensure_target(state, now, flow)
    return flow


def _rehome_flow(state, now, message, token, address, size):
    """Give a flow whose home is gone a new home here, in a new id space.

    Nothing of the old id space can be known here, so none of its requests
    is run or said not to have run.  Like an open, this stores nothing; two
    instances may both do it, and the caller uses one of the two tokens.
    """
    problem = _find_rehome_problem(state, token)
    if problem:
        refuse_datagram(state, address, message, size, problem, BEHIND_RETRY_MS)
        return
    urgent = message.kind != pb.CLOSE
    if not state.rehome_pacer.take(now, urgent=urgent):
        refuse_datagram(
            state, address, message, size, Code.REQ_HOME_LOST, REHOME_RETRY_MS
        )
        return
    target = token.target
    if not is_usable(state, token.service, target):
        placement = state.placements[token.service]
        target = placement.choose_target(now, exclude=state.leaving_targets)
    if target is None:
        refuse_datagram(
            state,
            address,
            message,
            size,
            Code.REQ_NO_TARGET,
            NO_TARGET_RETRY_MS,
        )
        return
    epoch = make_nonce()
    count_event(state, 'flows_rehomed')
    new_token = _mint_home_token(
        state, now, token.service, target, token.flow, epoch
    )
    send_message(
        state,
        address,
        msg.Moved(token.service, token.flow, token.epoch, epoch, new_token),
    )


def _find_rehome_problem(state, token):
    if state.leaving:
        return Code.REQ_STOPPING
    if _is_behind(state, token):
        return Code.REQ_BEHIND
    if token.service not in state.cfg.services:
        return Code.REQ_NO_SERVICE
    if pick_signing_key(state.cfg.keys) is None:
        return Code.REQ_NO_CFG
    return None


def _is_behind(state, token):
    """Say whether this instance lacks the facts that a token relies on.

    A target that is not known here may be new, not gone.  Choosing another
    one by an older configuration would move a feed off its target for
    nothing, perhaps to one that has left; so the datagram is refused until
    the newer configuration is here, within a fraction of a second.
    """
    if token.stamp <= state.cfg.stamp:
        return False
    return find_target(state, token.service, token.target) is None


def _handle_request(state, now, flow, message, size):
    requests.handle_request(state, now, flow, message, size)


def _handle_subscribe(state, now, flow, message, size):
    feeds.handle_subscribe(state, now, flow, message, size)


def _handle_ack(state, now, flow, message, size):
    feed = flow.feeds.get(message.number) if flow.feeds else None
    kept = flow.kept.get(message.number) if flow.kept else None
    if feed is not None:
        feeds.handle_feed_ack(state, now, flow, feed, message)
    elif kept is not None:
        requests.handle_request_ack(state, now, flow, kept, message)
    else:
        requests.handle_outcome(state, now, flow, message)


def _handle_cancel(state, now, flow, message, size):
    feed = flow.feeds.get(message.number) if flow.feeds else None
    kept = flow.kept.get(message.number) if flow.kept else None
    if feed is not None:
        feeds.end_feed(state, flow, feed)
    elif kept is not None:
        requests.cancel_request(state, now, flow, kept)
    else:
        requests.cancel_unseen(state, now, flow, message.number)


def _handle_outcome(state, now, flow, message, size):
    requests.handle_outcome(state, now, flow, message)


def _handle_close(state, now, flow, message, size):
    """End all work of a flow; its window stays until the token expires."""
    flow.closed = True
    for feed in list((flow.feeds or {}).values()):
        feeds.end_feed(state, flow, feed)
    for kept in list((flow.kept or {}).values()):
        requests.cancel_request(state, now, flow, kept)


_URGENCIES = {
    pb.OPEN: Urgency.OPEN,
    pb.REQUEST: Urgency.SHORT,
    pb.SUBSCRIBE: Urgency.KEEP,
    pb.ACK: Urgency.KEEP,
    pb.CANCEL: Urgency.KEEP,
    pb.CLOSE: Urgency.KEEP,
}

_HANDLERS = {
    pb.REQUEST: _handle_request,
    pb.SUBSCRIBE: _handle_subscribe,
    pb.ACK: _handle_ack,
    pb.CANCEL: _handle_cancel,
    pb.OUTCOME: _handle_outcome,
    pb.CLOSE: _handle_close,
}
