"""Steps that judge the decisions by what callers receive."""

from collections import Counter

from behave import then, when

from features.decision_loop.bounds import bound_good_work
from features.decision_loop.comparison import run_pattern
from features.decision_loop.outcomes import Outcome, measure_imbalance

SEEDS = (1, 2)
BURST_END_S = 5.0


def is_short(arrival):
    return not arrival.long_job


def is_other(arrival):
    return arrival.caller != 'caller-0'


def run_all(context, policy='ours', options=()):
    return [
        run_pattern(context.pattern, context.site, seed, policy, options)
        for seed in SEEDS
    ]


def pair_with(context, policy):
    return zip(run_all(context), run_all(context, policy), strict=True)


def sum_work(world):
    return world.tally.sum_good_work(world.plan.end_s)


@when('decisions meet "{pattern}" at "{site}"')
def choose_pattern(context, pattern, site):
    context.pattern = pattern
    context.site = site


@then('decisions give useful work of at least {percent:d}% of the capacity')
def check_goodput(context, percent):
    for world in run_all(context):
        plan = world.plan
        share = sum_work(world) / (plan.site.capacity * plan.end_s)
        assert share >= percent / 100, share


@then('decisions answer nothing after its deadline')
def check_nothing_late(context):
    for world in run_all(context):
        assert world.tally.count(Outcome.LATE) == 0


@then('decisions do more useful work than "{policy}"')
def check_more_work(context, policy):
    for ours, naive in pair_with(context, policy):
        assert sum_work(ours) > sum_work(naive)


@then('decisions do at least {percent:d}% of the work of the best bound')
def check_bound(context, percent):
    for world in run_all(context):
        share = sum_work(world) / bound_good_work(world.plan)
        assert share >= percent / 100, share


@then('decisions leave under {percent:d}% of the requests in doubt')
def check_doubt(context, percent):
    for world in run_all(context):
        share = world.tally.share(Outcome.LOST)
        assert share < percent / 100, share


@then('decisions answer a request as usual {wait:d} seconds after the burst')
def check_cleared(context, wait):
    for world in run_all(context):
        since = BURST_END_S + wait
        share = world.tally.share(
            Outcome.IN_TIME, lambda arrival: arrival.at > since
        )
        assert share > 0.99, share


@then('decisions cost the other callers under {percent:d}% of their answers')
def check_others(context, percent):
    calm = run_all(context, options=(('hot', False),))
    for with_hot, without in zip(run_all(context), calm, strict=True):
        kept = with_hot.tally.share(Outcome.IN_TIME, is_other)
        usual = without.tally.share(Outcome.IN_TIME, is_other)
        assert kept > usual * (1 - percent / 100), (kept, usual)


@then('decisions serve the other callers better than "{policy}"')
def check_others_better(context, policy):
    for ours, naive in pair_with(context, policy):
        kept = ours.tally.share(Outcome.IN_TIME, is_other)
        assert kept > naive.tally.share(Outcome.IN_TIME, is_other)


@then('decisions lose under a quarter of what "{policy}" loses')
def check_losses(context, policy):
    for ours, naive in pair_with(context, policy):
        lost = ours.tally.count(Outcome.LOST)
        assert 4 * lost < naive.tally.count(Outcome.LOST), lost


@then('decisions fail fewer requests than "{policy}"')
def check_fewer_failed(context, policy):
    for ours, naive in pair_with(context, policy):
        good = ours.tally.count(Outcome.IN_TIME)
        assert good > naive.tally.count(Outcome.IN_TIME)


@then('decisions keep the 99th percentile of short requests within 2 times')
def check_short_percentile(context):
    alone = run_all(context, options=(('long', False),))
    for mixed, usual in zip(run_all(context), alone, strict=True):
        ratio = mixed.tally.find_percentile(0.99, is_short)
        ratio /= usual.tally.find_percentile(0.99, is_short)
        assert ratio <= 2, ratio


@then('decisions answer over {percent:d}% of the long jobs in time')
def check_long_jobs(context, percent):
    for world in run_all(context):
        share = world.tally.share(
            Outcome.IN_TIME, lambda arrival: arrival.long_job
        )
        assert share > percent / 100, share


@then('decisions answer short requests sooner than "{policy}"')
def check_sooner(context, policy):
    for ours, naive in pair_with(context, policy):
        took = ours.tally.find_percentile(0.99, is_short)
        assert took < naive.tally.find_percentile(0.99, is_short), took


@then('decisions send the leaving target nothing after 3 seconds')
def check_no_late_work(context):
    for world in run_all(context):
        assert world.tally.late_work == 0


@then('decisions cut no request while "{policy}" cuts some')
def check_no_cut(context, policy):
    for ours, naive in pair_with(context, policy):
        assert ours.tally.cut == 0, ours.tally.cut
        assert naive.tally.cut > 0


@then('decisions keep the imbalance of work within {bound:g}')
def check_work_imbalance(context, bound):
    for world in run_all(context):
        amounts = [target.busy_s for target in world.targets.values()]
        assert measure_imbalance(amounts) <= bound


@then('decisions keep the imbalance of flows within {bound:g}')
def check_flow_imbalance(context, bound):
    for world in run_all(context):
        found = Counter(flow.target for flow in world.flows.values())
        assert measure_imbalance(found.values()) <= bound
