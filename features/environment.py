"""Shared hooks of behave: each scenario starts with fixed seeds."""

import random

from features.proofs import guards


def before_scenario(context, scenario):
    """Give every scenario its own seeded generator."""
    context.rng = random.Random(20261202)
    context.cleanups = []
    # bench/mutation.py takes a guard out for a whole run: `-D guard=NAME`.
    without = guards.take_out(context.config.userdata.get('guard', ''))
    without.__enter__()
    context.cleanups.append(lambda: without.__exit__(None, None, None))


def after_scenario(context, scenario):
    """Run the scenario's clean-ups, last first."""
    for cleanup in reversed(context.cleanups):
        cleanup()
