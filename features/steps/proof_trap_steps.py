"""Steps that play the stories of the traps, with and without a guard."""

from behave import step, then, when

from features.proofs import guards, stories


def play_story(name):
    return getattr(stories, f'play_{name.replace(" ", "_")}')()


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
        assert play_story(context.story), f'{guard} guards nothing here'
