"""Steps about single decisions."""

import dataclasses
import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.core.settings import ServiceCfg, TargetCfg
from cornelgap.core.verdicts import RunState
from cornelgap.decisions.admission import Admission, Job
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.pacing import Pacer
from cornelgap.decisions.placement import Placement
from cornelgap.decisions.retry import RetryBudget, pick_retry_after_ms
from cornelgap.decisions.shedding import Shedder, Urgency

TARGET = 'target-0'


def build_service(count=1, zones=1, **options):
    targets = {}
    conns = options.pop('conns', 2000)
    for number in range(count):
        name = f'target-{number}'
        zone = f'zone-{number % zones}'
        targets[name] = TargetCfg(name, f'10.0.0.{number}:1', zone, 2, conns)
    return ServiceCfg('search', targets=targets, **options)


def start_placement(context, service):
    context.now = 100.0
    context.service = service
    context.placement = Placement.from_cfg(service, 'zone-0', context.rng)


def place_flows(context, count):
    placed = Counter()
    for _ in range(count):
        target = context.placement.choose_target(context.now)
        context.placement.note_flow(target, 1)
        placed[target] += 1
    return placed


def fail_times(context, target, times):
    for _ in range(times):
        context.placement.note_start(target, context.now)
        context.placement.note_end(target, context.now, CallEnd.FAILED, 0.001)


@given('a decision on placement over {count:d} targets')
def place_over(context, count):
    start_placement(context, build_service(count))


@given('a decision on placement over {count:d} targets in {zones:d} zones')
def place_over_zones(context, count, zones):
    start_placement(context, build_service(count, zones))


@given(
    'a decision on placement over {count:d} targets with {conns:d} '
    'connections each'
)
def place_over_conns(context, count, conns):
    start_placement(context, build_service(count, conns=conns))


@given('an imbalance weight of {weight:g} in the decision')
def set_weight(context, weight):
    service = dataclasses.replace(context.service, imbalance_weight=weight)
    start_placement(context, service)


@given('{count:d} decided flows')
@when('{count:d} decided flows are placed')
def place_some(context, count):
    place_flows(context, count)


@when('the decided target "{target}" fails {times:d} times and reports no load')
def fail_and_claim(context, target, times):
    context.placement.note_flow(target, 5)
    fail_times(context, target, times)
    context.placement.note_report(target, context.now, 0, 0, 2, False)


@when('the decided target "{target}" fails once more')
def fail_again(context, target):
    fail_times(context, target, 1)


@when('{count:d} of the decided targets fail {times:d} times')
def fail_most(context, count, times):
    for number in range(count):
        fail_times(context, f'target-{number}', times)


@when('all decided targets outside "{zone}" fail {times:d} times')
def fail_zones(context, zone, times):
    for name, target in context.service.targets.items():
        if target.zone != zone:
            fail_times(context, name, times)


@when(
    'the decided target "{target}" reports no load and the others report '
    '{load:d}'
)
def report_lies(context, target, load):
    for name in context.service.targets:
        claimed = 0 if name == target else load
        context.placement.note_report(name, context.now, claimed, 0, 2, False)


@when('all decided targets report that they drain')
def report_draining(context):
    for name in context.service.targets:
        context.placement.note_report(name, context.now, 0, 0, 2, True)


@when('{seconds:d} decided seconds pass')
def pass_time(context, seconds):
    context.now += seconds


@when('a decided target joins and {seconds:d} seconds of moves pass')
def join_and_move(context, seconds):
    count = len(context.service.targets)
    service = build_service(
        count + 1, imbalance_weight=context.service.imbalance_weight
    )
    context.joined = f'target-{count}'
    context.placement.adopt_cfg(service, context.now)
    for _ in range(seconds * 10):
        context.now += 0.1
        for move in context.placement.choose_moves(context.now, 20):
            context.placement.note_flow(move.from_target, -1)
            context.placement.note_flow(move.to_target, 1)


@then('the joined target has between {least:d} and {most:d} flows')
def check_joined(context, least, most):
    flows = {
        view.target: view.flows
        for view in context.placement.describe(context.now)
    }
    assert least <= flows[context.joined] <= most, flows


@then('{count:d} decided flows avoid "{target}"')
def check_avoided(context, count, target):
    placed = place_flows(context, count)
    assert not placed[target], placed


@then('decided moves take its flows to other targets')
def check_moves(context):
    moves = context.placement.choose_moves(context.now, 10)
    assert len(moves) == 5
    assert all(move.from_target == TARGET for move in moves)
    assert all(move.to_target != TARGET for move in moves)


@then(
    'the decided target "{target}" takes between {least:d} and {most:d} of '
    '{count:d} flows'
)
def check_taken(context, target, least, most, count):
    context.placement.note_flow(target, -70)
    placed = place_flows(context, count)
    assert least <= placed[target] <= most, placed


@then('{count:d} decided flows give each target at most {most:d}')
def check_spread(context, count, most):
    placed = place_flows(context, count)
    assert len(placed) == len(context.service.targets), placed
    assert max(placed.values()) <= most, placed


@then('{count:d} decided flows use only "{zone}"')
def check_zone(context, count, zone):
    placed = place_flows(context, count)
    zones = {context.service.targets[name].zone for name in placed}
    assert zones == {zone}, placed


@then('no decided target takes a flow')
def check_none(context):
    assert context.placement.choose_target(context.now) is None


def make_job(context, caller, target=TARGET, long_job=False):
    context.number += 1
    return Job(
        key=context.number,
        caller=caller,
        target=target,
        long_job=long_job,
        deadline=context.now + 2.0,
        arrived=context.now,
    )


@given('a decision on admission with a queue of {size:d}')
def start_admission(context, size):
    context.now = 100.0
    context.number = 0
    context.started = []
    context.refused = []
    service = build_service(queue_limit=size)
    context.admission = Admission.from_cfg(service, context.rng)


def take_step(context, step):
    context.started += step.start
    context.refused += step.refuse


@given('decided jobs that take {took:d} second')
@given('decided jobs that take {took:d} seconds')
def teach_took(context, took):
    for _ in range(20):
        job = make_job(context, 'teacher')
        context.admission.offer(context.now, job)
        context.now += took
        context.admission.finish(context.now, job.key, CallEnd.OK, took)


@when(
    'the decided caller "{hot}" offers {many:d} jobs and "{calm}" offers '
    '{few:d}'
)
def offer_both(context, hot, many, calm, few):
    for caller in [hot] * many + [calm] * few:
        job = make_job(context, caller)
        take_step(context, context.admission.offer(context.now, job))


@when('the decided caller "{caller}" offers {count:d} jobs')
def offer_many(context, caller, count):
    for _ in range(count):
        job = make_job(context, caller)
        take_step(context, context.admission.offer(context.now, job))


@when('{longs:d} long decided jobs and 1 short one are offered')
def offer_long(context, longs):
    for number in range(longs + 1):
        job = make_job(context, 'one', long_job=number < longs)
        take_step(context, context.admission.offer(context.now, job))


@then('1 long and 1 short decided job start')
def check_long_share(context):
    assert [job.long_job for job in context.started] == [True, False]


@when('the same decided job is offered twice')
def offer_twice(context):
    job = make_job(context, 'one')
    for _ in range(2):
        take_step(context, context.admission.offer(context.now, job))


@then('it starts once')
def check_started_once(context):
    assert len(context.started) == 1
    step = context.admission.finish(
        context.now, context.started[0].key, CallEnd.OK, 0.1
    )
    assert not step.start


@then('the decided job of "{calm}" waits and one of "{hot}" is refused')
def check_evicted(context, calm, hot):
    assert context.admission.waiting == 4
    assert {refusal.job.caller for refusal in context.refused} == {hot}


@then('the decided job of "{calm}" starts second')
def check_turn(context, calm):
    order = []
    for job in context.started[:2]:
        step = context.admission.finish(context.now, job.key, CallEnd.OK, 0.01)
        order += [started.caller for started in step.start]
    assert order[1] == calm, order


@then(
    'over {count:d} decided jobs are refused at once with a time to come back'
)
def check_refused(context, count):
    assert len(context.refused) > count, context.refused
    assert all(refusal.retry_after_ms >= 50 for refusal in context.refused)


@then('a decided job offered to the idle target starts')
def check_recovers(context):
    job = make_job(context, 'one')
    assert context.admission.offer(context.now, job).start == [job]


OPS = st.lists(
    st.tuples(
        st.sampled_from(('offer', 'finish', 'cancel', 'sweep', 'repeat')),
        st.integers(0, 30),
        st.sampled_from(tuple(CallEnd)),
        st.floats(0, 0.7),
    ),
    max_size=60,
)


@given('any order of offers, ends, cancels and sweeps')
def choose_ops(context):
    """Let hypothesis choose the order in the next step."""


@then('each decided job starts, is refused or is cancelled exactly once')
def check_fates(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @any_of(OPS)
    def check(ops):
        start_admission(context, 3)
        fates = Counter()
        offered = {}
        for name, number, ended, gap in ops:
            context.now += gap
            step = apply_op(context, name, number, ended, offered, fates)
            fates.update(job.key for job in step.start)
            fates.update(refusal.job.key for refusal in step.refuse)
            assert context.admission.waiting <= 3
            waiting = [key for key in offered if not fates[key]]
            assert len(waiting) == context.admission.waiting
        context.now += 10
        step = context.admission.sweep(context.now)
        fates.update(refusal.job.key for refusal in step.refuse)
        assert all(fates[key] == 1 for key in offered), (fates, ops)

    check()


def apply_op(context, name, number, ended, offered, fates):
    admission = context.admission
    if name == 'offer':
        job = make_job(context, f'caller-{number % 4}', long_job=number > 25)
        offered[job.key] = job
        return admission.offer(context.now, job)
    if name == 'sweep' or not offered:
        return admission.sweep(context.now)
    key = sorted(offered)[number % len(offered)]
    if name == 'finish' and fates[key]:
        return admission.finish(context.now, key, ended, 0.1)
    if name == 'cancel':
        if not fates[key]:
            fates[key] += 1
        return admission.cancel(context.now, key)
    if not fates[key]:
        return admission.offer(context.now, offered[key])
    return admission.sweep(context.now)


@given('a decided retry budget')
def start_budget(context):
    context.budget = RetryBudget.from_cfg(build_service())


@when('{count:d} decided requests fail within {seconds:d} second')
def fail_requests(context, count, seconds):
    context.allowed = 0
    for number in range(count):
        now = number * seconds / count
        context.budget.note_request(now)
        context.allowed += context.budget.may_retry(
            now, now + 5, RunState.NOT_RUN, idempotent=False
        )


@then('at most {count:d} of them may be tried again')
def check_budget(context, count):
    assert 0 < context.allowed <= count, context.allowed


@then('a request that "{ran}" with {left:g} s left is {allowed}')
def check_repeatable(context, ran, left, allowed):
    name, _, idempotent = ran.partition(', ')
    may = context.budget.may_retry(0, left, RunState[name], bool(idempotent))
    assert may == (allowed == 'tried')


@then(
    '{count:d} decided times to come back from {base:d} ms spread over '
    '{least:d} to {most:d} ms'
)
def check_jitter(context, count, base, least, most):
    rng = random.Random(1)
    times = [pick_retry_after_ms(rng, base) for _ in range(count)]
    assert least <= min(times) < least + 10
    assert most - 10 < max(times) <= most


@given('a decided pace of {rate:d} a second with a burst of {burst:d}')
def start_pacer(context, rate, burst):
    context.pacer = Pacer(rate, burst)


@when('{idle:d} idle flows and then {feeds:d} feeds ask for it at once')
def ask_pacer(context, idle, feeds):
    pacer = context.pacer
    context.idle = sum(pacer.take(0.0, urgent=False) for _ in range(idle))
    context.feeds = sum(pacer.take(0.0, urgent=True) for _ in range(feeds))


@then('all {feeds:d} feeds and at most {idle:d} idle flows are let through')
def check_pacer(context, feeds, idle):
    assert context.feeds == feeds
    assert 0 < context.idle <= idle
    due = context.pacer.next_time(0.0)
    assert not context.pacer.take(due - 0.01, urgent=False)
    assert context.pacer.take(due + 0.01, urgent=False)


def list_given_up(shedder):
    return [
        urgency.name
        for urgency in sorted(Urgency, reverse=True)
        if not shedder.may_handle(urgency)
    ]


@then('a decided backlog of {delay:d} ms gives up nothing')
def check_nothing_given_up(context, delay):
    shedder = Shedder()
    shedder.note_backlog(0.0, delay / 1000)
    assert not list_given_up(shedder)


@then('a decided backlog of {delay:d} ms gives up "{names}"')
def check_given_up(context, delay, names):
    shedder = Shedder()
    shedder.note_backlog(0.0, delay / 1000)
    assert ', '.join(list_given_up(shedder)) == names


@then('decided shedding ends step by step after the backlog')
def check_relaxed(context):
    shedder = Shedder()
    shedder.note_backlog(0.0, 1.0)
    counts = []
    for tick in range(30):
        shedder.note_backlog(0.1 * (tick + 1), 0.0)
        counts.append(len(list_given_up(shedder)))
    assert counts == sorted(counts, reverse=True)
    assert set(counts) == {3, 2, 1, 0}, counts
