"""The traps as short stories on hand-driven engines.

Each returns the violations that the checkers or the story itself saw, so
that the same story is played with its guard and without it.
"""

from dataclasses import replace

from cornelgap.core import messages as msg
from cornelgap.core.calls import PieceArrived
from cornelgap.core.settings import KeyCfg, KeyStage
from cornelgap.core.verdicts import RunState
from cornelgap.decisions.ends import CallEnd
from features.proofs import checkers
from features.proofs import records as rec
from features.proofs.hand import KEY, Desk, make_cfg, pick

SLEPT_S = 60.0
"""Longer than any deadline of a story."""

SHED_TURNS = 400
SHED_TURN_S = 0.1
KEEP_S = 31.0
"""Past the time for which the home keeps verdicts."""


def judge(desk, *more):
    """Give all violations of a story as a flat list."""
    found = checkers.check_all(desk.tape)
    lines = [line for lines in found.values() for line in lines]
    return lines + [line for line in more if line]


def shed_until_refused(desk):
    """Let the targets shed a request until the home gives it up."""
    for _ in range(SHED_TURNS):
        while desk.runs:
            name, effect = desk.runs.pop(0)
            desk.end_call(name, effect, CallEnd.SHED, RunState.NOT_RUN)
        desk.pass_time(SHED_TURN_S)
        if any(
            isinstance(message, msg.VerdictReport) for message, _ in desk.told
        ):
            return
    raise AssertionError('never refused')


def play_refused_copy():
    """A hold is shed and refused; its copy comes half a minute later."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    shed_until_refused(desk)
    desk.pass_time(KEEP_S)
    desk.request('e1', flow, 1)
    desk.run_all()
    return judge(desk)


def play_cancelled_copy():
    """A cancel overtakes its hold; the hold arrives afterwards."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.send('e1', msg.Cancel('booking', flow.token, 1))
    desk.pass_time(1)
    desk.request('e1', flow, 1)
    desk.run_all()
    return judge(desk)


def play_foreign_refusal():
    """An entry that lacks the key refuses a hold that the home has run."""
    desk = Desk(hold_peers=True)
    desk.start_entry('e1')
    other = KeyCfg(9, b'9' * 32)
    desk.start_entry('e2', make_cfg(keys=(other,)))
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    for reply in pick(desk.request('e2', flow, 1), msg.Refused):
        req = rec.ReqId(flow.flow, flow.epoch, reply.number)
        if reply.verdict.ran is not RunState.UNKNOWN:
            desk.tape.note(rec.Judged('c1', req, reply.verdict.ran))
    return judge(desk)


def play_idle_copy():
    """A flow is idle while its token lives; then an old copy arrives."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    desk.send('e1', msg.Ack('booking', flow.token, 1, 1))
    desk.pass_time(55)
    desk.request('e1', flow, 1)
    desk.run_all()
    return judge(desk)


def play_expired_copy():
    """A flow and its token have expired; then an old copy arrives."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    desk.pass_time(125)
    desk.request('e1', flow, 1)
    desk.run_all()
    return judge(desk)


def play_restarted_home():
    """A home restarts at its address; a copy of a run hold arrives."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    desk.start_entry('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    return judge(desk)


def play_broken_connection():
    """A connection breaks after the target began to run a hold."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    name, effect = desk.run_next()
    desk.end_call(name, effect, CallEnd.FAILED, RunState.MAY_HAVE_RUN)
    desk.run_all()
    return judge(desk)


def play_second_try_refused():
    """An idempotent question breaks, is tried again, and is then shed."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.request('e1', flow, 1, idempotent=True)
    name, effect = desk.run_next()
    desk.end_call(name, effect, CallEnd.FAILED, RunState.MAY_HAVE_RUN)
    shed_until_refused(desk)
    return judge(desk)


def play_old_revision():
    """An entry that lags gets a dead home's flow with a newer target."""
    desk = Desk()
    old = make_cfg(1, targets=('b1', 'b2'))
    new = make_cfg(2, targets=('b3',))
    desk.start_entry('e1', new)
    desk.start_entry('e2', old)
    flow = desk.open('e1')
    desk.lose_entry('e1', seen_by=('e2',))
    replies = desk.request('e2', flow, 1)
    for moved in pick(replies, msg.Moved):
        again = replace(flow, token=moved.token, epoch=moved.epoch)
        desk.request('e2', again, 1)
    guessed = [effect.target for _, effect in desk.runs]
    refused = pick(replies, msg.Refused)
    return judge(
        desk,
        guessed and f'moved by an old configuration to {guessed}',
        not guessed and not refused and 'neither moved nor refused',
    )


def play_older_read():
    """A lagging store answers with the revision before the present one."""
    desk = Desk()
    desk.start_entry('e1', make_cfg(2))
    desk.adopt('e1', make_cfg(3))
    desk.adopt('e1', make_cfg(2))
    return judge(desk)


def play_lagging_list():
    """The instance list lacks a live home; its flow's hold comes by another."""
    desk = Desk()
    desk.start_entry('e1')
    engine = desk.start_entry('e2')
    flow = desk.open('e1')
    desk.pass_time(2)
    engine.note_instances(desk.now, [], [])
    replies = desk.request('e2', flow, 1)
    desk.run_all()
    moved = pick(replies, msg.Moved)
    return judge(desk, moved and 'a live home lost its flow')


def play_retry_storm():
    """All calls of a service fail; each question could be tried again."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    starts = 0
    for number in range(1, 61):
        desk.request('e1', flow, number, idempotent=True)
        while desk.runs:
            starts += 1
            name, effect = desk.runs.pop(0)
            desk.end_call(name, effect, CallEnd.FAILED, RunState.MAY_HAVE_RUN)
            if starts > 1000:
                break
    # 60 requests earn 6 retries, beside the 5 of the start and a second's.
    storm = starts > 60 + 6 + 6
    return judge(desk, storm and f'{starts} calls for 60 requests')


def play_mass_rehoming():
    """A home with two thousand flows dies; all speak in one instant."""
    desk = Desk()
    desk.start_entry('e1')
    desk.start_entry('e2')
    flows = [desk.open('e1') for _ in range(2000)]
    desk.lose_entry('e1', seen_by=('e2',))
    replies = []
    for flow in flows:
        replies += desk.request('e2', flow, 1)
    moved = len(pick(replies, msg.Moved))
    waits = [
        one
        for one in pick(replies, msg.Refused)
        if one.verdict.retry_after_ms and one.verdict.same_id
    ]
    return judge(
        desk,
        moved > 400 and f'{moved} flows re-homed in one instant',
        moved + len(waits) < 2000 and 'some got no answer',
    )


def play_key_rotation():
    """A key is published; one entry has it not yet and gets a token."""
    desk = Desk()
    desk.start_entry('e1')
    desk.start_entry('e2')
    fresh = KeyCfg(2, b'2' * 32, KeyStage.PUBLISHED)
    desk.adopt('e1', make_cfg(2, keys=(KEY, fresh)))
    flow = desk.open('e1')
    replies = desk.request('e2', flow, 1)
    refused = pick(replies, msg.Refused)
    ran = len(desk.runs) == 1
    return judge(
        desk,
        refused and 'a valid token was refused',
        not ran and 'the hold was not relayed home',
    )


def play_old_key_retired():
    """A key retires while tokens that it signed are in use."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    fresh = KeyCfg(2, b'2' * 32, KeyStage.SIGNING)
    retiring = replace(KEY, stage=KeyStage.RETIRING)
    desk.adopt('e1', make_cfg(2, keys=(retiring, fresh)))
    desk.request('e1', flow, 1)
    return judge(desk, not desk.runs and 'a token in use was refused')


def play_no_signing_key():
    """A home dies while the key ring of its peer has no signing key."""
    desk = Desk()
    desk.start_entry('e1')
    desk.start_entry('e2')
    flow = desk.open('e1')
    desk.lose_entry('e1', seen_by=('e2',))
    retiring = replace(KEY, stage=KeyStage.RETIRING)
    desk.adopt('e2', make_cfg(2, keys=(retiring,)))
    replies = desk.request('e2', flow, 1)
    waits = [
        one
        for one in pick(replies, msg.Refused)
        if one.verdict.retry_after_ms and one.verdict.same_id
    ]
    return judge(desk, not waits and 'no answer and no time to come back')


def play_repeated_handover():
    """A handover's answer is lost, its successor restarts, it is repeated."""
    desk = Desk()
    desk.start_entry('e1')
    desk.start_entry('e2')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    desk.pass_time(2)
    desk.engines['e1'].start_leaving(desk.now)
    desk.tick('e1')
    desk.hand_over(answered=False)
    desk.request('e2', flow, 2)
    desk.run_all()
    # The leaving entry has not heard of the new process yet.
    desk.hold_peers = True
    desk.start_entry('e2')
    desk.pass_time(1)
    desk.hand_over()
    desk.request('e2', flow, 2)
    desk.run_all()
    return judge(desk)


def play_doubled_handover():
    """A handover arrives twice, with a hold run in between."""
    desk = Desk()
    flow, ((name, effect),) = hand_over_flow(desk)
    desk.request('e2', flow, 2)
    desk.run_all()
    desk.deliver_records(name, effect)
    desk.request('e2', flow, 1)
    desk.request('e2', flow, 2)
    desk.run_all()
    return judge(desk)


def play_missed_move():
    """A caller misses the datagram with its new token after a handover."""
    desk = Desk()
    flow, _ = hand_over_flow(desk)
    desk.pass_time(2)
    told = pick([message for message, _ in desk.told], msg.Moved)
    again = [moved for moved in told if moved.epoch == flow.epoch]
    return judge(desk, len(again) < 2 and 'told its new token only once')


def play_closed_flow():
    """A flow is closed and handed over; then a late first copy comes."""
    desk = Desk()
    flow, _ = hand_over_flow(desk, closed=True)
    desk.request('e2', flow, 2)
    ran = [effect.number for _, effect in desk.runs]
    return judge(desk, ran and f'closed flow runs {ran}')


def hand_over_flow(desk, closed=False):
    """Let e1 run one request of a flow and hand the flow over to e2.

    :returns: the flow, and what was handed over by whom.
    """
    desk.start_entry('e1')
    desk.start_entry('e2')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    if closed:
        desk.send('e1', msg.Close('booking', flow.token))
    desk.pass_time(2)
    desk.engines['e1'].start_leaving(desk.now)
    desk.tick('e1')
    return flow, desk.hand_over()


def play_slept_through():
    """A home sleeps while a hold lies in its socket past the deadline."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.engines['e1'].note_backlog(desk.now, SLEPT_S)
    desk.request('e1', flow, 1)
    ran = [effect.number for _, effect in desk.runs]
    return judge(desk, ran and f'runs {ran} after the deadline')


def play_early_ack():
    """A caller acknowledges an answer before its call has ended."""
    desk = Desk()
    desk.start_entry('e1')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    name, effect = desk.run_next()
    desk.report(name, PieceArrived(effect.call_id, 0, b'a', True, 1))
    desk.send('e1', msg.Ack('booking', flow.token, 1, 1))
    desk.request('e1', flow, 1)
    desk.send('e1', msg.OutcomeQuery('booking', flow.token, 1))
    desk.end_call(name, effect, CallEnd.FAILED, RunState.MAY_HAVE_RUN)
    return judge(desk)


def play_hopping():
    """Two entries each take the other for the home of one flow."""
    desk = Desk()
    desk.start_entry('e1')
    desk.start_entry('e2')
    flow = desk.open('e1')
    desk.request('e1', flow, 1)
    desk.run_all()
    for name, other in (('e1', 'e2'), ('e2', 'e1')):
        state = desk.engines[name].state
        for held in state.flows.values():
            held.moved_to = other
        key = flow.flow + flow.epoch.to_bytes(8, 'big')
        if key not in state.flows:
            source = desk.engines['e1'].state.flows[key]
            state.flows[key] = replace(source, moved_to=other)
    desk.hold_peers = True
    desk.request('e1', flow, 2)
    hops = 0
    while desk.peers and hops < 50:
        hops += 1
        source, effect = desk.peers.pop(0)
        engine = desk.engines[effect.peer]
        desk.carry_out(
            effect.peer,
            engine.handle_peer(desk.now, effect.datagram, f'{source}:1'),
        )
    return judge(desk, hops > 10 and f'a packet was passed on {hops} times')
