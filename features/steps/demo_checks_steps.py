"""Steps about the checks of the demo."""

import hashlib
from pathlib import Path

from behave import given, then, when

from bench.checks import check_service
from standins.works import make_event

STALL_S = 2


def build_request(number, ran='DONE'):
    payload = f'hold booking/f1/{number}'
    answer = f'booking/f1/{number}'.encode()
    return {
        'kind': 'request',
        'flow': 'f1',
        'epoch': 7,
        'number': number,
        'payload': payload,
        'ran': ran,
        'code': '',
        'answered': ran == 'DONE',
        'bytes': len(answer),
        'sha256': hashlib.sha256(answer).hexdigest(),
    }


def build_feed():
    digest = hashlib.blake2b()
    for position in range(3):
        digest.update(make_event('booking/f1', position))
    return {
        'kind': 'feed',
        'flow': 'f1',
        'topic': 'feed booking/f1 5',
        'items': 3,
        'out_of_order': 0,
        'resumes': 0,
        'ended': '',
        'gap_s': 0.4,
        'digest': digest.hexdigest(),
    }


@given('the records and dumps of a good demo run')
def build_run(context):
    context.hold = build_request(1)
    context.refused = build_request(2, 'NOT_RUN')
    context.feed = build_feed()
    context.dump = {
        'name': 'booking-1',
        'service': 'booking',
        'runs': [['f1', 7, 1, 1, 'hold booking/f1/1']],
        'misrouted': 0,
    }


def add_run(context, flow, number, payload):
    context.dump['runs'].append([flow, 7, number, 1, payload])


def run_twice(context):
    context.dump['runs'][0][3] = 2


def run_under_two(context):
    add_run(context, 'f1', 3, 'hold booking/f1/1')


def change_answer(context):
    context.hold['sha256'] = '0'


def run_refused(context):
    add_run(context, 'f1', 2, 'hold booking/f1/2')


def forget_run(context):
    context.dump['runs'].clear()


def run_foreign(context):
    add_run(context, 'f9', 1, 'echo x')


def ask_other(context):
    context.dump['misrouted'] = 1


def change_feed(**changes):
    def plant(context):
        context.feed |= changes

    return plant


FAULTS = {
    'a hold ran twice under one id': run_twice,
    'a hold ran under two ids': run_under_two,
    'an answer is another one': change_answer,
    'a refused hold ran': run_refused,
    'a hold told as done never ran': forget_run,
    'a target ran for a foreign flow': run_foreign,
    'a target was asked for another name': ask_other,
    'a feed ended': change_feed(ended='REQ-001'),
    'a feed stalled': change_feed(gap_s=2.5),
    'a feed has another event': change_feed(digest='0'),
    'a feed never began': change_feed(items=0),
}


@when('the demo fault "{fault}" is planted')
def plant_fault(context, fault):
    FAULTS[fault](context)


def run_checks(context):
    rows = [context.hold, context.refused, context.feed]
    return check_service('booking', rows, [context.dump], Path(), STALL_S)


@then("the demo's checks find nothing")
def check_nothing(context):
    found = run_checks(context)
    assert not found.wrong, found.wrong
    assert found.answers_right == 1


@then('the demo\'s checks count 1 as "{kind}"')
def check_counted(context, kind):
    found = run_checks(context)
    assert getattr(found, kind) == 1, found.wrong
    assert len(found.wrong) == 1, found.wrong
