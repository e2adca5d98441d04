"""Steps that play the stories of the traps, with and without a guard."""

from behave import step, then, when

from features.proofs import (
    cold_stories,
    drain_stories,
    forwarding_stories,
    grey_stories,
    guards,
    lost_flow_stories,
    overload_stories,
    part_stories,
    path_loss_stories,
    split_flow_stories,
    stories,
    withdrawal_stories,
    world_stories,
    zone_stories,
)

PLACES = (
    stories,
    part_stories,
    world_stories,
    forwarding_stories,
    zone_stories,
    grey_stories,
    drain_stories,
    cold_stories,
    lost_flow_stories,
    withdrawal_stories,
    path_loss_stories,
    overload_stories,
    split_flow_stories,
)


def play_story(name):
    func = f'play_{name.replace(" ", "_")}'
    place = next(one for one in PLACES if hasattr(one, func))
    return getattr(place, func)()


@when('the proof story "{name}" is played')
def run_story(context, name):
    context.story = name
    context.objections = play_story(name)


@then('the proof checkers have no objection')
def check_no_objection(context):
    assert not context.objections, context.objections


@step('they object once the guard "{guard}" is taken out')
def check_guard_needed(context, guard):
    with guards.take_out(guard):
        try:
            objections = play_story(context.story)
        except Exception as exc:
            # A crash is harm enough: it would end the task that serves.
            objections = [repr(exc)]
    assert objections, f'{guard} guards nothing here'
