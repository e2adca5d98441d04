"""Shared hooks of behave: each scenario starts with fixed seeds."""

import random


def before_scenario(context, scenario):
    """Give every scenario its own seeded generator."""
    context.rng = random.Random(20261202)
    context.cleanups = []


def after_scenario(context, scenario):
    """Run the scenario's clean-ups, last first."""
    for cleanup in reversed(context.cleanups):
        cleanup()
