"""Requests at their home: seen once, admitted, run, answered, kept.

Only the process that owns a flow's id space comes here.  A number is
marked in the window before anything else happens to it.  Without that, a
request that was refused could still run when a late copy of the same
datagram arrives, and its caller, told "not run", would have sent it anew:
it would run twice.
"""

from dataclasses import replace

from cornelgap.core import calls
from cornelgap.core import messages as msg
from cornelgap.core.errors import Code
from cornelgap.core.verdicts import (
    RunState,
    Verdict,
    confirm_done,
    refuse_not_run,
    report_may_have_run,
)
from cornelgap.core.window import is_new_number, mark_number
from cornelgap.decisions.admission import Job
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry import answers
from cornelgap.entry.lookups import find_target, register_call
from cornelgap.entry.pins import ensure_target, move_flow
from cornelgap.entry.replies import (
    refuse_datagram,
    send_message,
    send_progress,
    send_report,
    take_renewal,
)
from cornelgap.entry.state import Kept, count_event, split_key

KEEP_ANSWER_S = 30.0
"""How long a verdict and its unacknowledged answer stay for a caller that
asks again: several of its retry periods, far below a token's life."""

MAX_KEPT = 64
"""Most ended requests kept for one flow; the window outlives them."""

MOVING_RETRY_MS = 50
NO_TARGET_RETRY_MS = 500


def handle_request(state, now, flow, req, size):
    """Take a request datagram, new or repeated."""
    flow.kept = {} if flow.kept is None else flow.kept
    kept = flow.kept.get(req.number)
    if kept is not None:
        _repeat_status(state, now, flow, kept, req.credit)
        return
    if not is_new_number(flow.top, flow.seen, req.number):
        verdict = report_may_have_run(Code.REQ_TOO_OLD)
        send_report(state, now, flow, req.number, verdict)
        return
    if state.leaving or flow.closed:
        # Nothing is marked: the same id may run at the successor.
        refuse_datagram(
            state, flow.address, req, size, Code.REQ_MOVING, MOVING_RETRY_MS
        )
        return
    flow.top, flow.seen = mark_number(flow.top, flow.seen, req.number)
    _admit_new(state, now, flow, req)


def _admit_new(state, now, flow, req):
    service = state.cfg.services[flow.service]
    # An instance that was paused finds datagrams that lay in its socket.
    # Counted from now, a hold would run whose student has given up and
    # believes it in doubt; so the time in the socket counts as well.
    allowed_ms = min(req.deadline_ms, service.deadline_ms)
    kept = Kept(
        number=req.number,
        payload=req.payload,
        idempotent=req.idempotent,
        long_job=req.long_job,
        deadline=now + allowed_ms / 1000 - state.waited_s,
        arrived=now,
        answer=answers.Outgoing(credit=max(req.credit, 1)),
    )
    flow.kept[req.number] = kept
    state.open_requests += 1
    count_event(state, 'requests')
    state.budgets[flow.service].note_request(now)
    offer_request(state, now, flow, kept)


def offer_request(state, now, flow, kept):
    """Ask admission whether a request runs now, waits or is refused."""
    if not ensure_target(state, now, flow):
        verdict = refuse_not_run(str(Code.REQ_NO_TARGET), NO_TARGET_RETRY_MS)
        end_request(state, now, flow, kept, verdict)
        return
    kept.target = flow.target
    job = Job(
        key=(flow.key, kept.number),
        caller=flow.address[0],
        target=flow.target,
        long_job=kept.long_job,
        deadline=kept.deadline,
        arrived=kept.arrived,
    )
    step = state.admissions[flow.service].offer(now, job)
    apply_step(state, now, step)
    if kept.verdict is None and not kept.call_id:
        state.waiting[job.key] = True
        send_progress(state, now, flow, kept.number)


def sweep_waiting(state, now):
    """Refuse what can no longer end in time, start what now may.

    Only services in which something waits are looked at: asking each of
    2,300 in each tick took a tenth of a core of an idle instance.
    """
    flows = (state.flows.get(key) for key, _ in state.waiting)
    services = dict.fromkeys(flow.service for flow in flows if flow)
    for service in services:
        admission = state.admissions.get(service)
        if admission is not None:
            apply_step(state, now, admission.sweep(now))


def apply_step(state, now, step):
    """Carry out what admission decided."""
    for refusal in step.refuse:
        flow, kept = _find_job(state, refusal.job)
        if kept is not None:
            verdict = refuse_not_run(str(refusal.code), refusal.retry_after_ms)
            end_request(state, now, flow, kept, verdict)
    for job in step.start:
        flow, kept = _find_job(state, job)
        if kept is not None:
            _start_run(state, now, flow, kept)


def _find_job(state, job):
    key, number = job.key
    flow = state.flows.get(key)
    if flow is None or not flow.kept:
        return None, None
    return flow, flow.kept.get(number)


def _start_run(state, now, flow, kept):
    state.waiting.pop((flow.key, kept.number), None)
    target = find_target(state, flow.service, kept.target)
    if target is None or now >= kept.deadline:
        # An instance that was paused wakes with old work in its queue.
        # The caller has given up; running it now would surprise them.
        late = target is not None
        code = Code.REQ_DEADLINE if late else Code.REQ_NO_TARGET
        _finish_admission(state, now, flow, kept, CallEnd.CANCELLED, 0)
        end_request(state, now, flow, kept, refuse_not_run(str(code)))
        return
    kept.call_id = register_call(state, now, flow, kept.number, target.name)
    flow_id, epoch = split_key(flow.key)
    state.effects.append(
        calls.StartRun(
            call_id=kept.call_id,
            service=flow.service,
            target=target.name,
            address=target.address,
            incarnation=state.incarnations.get(target.name, 0),
            flow_id=flow_id,
            epoch=epoch,
            number=kept.number,
            idempotent=kept.idempotent,
            deadline=kept.deadline,
            payload=kept.payload,
            pieces=answers.PIECES_AHEAD,
        )
    )


def handle_piece(state, now, flow, kept, event):
    """Take a piece of an answer and pass on what the caller can take."""
    answers.add_piece(kept.answer, event.payload, event.last)
    _send_unsent(state, now, flow, kept)
    _grant_more(state, kept)


def _send_unsent(state, now, flow, kept):
    for position in answers.take_unsent(kept.answer):
        _send_chunk(state, now, flow, kept, position)


def _send_chunk(state, now, flow, kept, position):
    payload, last = answers.read_chunk(kept.answer, now, position)
    flow_id, epoch = split_key(flow.key)
    token = take_renewal(state, now, flow) if flow.renew else b''
    send_message(
        state,
        flow.address,
        msg.Chunk(flow_id, epoch, kept.number, position, payload, last, token),
    )


def _grant_more(state, kept):
    if not kept.call_id:
        return
    grant = answers.count_grant(kept.answer)
    if grant:
        state.effects.append(calls.GrantPieces(kept.call_id, grant))


def handle_ended(state, now, flow, kept, event, call):
    """Take the end of a call and decide what its request becomes."""
    kept.call_id = 0
    _finish_admission(state, now, flow, kept, event.ended, now - call.started)
    if kept.verdict is not None:
        return
    if event.ran is RunState.DONE or kept.answer.ended:
        # The last piece came before the connection broke: nothing is
        # missing, and a doubt would make the caller drop a whole answer.
        end_request(state, now, flow, kept, confirm_done())
    elif event.ended is CallEnd.SHED and not kept.answer.chunks:
        # The target has no room now and says that nothing ran.  Admission
        # holds the target's queue back for a while and refuses the request
        # itself if it cannot run in time.
        count_event(state, 'shed_waits')
        offer_request(state, now, flow, kept)
    elif _may_retry(state, now, flow, kept, event):
        count_event(state, 'retries')
        kept.doubtful = kept.doubtful or event.ran is not RunState.NOT_RUN
        move_flow(state, now, flow)
        offer_request(state, now, flow, kept)
    else:
        verdict = Verdict(
            ran=event.ran,
            code=str(event.code),
            retry_after_ms=event.retry_after_ms,
        )
        end_request(state, now, flow, kept, verdict)


def _may_retry(state, now, flow, kept, event):
    """Say whether the same id may run again at this home.

    A request of which the caller has seen a part is never retried: two
    runs may answer differently, and the caller would join their pieces.
    """
    if state.leaving:
        return False
    if answers.count_positions(kept.answer) or kept.answer.tail:
        return False
    budget = state.budgets.get(flow.service)
    if budget is None:
        return False
    if not budget.may_retry(now, kept.deadline, event.ran, kept.idempotent):
        return False
    kept.answer = answers.Outgoing(credit=kept.answer.credit)
    return True


def _finish_admission(state, now, flow, kept, ended, took_s):
    admission = state.admissions.get(flow.service)
    if admission is not None:
        key = (flow.key, kept.number)
        apply_step(state, now, admission.finish(now, key, ended, took_s))


def end_request(state, now, flow, kept, verdict):
    """Give a request its final verdict, at once, and keep it for repeats."""
    verdict = limit_claim(kept, verdict)
    kept.verdict = verdict
    kept.ended_at = now
    kept.payload = b''
    state.open_requests -= 1
    state.waiting.pop((flow.key, kept.number), None)
    state.kept_ended[flow.key, kept.number] = now
    if verdict.ran is not RunState.DONE:
        kept.answer = None
        send_report(state, now, flow, kept.number, verdict)
    elif answers.is_acknowledged(kept.answer):
        kept.answer = None
    _drop_surplus(state, flow)


def limit_claim(kept, verdict):
    """Let a verdict claim no more than all attempts of the request allow.

    An idempotent request may be tried twice under one id.  If the first try
    may have run and the second is refused, "not run" would be true of the
    second only; the caller would learn of a result that it was told cannot
    exist.
    """
    if kept.doubtful and verdict.ran is RunState.NOT_RUN:
        return replace(verdict, ran=RunState.MAY_HAVE_RUN)
    return verdict


def _drop_surplus(state, flow):
    while len(flow.kept) > MAX_KEPT:
        oldest = next(
            (number for number, kept in flow.kept.items() if kept.verdict),
            None,
        )
        if oldest is None:
            return
        flow.kept.pop(oldest)
        state.kept_ended.pop((flow.key, oldest), None)


def handle_request_ack(state, now, flow, kept, ack):
    """Free what the caller has, send again what it lacks, go on."""
    if kept.answer is None:
        _repeat_status(state, now, flow, kept, ack.credit)
        return
    for position in answers.take_ack(
        kept.answer, now, ack.position, ack.missing, ack.credit
    ):
        _send_chunk(state, now, flow, kept, position)
    _send_unsent(state, now, flow, kept)
    _grant_more(state, kept)
    if answers.is_acknowledged(kept.answer) and kept.verdict is not None:
        # Before the verdict the empty answer must stay: it says that all
        # was sent, to whoever asks again until the call has ended.
        kept.answer = None
    elif kept.verdict is None and not kept.answer.chunks:
        send_progress(state, now, flow, kept.number)


def _repeat_status(state, now, flow, kept, credit):
    """Answer a repeated request or a question for its outcome."""
    if kept.verdict is None and not kept.answer.chunks:
        send_progress(state, now, flow, kept.number)
    elif kept.answer is not None and kept.answer.chunks:
        out = kept.answer
        for position in answers.take_ack(out, now, out.base, [], credit):
            _send_chunk(state, now, flow, kept, position)
        _send_unsent(state, now, flow, kept)
    else:
        send_report(state, now, flow, kept.number, kept.verdict)


def handle_outcome(state, now, flow, query):
    """Say what became of a request id."""
    kept = flow.kept.get(query.number) if flow.kept else None
    if kept is not None:
        credit = kept.answer.credit if kept.answer else 0
        _repeat_status(state, now, flow, kept, credit)
        return
    if is_new_number(flow.top, flow.seen, query.number):
        # Asking must not burn the number: a first copy may be on its way.
        verdict = Verdict(
            ran=RunState.UNKNOWN, code=str(Code.REQ_NEVER_SEEN), same_id=True
        )
    else:
        verdict = report_may_have_run(str(Code.REQ_TOO_OLD))
    send_report(state, now, flow, query.number, verdict)


def cancel_request(state, now, flow, kept):
    """End a request that its caller no longer wants."""
    if kept.verdict is not None:
        return
    if kept.call_id:
        state.effects.append(calls.StopCall(kept.call_id))
        verdict = report_may_have_run(str(Code.REQ_CANCELLED))
    else:
        admission = state.admissions[flow.service]
        step = admission.cancel(now, (flow.key, kept.number))
        apply_step(state, now, step)
        verdict = refuse_not_run(str(Code.REQ_CANCELLED))
    end_request(state, now, flow, kept, verdict)


def cancel_unseen(state, now, flow, number):
    """Cancel a number that never came, so that a late copy cannot run."""
    if not is_new_number(flow.top, flow.seen, number):
        return
    flow.top, flow.seen = mark_number(flow.top, flow.seen, number)
    flow.kept = {} if flow.kept is None else flow.kept
    kept = Kept(number, b'', False, False, now)
    flow.kept[number] = kept
    state.open_requests += 1
    verdict = refuse_not_run(str(Code.REQ_CANCELLED))
    end_request(state, now, flow, kept, verdict)


def drop_old_kept(state, now):
    """Forget ended requests after their time; the window still knows them."""
    while state.kept_ended:
        job_key = next(iter(state.kept_ended))
        if now - state.kept_ended[job_key] < KEEP_ANSWER_S:
            return
        state.kept_ended.pop(job_key)
        flow = state.flows.get(job_key[0])
        if flow is not None and flow.kept:
            flow.kept.pop(job_key[1], None)
            flow.kept = flow.kept or None
