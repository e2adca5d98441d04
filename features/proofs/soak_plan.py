"""The plan of a soak: from a seed, faults and changes with their times.

A plan is pure.  Time is real when it is carried out, so a seed fixes what is
struck, when and with which choices, but not how processes interleave.
"""

import random

from msgspec import Struct

LONE_S = 3.5
"""Seconds at the start for a planned stop that nothing else disturbs."""


class Strike(Struct, frozen=True):
    """One fault or change.

    :param at_s: seconds after the start of the soak.
    :param for_s: seconds until it is taken back, where it is.
    :param pick: number that chooses among what may be struck.
    """

    at_s: float
    kind: str
    for_s: float
    pick: int


class Plan(Struct, frozen=True):
    """A seed's plan.

    :param zones: count of instances by zone.
    :param strikes: all :class:`Strike` in order of time.
    """

    zones: dict
    strikes: tuple


def make_plan(seed, weights, count=16, span_s=5.0):
    """Make the plan of a seed.

    :param weights: weight by kind of strike.
    :param count: strikes besides the planned stop at the start.
    :param span_s: seconds in which they begin; they overlap.
    """
    rng = random.Random(seed)
    zones = {'a': rng.choice((2, 3)), 'b': rng.choice((2, 3))}
    kinds = rng.choices(tuple(weights), weights.values(), k=count)
    strikes = [
        Strike(
            round(LONE_S + rng.random() * span_s, 3),
            kind,
            round(rng.uniform(0.3, 3), 3),
            rng.randrange(1 << 20),
        )
        for kind in kinds
    ]
    lone = Strike(0.5, 'stop', 0.2, rng.randrange(1 << 20))
    return Plan(zones, (lone, *sorted(strikes, key=lambda one: one.at_s)))
