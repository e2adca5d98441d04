"""Checkers of what must always hold, over a tape of observations.

Each returns a list of sentences, one a violation; empty is a pass.  The
answer of a request and the events of a feed are functions of their ids
(:func:`expect_answer`, :func:`expect_event`), so that a checker can tell
whose they are.
"""

from collections import Counter
from hashlib import blake2b

from cornelgap.core.verdicts import RunState
from features.proofs import records as rec

DRAIN_S = 4.0
"""Seconds after which a leaving target gets no new work."""

ANSWER_BYTES = 48
"""Length of a short expected answer before it is repeated."""


def expect_answer(payload, size=ANSWER_BYTES):
    """Compute the one right answer to a request's payload."""
    seed = blake2b(payload, digest_size=ANSWER_BYTES).digest()
    times = size // ANSWER_BYTES + 1
    return (seed * times)[:size]


def expect_event(feed, position):
    """Compute the one right payload of a feed's event."""
    return blake2b(f'{feed}:{position}'.encode(), digest_size=8).digest()


def check_at_most_once(tape):
    """Find non-idempotent request ids and holds that ran twice.

    A hold may be tried under a new id only after a NOT_RUN verdict, so two
    runs under two ids are as wrong as two under one.
    """
    holds = _map_holds(tape)
    once = [
        run
        for run in tape.pick(rec.Executed)
        if run.req in holds and not holds[run.req].idempotent
    ]
    by_id = Counter(run.req for run in once)
    by_hold = Counter(holds[run.req].hold for run in once)
    found = [f'id {req} ran {n} times' for req, n in by_id.items() if n > 1]
    found += [
        f'hold {hold} ran {n} times' for hold, n in by_hold.items() if n > 1
    ]
    return found


def check_true_refusals(tape):
    """Find NOT_RUN verdicts of requests that ran, before or after."""
    ran = {run.req for run in tape.pick(rec.Executed)}
    return [
        f'{said.caller} was told NOT_RUN of {said.req}, which ran'
        for said in tape.pick(rec.Judged)
        if said.ran is RunState.NOT_RUN and said.req in ran
    ]


def check_true_done(tape):
    """Find DONE verdicts and answers of requests that never ran."""
    ran = {run.req for run in tape.pick(rec.Executed)}
    told = [said for said in tape.pick(rec.Judged) if said.ran is RunState.DONE]
    told += tape.pick(rec.Answered)
    return [
        f'{said.caller} was told that {said.req} is done, it never ran'
        for said in told
        if said.req not in ran
    ]


def check_stable_verdicts(tape):
    """Find request ids whose final verdicts contradict each other.

    NOT_RUN and anything that says or allows a run exclude each other;
    MAY_HAVE_RUN may sharpen to DONE.
    """
    said = {}
    for item in tape.pick(rec.Judged):
        said.setdefault(item.req, set()).add(item.ran)
    for item in tape.pick(rec.Answered):
        said.setdefault(item.req, set()).add(RunState.DONE)
    return [
        f'{req} was told {sorted(rans)}'
        for req, rans in said.items()
        if RunState.NOT_RUN in rans and RunState.DONE in rans
    ]


def check_whole_answers(tape, size=ANSWER_BYTES):
    """Find answers that are cut, mixed or somebody else's.

    A request's payload begins with the size of answer that it asks for
    when it holds a colon, for example ``2400:booking/1``.
    """
    asked = {run.req: run.payload for run in tape.pick(rec.Executed)}
    found = []
    for item in tape.pick(rec.Answered):
        payload = asked.get(item.req)
        if payload is None:
            found.append(f'{item.caller} got an answer to {item.req}, unasked')
        elif item.payload != expect_answer(payload, read_size(payload, size)):
            found.append(f'{item.caller} got a wrong answer to {item.req}')
    return found


def read_size(payload, size=ANSWER_BYTES):
    """Read the size of answer that a payload asks for."""
    head, colon, _ = payload.partition(b':')
    return int(head) if colon and head.isdigit() else size


def check_own_service(tape):
    """Find requests that reached a target of another service."""
    return [
        f'{run.req} of {run.wanted} reached {run.target} of {run.service}'
        for run in tape.pick(rec.Executed)
        if run.service != run.wanted
    ]


def check_feeds(tape):
    """Find feeds with a gap, a doubled event or a foreign payload."""
    upto = {}
    found = []
    for item in tape.pick(rec.Heard):
        key = (item.caller, item.feed)
        wanted = upto.get(key, 0)
        if item.position != wanted:
            found.append(f'{key} got {item.position} in place of {wanted}')
        if item.payload != expect_event(item.feed, item.position):
            found.append(f'{key} got a foreign event at {item.position}')
        upto[key] = max(wanted, item.position + 1)
    return found


def check_revisions(tape):
    """Find entry instances whose revision fell while they ran."""
    upto = {}
    found = []
    for item in tape.pick(rec.Adopted):
        key = (item.instance, item.boot)
        if item.revision < upto.get(key, 0):
            found.append(f'{key} fell to revision {item.revision}')
        upto[key] = max(item.revision, upto.get(key, 0))
    return found


def check_drains(tape):
    """Find leaving targets that were given work after a few seconds."""
    left = {item.target: item.at for item in tape.pick(rec.Left)}
    work = tape.pick(rec.Executed) + tape.pick(rec.Followed)
    return [
        f'{item.target} got new work {item.at - left[item.target]:.1f} s'
        ' after it began to leave'
        for item in work
        if item.at > left.get(item.target, item.at) + DRAIN_S
    ]


CHECKERS = {
    'at most once': check_at_most_once,
    'true refusal': check_true_refusals,
    'true done': check_true_done,
    'stable verdict': check_stable_verdicts,
    'whole answer': check_whole_answers,
    'own service': check_own_service,
    'feed': check_feeds,
    'revision': check_revisions,
    'drain': check_drains,
}


def check_all(tape):
    """Run every checker; return violations by checker, only those found."""
    found = {name: check(tape) for name, check in CHECKERS.items()}
    return {name: lines for name, lines in found.items() if lines}


def _map_holds(tape):
    return {item.req: item for item in tape.pick(rec.Sent)}
