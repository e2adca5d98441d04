"""Steps that run the small world."""

from behave import then, when

from features.proofs import chaos


def run_seeds(context, pairs):
    context.runs = {pair: chaos.run_seed(*pair) for pair in pairs}


@when('the proof world runs {count:d} quiet seeds from {first:d}')
def run_quiet(context, count, first):
    run_seeds(context, [(seed, 0) for seed in range(first, first + count)])


@when(
    'the proof world runs {count:d} seeds with {faults:d} faults from {first:d}'
)
def run_faulty(context, count, faults, first):
    seeds = range(first, first + count)
    run_seeds(context, [(seed, faults) for seed in seeds])


@then('every proof checker passed each of them')
def check_runs(context):
    failed = {
        pair: (found, log)
        for pair, (found, _, log) in context.runs.items()
        if found
    }
    assert not failed, failed


@then('no caller was left in doubt')
def check_doubts(context):
    doubts = {pair: run[1] for pair, run in context.runs.items()}
    assert not any(doubts.values()), doubts
