"""Planned stop: flows are handed to other entry instances, none is cut.

Load pattern: an instance that is replaced holds thousands of flows, some
with requests in progress.  A flow is handed over in a quiet moment, with
its window, its kept answers and its feeds' positions, under the same id
space.  The batches are small and one per successor is under way at a
time, so that a successor is never flooded.  Ownership passes with the
record: from the moment a record is built, this instance runs nothing of
the flow and relays what still comes for it.
"""

import sys
from dataclasses import dataclass

from cornelgap.core import messages as msg
from cornelgap.core.stamps import Stamp
from cornelgap.core.verdicts import RunState, Verdict
from cornelgap.core.window import decode_seen, encode_seen
from cornelgap.entry import answers
from cornelgap.entry.feeds import add_feed, end_feed
from cornelgap.entry.lookups import find_target, is_quiet
from cornelgap.entry.pins import ensure_target
from cornelgap.entry.replies import mint_flow_token, send_message
from cornelgap.entry.state import (
    Feed,
    Flow,
    Kept,
    count_event,
    make_key,
    pack_address,
    split_key,
)
from cornelgap.wire import peer_pb2 as pb

BATCH_FLOWS = 64
"""Flows in one handover message; with windows and kept answers it stays
below a megabyte."""

BATCH_BYTES = 1_000_000

BATCH_TIMEOUT_S = 1.0
"""A batch without an answer is sent again to the same successor, which
takes a record that it has already as the same one."""

TELL_AGAIN_S = 0.5
"""When a caller is told its new token again; well within the time for
which the leaver relays stragglers."""

LINGER_S = 2.0
"""How long stragglers are relayed after the last flow has gone; callers
learn their new token within one round trip, and ask again each second."""


@dataclass(slots=True)
class HandOver:
    """Effect: send flow records to a successor over gRPC.

    :param records: list of :class:`~cornelgap.wire.peer_pb2.FlowRecord`.
    """

    batch_id: int
    peer: str
    records: list


@dataclass(slots=True)
class HandedOver:
    """Event: the successor's answer to a batch."""

    batch_id: int
    taken: bool


@dataclass(slots=True)
class _Batch:
    peer: str
    boot: int
    records: list
    sent_at: float


def start_leaving(state, now):
    """Begin a planned stop; what is in progress goes on."""
    if state.leaving:
        return
    state.leaving = True
    state.handed_at = now


def is_finished(state, now):
    """Say whether nothing is in progress and nothing is left to hand over.

    With no live peer nobody can take the flows, and waiting for one would
    never end the stop; their callers find a new home by themselves later.
    """
    if not state.leaving or state.batches or state.open_requests:
        return False
    if state.membership.list_live(now) and _count_unmoved(state):
        return False
    return now - state.handed_at >= LINGER_S


def _count_unmoved(state):
    services = state.cfg.services
    return sum(
        not flow.moved_to and flow.service in services
        for flow in state.flows.values()
    )


def hand_over_flows(state, now):
    """Send the next batches to successors, and again what got no answer."""
    if not state.leaving:
        return
    peers = sorted(state.membership.list_live(now))
    _repeat_batches(state, now)
    busy = {batch.peer for batch in state.batches.values()}
    for peer in peers:
        boot = state.membership.find_boot(peer)
        if boot and peer not in busy:
            _send_batch(state, now, peer, boot)


def _repeat_batches(state, now):
    for batch_id, batch in list(state.batches.items()):
        if now - batch.sent_at < BATCH_TIMEOUT_S:
            continue
        batch.sent_at = now
        if state.membership.is_lost(now, batch.peer, batch.boot):
            # The successor may have taken them before it was lost, so they
            # stay its own; their callers re-home them in a new id space.
            state.batches.pop(batch_id)
            count_event(state, 'handover_lost')
        else:
            state.effects.append(HandOver(batch_id, batch.peer, batch.records))


def _send_batch(state, now, peer, boot):
    records = []
    size = 0
    for flow in state.flows.values():
        if len(records) >= BATCH_FLOWS or size >= BATCH_BYTES:
            break
        if flow.moved_to or not is_quiet(flow):
            continue
        if flow.service not in state.cfg.services:
            continue
        flow.moved_to = peer
        records.append(_build_record(state, now, flow, boot))
        size += records[-1].ByteSize()
    if not records:
        return
    batch_id = state.next_batch_id
    state.next_batch_id += 1
    state.batches[batch_id] = _Batch(peer, boot, records, now)
    state.effects.append(HandOver(batch_id, peer, records))


def _build_record(state, now, flow, boot):
    flow_id, epoch = split_key(flow.key)
    host, port = flow.address
    record = pb.FlowRecord(
        flow_id=flow_id,
        service=flow.service,
        target=flow.target,
        epoch=epoch,
        top=flow.top,
        seen=encode_seen(flow.seen),
        caller_host=host,
        caller_port=port,
        token_left_ms=int(max(0, flow.expiry - now) * 1000),
        successor_boot=boot,
        revision=state.cfg.revision,
        era=state.cfg.era,
        closed=flow.closed,
    )
    for kept in (flow.kept or {}).values():
        record.kept.append(_build_kept(kept))
    for feed in (flow.feeds or {}).values():
        record.feeds.append(
            pb.Feed(number=feed.number, position=feed.base, payload=feed.topic)
        )
    return record


def _build_kept(kept):
    out = kept.answer
    return pb.KeptRequest(
        number=kept.number,
        ran=kept.verdict.ran,
        code=kept.verdict.code,
        same_id=kept.verdict.same_id,
        retry_after_ms=kept.verdict.retry_after_ms,
        base=out.base if out else 0,
        chunks=out.chunks if out else (),
        whole=out is not None,
    )


def finish_batch(state, now, event):
    """Take a successor's answer: let go of the flows, or take them back.

    A successor that leaves takes nothing any more, so its refusal is for
    good and the flows are this instance's again; without that, two
    instances that stop together would each point at the other.  After any
    other refusal a late copy of the batch might still be taken, so it is
    only sent again, to the same one.
    """
    batch = state.batches.get(event.batch_id)
    if batch is None:
        return
    is_leaving = batch.peer not in state.membership.list_live(now)
    if not event.taken and not is_leaving:
        return
    state.batches.pop(event.batch_id)
    state.handed_at = now
    for record in batch.records:
        flow = state.flows.get(make_key(record.flow_id, record.epoch))
        if flow is None:
            continue
        if event.taken:
            _release_flow(state, flow)
        else:
            flow.moved_to = ''
    count_event(state, 'handover_batches')


def _release_flow(state, flow):
    for feed in list((flow.feeds or {}).values()):
        end_feed(state, flow, feed)
    flow.kept = None


def take_records(state, now, records):
    """Become the home of flows that another instance hands over.

    A batch is taken whole or not at all, so that its sender can take it
    back after a refusal.  A record that was taken before is left alone:
    the first answer was lost, and what has happened here since is the
    newer truth.

    :returns: how many flows are owned here now.
    """
    keys = [make_key(record.flow_id, record.epoch) for record in records]
    if all(_is_taken(state, *pair) for pair in zip(keys, records)):
        return len(records)
    if state.leaving or not all(_may_take(state, it) for it in records):
        return 0
    for key, record in zip(keys, records):
        _take_record(state, now, key, record)
    return len(records)


def _is_taken(state, key, record):
    return record.successor_boot == state.boot and key in state.flows


def _may_take(state, record):
    """Say whether a record is meant for this process and can be served.

    A batch is repeated when its answer is lost.  If the successor has been
    restarted in between, the new process would take an old window under the
    same ids, and a hold that the old process ran would run again; the
    caller would see it doubled.  Only the boot that was meant may take it.
    """
    if record.successor_boot != state.boot:
        return False
    if record.service not in state.cfg.services:
        return False
    known = find_target(state, record.service, record.target) is not None
    return known or Stamp(record.era, record.revision) <= state.cfg.stamp


def _take_record(state, now, key, record):
    flow = Flow(
        key=key,
        service=sys.intern(record.service),
        target=sys.intern(record.target),
        caller=pack_address((record.caller_host, record.caller_port)),
        expiry=now + record.token_left_ms / 1000,
        top=record.top,
        seen=decode_seen(record.seen),
        closed=record.closed,
    )
    state.flows[key] = flow
    state.placements[flow.service].note_flow(flow.target, 1)
    ensure_target(state, now, flow)
    for kept in record.kept:
        flow.kept = {} if flow.kept is None else flow.kept
        flow.kept[kept.number] = _restore_kept(now, kept)
        state.kept_ended[key, kept.number] = now
    count_event(state, 'flows_taken')
    send_moved_here(state, now, flow)
    state.untold.append((now + TELL_AGAIN_S, key))
    for feed in record.feeds:
        add_feed(
            state,
            now,
            flow,
            Feed(
                number=feed.number,
                topic=feed.payload,
                base=feed.position,
                cursor=feed.position,
                heard_at=now,
            ),
        )


def tell_again(state, now):
    """Tell callers of flows taken over a second time.

    One datagram in a hundred is lost.  An idle caller that missed its new
    token would use the old one when the leaver has ended, be re-homed in a
    new id space, and be told of a hold that never ran that it may have run.
    """
    while state.untold and state.untold[0][0] <= now:
        _, key = state.untold.popleft()
        flow = state.flows.get(key)
        if flow is not None and not flow.moved_to and not flow.closed:
            send_moved_here(state, now, flow)


def _restore_kept(now, record):
    answer = None
    if record.whole:
        answer = answers.Outgoing(
            base=record.base,
            cursor=record.base,
            ended=True,
            ahead=0,
            chunks=list(record.chunks),
            sent_at=[-1.0] * len(record.chunks),
        )
    return Kept(
        number=record.number,
        payload=b'',
        idempotent=False,
        long_job=False,
        deadline=now,
        verdict=Verdict(
            ran=RunState(record.ran),
            code=record.code,
            same_id=record.same_id,
            retry_after_ms=record.retry_after_ms,
        ),
        ended_at=now,
        answer=answer,
    )


def send_moved_here(state, now, flow):
    """Tell a caller that this instance is the home, ids unchanged."""
    token = mint_flow_token(state, now, flow)
    if not token:
        return
    flow_id, epoch = split_key(flow.key)
    send_message(
        state,
        flow.address,
        msg.Moved(flow.service, flow_id, epoch, epoch, token),
    )
