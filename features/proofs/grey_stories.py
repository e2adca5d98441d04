"""Stories of targets that fail some of their requests.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

from features.proofs.grey_world import PER_S, TARGETS, GreyWorld

NOTICED_S = 2
"""Seconds after which failing targets are expected to be known."""

ENDS_S = 8


def play_failing(mode):
    """Three of fifteen targets fail half of their requests from the start."""
    world = GreyWorld(mode)
    world.run(ENDS_S)
    failed = world.count_failed(NOTICED_S, ENDS_S)
    # A fifth of what fails when they get their even share of requests.
    most = 0.2 * 0.5 * 0.2 * PER_S * (ENDS_S - NOTICED_S)
    found = []
    if failed > most:
        found.append(f'{failed} requests fail on targets that are known')
    if world.list_outliers() - world.failing:
        found.append('a target that serves is avoided')
    return found


def play_swallowed_requests():
    """They drop the request as if it had never come."""
    return play_failing('mute')


def play_hanging_requests():
    """They take the request and never answer."""
    return play_failing('hang')


def play_reset_requests():
    """They reset the caller's flow."""
    return play_failing('reset')


def play_quick_errors():
    """They answer at once, with an error."""
    return play_failing('errors')


def play_all_targets_alike():
    """All targets hang now and then, and the network loses requests."""
    world = GreyWorld('hang', failing=TARGETS, share=0.1, loss=0.05)
    avoided = set()
    for _ in range(10):
        world.run(1)
        avoided |= world.list_outliers()
    return [f'{len(avoided)} targets that serve are avoided'] if avoided else []


def play_full_targets():
    """Three targets have full queues and turn some requests away."""
    world = GreyWorld('full', share=0.3)
    avoided = set()
    for _ in range(8):
        world.run(1)
        avoided |= world.list_outliers()
    return ['a full target is avoided'] if avoided else []


def play_ill_instance():
    """One of ten instances loses all requests that pass through it."""
    world = GreyWorld('mute', failing=0, ill=1)
    avoided = set()
    for _ in range(10):
        world.run(1)
        avoided |= world.list_outliers()
    if avoided:
        return ['one instance speaks against targets that serve']
    return []


def play_many_targets_fail():
    """Seven of fifteen targets fail, more than may be avoided at a time."""
    world = GreyWorld('hang', failing=7, share=0.4)
    most = 0
    for _ in range(16):
        world.run(0.25)
        most = max(most, world.count_outliers())
    return [f'{most} targets are avoided'] if most > TARGETS // 3 else []


def play_served_again():
    """Three targets fail for four seconds and serve again from then on."""
    world = GreyWorld('hang')
    world.run(4)
    failing, world.failing = world.failing, set()
    world.run(9)
    second = world.get_second()
    for cookie in failing:
        opened = sum(world.placed[second - ago, cookie] for ago in (1, 2, 3))
        if opened < PER_S / TARGETS:
            return ['a target that serves again gets few flows']
    return []
