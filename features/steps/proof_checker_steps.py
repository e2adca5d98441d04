"""Steps that plant violations in a tape and ask the checkers."""

from dataclasses import replace

from behave import given, then, when

from cornelgap.core.verdicts import RunState
from features.proofs import checkers
from features.proofs import records as rec

RUN_ID = rec.ReqId(b'f' * 16, 7, 1)
REFUSED_ID = rec.ReqId(b'f' * 16, 7, 2)
RUN = rec.Executed('booking', 'booking', 'b1', RUN_ID, b'hold/1')
ANSWER = rec.Answered('c1', RUN_ID, checkers.expect_answer(b'hold/1'))


def hear(position, feed='c1/feed'):
    payload = checkers.expect_event(feed, position)
    return rec.Heard('c1', 'c1/feed', position, payload)


@given('a proof tape of one hold, one refused hold and one feed')
def build_tape(context):
    context.tape = rec.Tape(
        [
            rec.Adopted('e1', 1, 4),
            rec.Sent('c1', 'booking', RUN_ID, 'hold/1', False),
            RUN,
            ANSWER,
            rec.Judged('c1', RUN_ID, RunState.DONE),
            rec.Sent('c1', 'booking', REFUSED_ID, 'hold/2', False),
            rec.Judged('c1', REFUSED_ID, RunState.NOT_RUN),
            hear(0),
            hear(1),
            rec.Adopted('e1', 1, 5),
            rec.Adopted('e1', 2, 4),
        ]
    )


def plant_second_id(tape):
    other = replace(RUN_ID, epoch=8)
    tape.note(rec.Sent('c1', 'booking', other, 'hold/1', False))
    tape.note(replace(RUN, req=other))


def plant_answer(tape, payload):
    tape.items.remove(ANSWER)
    tape.note(replace(ANSWER, payload=payload))


def plant_unrun(tape, item):
    tape.items.remove(RUN)
    tape.items.remove(ANSWER)
    tape.note(item)


PLANTS = {
    'the id runs twice': lambda tape: tape.note(RUN),
    'the hold runs under a second id': plant_second_id,
    'the refused hold runs later': lambda tape: tape.note(
        replace(RUN, req=REFUSED_ID)
    ),
    'done without a run': lambda tape: plant_unrun(
        tape, rec.Judged('c1', RUN_ID, RunState.DONE)
    ),
    'an answer without a run': lambda tape: plant_unrun(tape, ANSWER),
    'refused and then answered': lambda tape: tape.note(
        rec.Judged('c1', RUN_ID, RunState.NOT_RUN)
    ),
    'the answer is cut': lambda tape: plant_answer(tape, ANSWER.payload[:-1]),
    'the answer is another one': lambda tape: plant_answer(
        tape, checkers.expect_answer(b'hold/9')
    ),
    'the request runs at the archive': lambda tape: tape.note(
        replace(RUN, service='archive')
    ),
    'the feed has a gap': lambda tape: tape.note(hear(3)),
    'the feed doubles an event': lambda tape: tape.note(hear(1)),
    'the feed carries a foreign event': lambda tape: tape.note(
        hear(2, 'c2/feed')
    ),
    'a leaving target gets a hold late': lambda tape: tape.items.extend(
        [rec.Left('b1', 1), replace(RUN, at=9, req=REFUSED_ID)]
    ),
    'a leaving target gets a feed late': lambda tape: tape.items.extend(
        [rec.Left('b1', 1), rec.Followed('b1', 9)]
    ),
    'the revision falls': lambda tape: tape.note(rec.Adopted('e1', 2, 3)),
}


@when('the proof violation "{violation}" is planted')
def plant_violation(context, violation):
    PLANTS[violation](context.tape)


@then('every proof checker passes it')
def check_good(context):
    assert checkers.check_all(context.tape) == {}


@then('the proof checker "{name}" catches it')
def check_caught(context, name):
    assert checkers.CHECKERS[name](context.tape)
