"""The guards that the proofs rely on, each with a way to switch it off.

A proof is worth something only if it fails without its guard.  This list
is the one place that knows how to take a guard out; the product has no
such switch.  ``bench/mutation.py`` takes them out one by one.
"""

from contextlib import contextmanager
from dataclasses import dataclass
from typing import Callable

from features.proofs import forwarding_guards, switches, withdrawal_guards
from features.proofs.patches import Patches


@dataclass(frozen=True, slots=True)
class Guard:
    """One guard.

    :param name: short name, as scenarios and the mutation table use it.
    :param trap: number in the list of traps, 0 if it is not among them.
    :param text: what it prevents.
    :param switch_off: called with a :class:`Patches`.
    """

    name: str
    trap: int
    text: str
    switch_off: Callable


_ALL = (
    Guard('window', 1, 'a number seen never runs again', switches.skip_window),
    Guard(
        'cancel-tombstone',
        1,
        'a cancelled number is marked before its copy comes',
        switches.claim_cancelled,
    ),
    Guard(
        'doubt-kept',
        0,
        'a refused second try does not undo the doubt of the first',
        switches.skip_limit_claim,
    ),
    Guard(
        'refuse-same-id',
        2,
        'only the home says not run; others ask for the same id',
        switches.claim_not_run,
    ),
    Guard(
        'window-below',
        3,
        'a number below the bitmap counts as seen',
        switches.forget_old_numbers,
    ),
    Guard(
        'window-kept',
        3,
        'a window stays until its newest token has expired',
        switches.evict_idle,
    ),
    Guard(
        'token-expiry',
        3,
        'an expired token makes no new window',
        switches.take_expired,
    ),
    Guard(
        'boot-nonce', 4, 'a restarted home owns no old ids', switches.skip_boot
    ),
    Guard(
        'no-blind-retry',
        5,
        'what may have run is only tried again if idempotent',
        switches.retry_all,
    ),
    Guard(
        'rising-revisions',
        11,
        'only a higher revision is adopted',
        switches.adopt_anything,
    ),
    Guard(
        'list-is-hint',
        12,
        'an instance missing in the list is not lost',
        switches.trust_list,
    ),
    Guard(
        'retry-budget',
        15,
        'retries are a bounded share of requests',
        switches.retry_without_budget,
    ),
    Guard('pace', 17, 're-homing is paced', switches.skip_pace),
    Guard(
        'publish-then-sign',
        18,
        'a published key does not sign yet',
        switches.sign_at_once,
    ),
    Guard(
        'retire-late',
        18,
        'a retiring key still verifies',
        switches.verify_with_signing,
    ),
    Guard(
        'socket-time',
        6,
        'time in the socket counts against the deadline',
        switches.ignore_socket_time,
    ),
    Guard(
        'tell-again',
        0,
        'a caller is told twice of its new token after a handover',
        switches.never_tell_again,
    ),
    Guard(
        'closed-kept',
        0,
        'a closed flow is handed over as closed',
        switches.reopen_flows,
    ),
    Guard(
        'handover-once',
        0,
        'a record taken before is left alone',
        switches.take_twice,
    ),
    Guard(
        'handover-boot',
        4,
        'a handover is taken only by the process that it is meant for',
        switches.take_foreign,
    ),
    Guard(
        'behind',
        8,
        'an older configuration moves no flow off an unknown target',
        switches.skip_behind,
    ),
    Guard(
        'deadline-at-send',
        6,
        'the deadline is checked right before sending',
        switches.send_late,
    ),
    Guard(
        'answer-identity',
        7,
        'an answer from another identity is a fault',
        switches.trust_answers,
    ),
    Guard(
        'cold-wait',
        9,
        'a cold start waits for more than one answer',
        switches.take_first_answer,
    ),
    Guard(
        'no-cfg-refusal',
        9,
        'without a configuration an open is refused',
        switches.open_anyway,
    ),
    Guard(
        'write-id',
        10,
        'a lost answer is settled by the write id',
        switches.settle_as_lost,
    ),
    Guard(
        'outcomes-first',
        13,
        'outcomes eject a target that fails fast',
        switches.ignore_outcomes,
    ),
    Guard(
        'own-counts',
        14,
        'own flows count before reports',
        switches.ignore_own_flows,
    ),
    Guard(
        'epoch-check',
        16,
        'a chunk of another id space completes nothing',
        switches.skip_epoch,
    ),
    Guard(
        'dark-zones',
        19,
        'a zone that is cut off gets no new flows',
        switches.keep_dark_zones,
    ),
    Guard(
        'queue-bound',
        20,
        'the queue of a service is bounded',
        switches.queue_without_end,
    ),
    Guard(
        'refusal-proof',
        20,
        'only the contract proves that a request did not run',
        switches.believe_status,
    ),
    Guard(
        'feed-position',
        0,
        'a feed takes only the event at its next position',
        switches.take_any_event,
    ),
    Guard(
        'no-new-work',
        0,
        'a leaving target is not usable, and flows are moved off it',
        switches.use_leaving,
    ),
    Guard(
        'finish-first',
        0,
        'a stop ends when nothing is left to finish',
        switches.stop_at_once,
    ),
    Guard(
        'answer-whole',
        16,
        'an answer is whole only with all its chunks',
        switches.end_with_last,
    ),
    Guard(
        'feed-order',
        16,
        'a caller gets events in order, each once',
        switches.give_events_early,
    ),
    Guard(
        'conn-limit',
        0,
        'a target gets no more flows than it can hold',
        switches.ignore_conns,
    ),
    Guard(
        'rising-offers',
        11,
        'a configuration on offer is higher than the one in force',
        switches.offer_anything,
    ),
    Guard(
        'rehome-problem',
        0,
        'what cannot be re-homed is refused before a token is minted',
        switches.rehome_anyway,
    ),
    Guard(
        'hop-limit', 0, 'a relayed packet ends after two hops', switches.hop_on
    ),
    Guard(
        'token-tag',
        0,
        'a token that was not minted is refused',
        switches.skip_tag,
    ),
)

_FORWARDING = tuple(
    Guard(*item) for item in forwarding_guards.LIST + withdrawal_guards.LIST
)
GUARDS = {guard.name: guard for guard in _ALL + _FORWARDING}


@contextmanager
def take_out(name):
    """Run a block without the guard of this name; empty takes out none."""
    patches = Patches()
    try:
        if name:
            GUARDS[name].switch_off(patches)
        yield
    finally:
        patches.undo()
