"""The guards that the proofs rely on, each with a way to switch it off.

A proof is worth something only if it fails without its guard.  This list
is the one place that knows how to take a guard out; the product has no
such switch.  ``bench/mutation.py`` takes them out one by one.
"""

import sys
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Callable

from cornelgap.call import answer, feed, flow
from cornelgap.cfg import document, publishing
from cornelgap.core import token, verdicts, window
from cornelgap.core.errors import Code
from cornelgap.core.settings import KeyStage
from cornelgap.core.verdicts import refuse_not_run
from cornelgap.decisions import (
    admission,
    health,
    membership,
    pacing,
    placement,
    retry,
)
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry import (
    balance,
    call_ends,
    distribution,
    engine,
    feeds,
    handover,
    lookups,
    peering,
    pins,
    replies,
    requests,
    routing,
    target_call,
)
from cornelgap.entry import state as state_module
from cornelgap.entry.state import make_key

_OURS = ('cornelgap', 'features')


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


class Patches:
    """Attributes that were replaced, to be put back."""

    def __init__(self):
        """Begin with nothing replaced."""
        self._undo = []

    def set_attr(self, owner, name, value):
        """Replace one attribute of a module or class."""
        old = owner.__dict__[name]
        self._undo.append((owner, name, old))
        setattr(owner, name, value)

    def replace_function(self, func, value):
        """Replace a module's function wherever it was imported by name."""
        for name, module in tuple(sys.modules.items()):
            if name.split('.')[0] not in _OURS:
                continue
            held = [attr for attr, item in vars(module).items() if item is func]
            for attr in held:
                self.set_attr(module, attr, value)

    def undo(self):
        """Put everything back, last first."""
        while self._undo:
            owner, name, old = self._undo.pop()
            setattr(owner, name, old)


def _forget_old_numbers(patches):
    def check_number(top, seen, number):
        age = top - number
        if age >= window.WINDOW_SIZE:
            return True
        return number > top or not (seen >> age) & 1

    patches.replace_function(window.check_number, check_number)


def _skip_window(patches):
    patches.replace_function(window.check_number, lambda *args: True)


def _skip_tag(patches):
    patches.replace_function(token.check_bytes, lambda *args: True)


def _skip_limit_claim(patches):
    patches.replace_function(
        requests.limit_claim, lambda kept, verdict: verdict
    )


def _claim_cancelled(patches):
    def cancel_unseen(state, now, flow, number):
        verdict = refuse_not_run(str(Code.REQ_CANCELLED))
        replies.send_report(state, now, flow, number, verdict)

    patches.replace_function(requests.cancel_unseen, cancel_unseen)


def _claim_not_run(patches):
    patches.replace_function(verdicts.ask_same_id, refuse_not_run)


def _evict_idle(patches):
    def sweep_flows(state, now):
        for key, held in list(state.flows.items()):
            if not held.kept and not held.feeds:
                state.flows.pop(key)

    patches.replace_function(engine._sweep_flows, sweep_flows)


def _take_expired(patches):
    plain = routing._create_flow

    def create_flow(state, now, message, said, address, size):
        alive = replace(said, expiry=max(said.expiry, int(now) + 1))
        return plain(state, now, message, alive, address, size)

    patches.replace_function(plain, create_flow)


def _skip_boot(patches):
    patches.replace_function(
        routing._is_home, lambda state, said: said.home == state.name
    )


def _retry_all(patches):
    patches.replace_function(retry._is_repeatable, lambda *args: True)


def _retry_without_budget(patches):
    def may_retry(self, now, deadline, ran, idempotent):
        return retry._is_repeatable(ran, idempotent)

    patches.set_attr(retry.RetryBudget, 'may_retry', may_retry)


def _adopt_anything(patches):
    plain = state_module.adopt_cfg

    def adopt_cfg(state, now, cfg):
        state.cfg = replace(state.cfg, revision=-1)
        return plain(state, now, cfg)

    patches.replace_function(plain, adopt_cfg)


def _trust_list(patches):
    plain = membership.Membership.is_lost

    def is_lost(self, now, name, boot):
        peer = self._peers.get(name)
        if peer is None or not peer.listed:
            return True
        return plain(self, now, name, boot)

    patches.set_attr(membership.Membership, 'is_lost', is_lost)


def _skip_pace(patches):
    patches.set_attr(pacing.Pacer, 'take', lambda *args, **kwargs: True)


def _sign_at_once(patches):
    patches.replace_function(
        token.pick_signing_key,
        lambda keys: max(keys.values(), key=lambda key: key.key_id),
    )


def _verify_with_signing(patches):
    plain = token.verify_token

    def verify_token(keys, data):
        signing = {
            key.key_id: key
            for key in keys.values()
            if key.stage is KeyStage.SIGNING
        }
        return plain(signing, data)

    patches.set_attr(routing, 'verify_token', verify_token)


def _ignore_socket_time(patches):
    patches.set_attr(
        engine.Engine, 'note_backlog', lambda self, now, delay_s: None
    )


def _never_tell_again(patches):
    patches.replace_function(handover.tell_again, lambda state, now: None)


def _reopen_flows(patches):
    plain = handover._build_record

    def build_record(*args):
        record = plain(*args)
        record.closed = False
        return record

    patches.replace_function(handover._build_record, build_record)


def _take_twice(patches):
    plain = handover._take_record

    def take_records(state, now, records):
        for record in records:
            key = make_key(record.flow_id, record.epoch)
            plain(state, now, key, record)
        return len(records)

    patches.replace_function(handover.take_records, take_records)


def _take_foreign(patches):
    patches.replace_function(handover._may_take, lambda *args: True)


def _skip_behind(patches):
    patches.replace_function(routing._is_behind, lambda *args: False)


def _send_late(patches):
    def send(self):
        left = max(self.effect.deadline - self._now(), 1)
        req = target_call._build_run(
            self.effect, int((self._wall() + left) * 1000)
        )
        self.sent = True
        self._conn = self.link.stub.Run(req, timeout=left)
        return True

    patches.set_attr(target_call.TargetCall, '_send', send)


def _trust_answers(patches):
    patches.set_attr(
        target_call.TargetCall, '_is_from_target', lambda *args: True
    )


def _take_first_answer(patches):
    patches.set_attr(distribution, 'COLD_WAIT_S', 0)


def _open_anyway(patches):
    patches.replace_function(routing._find_open_problem, lambda *args: None)


def _settle_as_lost(patches):
    def settle(store, attempt, current, write_id):
        root, _ = document.read_root(current.value)
        return publishing._lose_race(root, [], write_id)

    patches.replace_function(publishing._settle, settle)


def _ignore_outcomes(patches):
    patches.set_attr(health.Health, 'note_end', lambda *args: None)


def _ignore_own_flows(patches):
    patches.set_attr(placement.Placement, 'note_flow', lambda *args: None)


def _keep_dark_zones(patches):
    patches.set_attr(
        placement.Placement,
        '_leave_out_dark_zones',
        lambda self, serving: serving,
    )


def _skip_epoch(patches):
    def find_item(self, message, kind):
        item = self._by_number.get(message.number)
        return item if isinstance(item, kind) else None

    patches.set_attr(flow.CallerFlow, '_find_item', find_item)


def _queue_without_end(patches):
    patches.set_attr(admission.Admission, '_evict', lambda *args: None)


def _believe_status(patches):
    def read_status(call_id, status, trailers, answered):
        return call_ends.end_unsent(call_id, CallEnd.SHED, Code.REQ_TARGET_SHED)

    patches.replace_function(call_ends.read_status, read_status)


def _take_any_event(patches):
    def handle_event(state, now, held, live, event):
        if event.call_id == live.call_id:
            live.ahead -= 1
            feeds._stop_old_call(state, live)
        live.events.append(event.payload)
        live.sent_at.append(-1.0)
        feeds._send_unsent(state, now, held, live)

    patches.replace_function(feeds.handle_event, handle_event)


def _use_leaving(patches):
    patches.replace_function(
        pins.is_usable,
        lambda state, service, name: bool(
            lookups.find_target(state, service, name)
        ),
    )
    # Placement moves quiet flows off a draining target as a second guard.
    patches.replace_function(balance.move_if_wanted, lambda *args: None)


def _stop_at_once(patches):
    patches.replace_function(
        handover.is_finished, lambda state, now: state.leaving
    )


def _end_with_last(patches):
    patches.set_attr(answer.Answer, 'is_whole', lambda self: self.last >= 0)


def _give_events_early(patches):
    def add_event(self, now, position, payload):
        if position < self.position:
            return []
        self.position = position + 1
        return [(position, payload)]

    patches.set_attr(feed.Feed, 'add_event', add_event)


def _ignore_conns(patches):
    patches.set_attr(
        placement.Placement, '_limit_flows', lambda self, name: float('inf')
    )


def _offer_anything(patches):
    def take_offer(self, now, revision, payload):
        self._offer = distribution._Offer(revision, payload, now)

    patches.set_attr(distribution.Distribution, '_take_offer', take_offer)


def _rehome_anyway(patches):
    patches.replace_function(routing._find_rehome_problem, lambda *args: None)


def _hop_on(patches):
    patches.set_attr(peering, 'MAX_HOPS', 1000)


_ALL = (
    Guard('window', 1, 'a number seen never runs again', _skip_window),
    Guard(
        'cancel-tombstone',
        1,
        'a cancelled number is marked before its copy comes',
        _claim_cancelled,
    ),
    Guard(
        'doubt-kept',
        0,
        'a refused second try does not undo the doubt of the first',
        _skip_limit_claim,
    ),
    Guard(
        'refuse-same-id',
        2,
        'only the home says not run; others ask for the same id',
        _claim_not_run,
    ),
    Guard(
        'window-below',
        3,
        'a number below the bitmap counts as seen',
        _forget_old_numbers,
    ),
    Guard(
        'window-kept',
        3,
        'a window stays until its newest token has expired',
        _evict_idle,
    ),
    Guard(
        'token-expiry',
        3,
        'an expired token makes no new window',
        _take_expired,
    ),
    Guard('boot-nonce', 4, 'a restarted home owns no old ids', _skip_boot),
    Guard(
        'no-blind-retry',
        5,
        'what may have run is only tried again if idempotent',
        _retry_all,
    ),
    Guard(
        'rising-revisions',
        11,
        'only a higher revision is adopted',
        _adopt_anything,
    ),
    Guard(
        'list-is-hint',
        12,
        'an instance missing in the list is not lost',
        _trust_list,
    ),
    Guard(
        'retry-budget',
        15,
        'retries are a bounded share of requests',
        _retry_without_budget,
    ),
    Guard('pace', 17, 're-homing is paced', _skip_pace),
    Guard(
        'publish-then-sign',
        18,
        'a published key does not sign yet',
        _sign_at_once,
    ),
    Guard(
        'retire-late',
        18,
        'a retiring key still verifies',
        _verify_with_signing,
    ),
    Guard(
        'socket-time',
        6,
        'time in the socket counts against the deadline',
        _ignore_socket_time,
    ),
    Guard(
        'tell-again',
        0,
        'a caller is told twice of its new token after a handover',
        _never_tell_again,
    ),
    Guard(
        'closed-kept',
        0,
        'a closed flow is handed over as closed',
        _reopen_flows,
    ),
    Guard(
        'handover-once',
        0,
        'a record taken before is left alone',
        _take_twice,
    ),
    Guard(
        'handover-boot',
        4,
        'a handover is taken only by the process that it is meant for',
        _take_foreign,
    ),
    Guard(
        'behind',
        8,
        'an older configuration moves no flow off an unknown target',
        _skip_behind,
    ),
    Guard(
        'deadline-at-send',
        6,
        'the deadline is checked right before sending',
        _send_late,
    ),
    Guard(
        'answer-identity',
        7,
        'an answer from another identity is a fault',
        _trust_answers,
    ),
    Guard(
        'cold-wait',
        9,
        'a cold start waits for more than one answer',
        _take_first_answer,
    ),
    Guard(
        'no-cfg-refusal',
        9,
        'without a configuration an open is refused',
        _open_anyway,
    ),
    Guard(
        'write-id',
        10,
        'a lost answer is settled by the write id',
        _settle_as_lost,
    ),
    Guard(
        'outcomes-first',
        13,
        'outcomes eject a target that fails fast',
        _ignore_outcomes,
    ),
    Guard(
        'own-counts',
        14,
        'own flows count before reports',
        _ignore_own_flows,
    ),
    Guard(
        'epoch-check',
        16,
        'a chunk of another id space completes nothing',
        _skip_epoch,
    ),
    Guard(
        'dark-zones',
        19,
        'a zone that is cut off gets no new flows',
        _keep_dark_zones,
    ),
    Guard(
        'queue-bound',
        20,
        'the queue of a service is bounded',
        _queue_without_end,
    ),
    Guard(
        'refusal-proof',
        20,
        'only the contract proves that a request did not run',
        _believe_status,
    ),
    Guard(
        'feed-position',
        0,
        'a feed takes only the event at its next position',
        _take_any_event,
    ),
    Guard(
        'no-new-work',
        0,
        'a leaving target is not usable, and flows are moved off it',
        _use_leaving,
    ),
    Guard(
        'finish-first',
        0,
        'a stop ends when nothing is left to finish',
        _stop_at_once,
    ),
    Guard(
        'answer-whole',
        16,
        'an answer is whole only with all its chunks',
        _end_with_last,
    ),
    Guard(
        'feed-order',
        16,
        'a caller gets events in order, each once',
        _give_events_early,
    ),
    Guard(
        'conn-limit',
        0,
        'a target gets no more flows than it can hold',
        _ignore_conns,
    ),
    Guard(
        'rising-offers',
        11,
        'a configuration on offer is higher than the one in force',
        _offer_anything,
    ),
    Guard(
        'rehome-problem',
        0,
        'what cannot be re-homed is refused before a token is minted',
        _rehome_anyway,
    ),
    Guard('hop-limit', 0, 'a relayed packet ends after two hops', _hop_on),
    Guard('token-tag', 0, 'a token that was not minted is refused', _skip_tag),
)

GUARDS = {guard.name: guard for guard in _ALL}


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
