"""How to take each guard out: one function a guard, called with Patches."""

from dataclasses import replace

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


def forget_old_numbers(patches):
    def is_new_number(top, seen, number):
        age = top - number
        if age >= window.WINDOW_SIZE:
            return True
        return number > top or not (seen >> age) & 1

    patches.replace_function(window.is_new_number, is_new_number)


def skip_window(patches):
    patches.replace_function(window.is_new_number, lambda *args: True)


def skip_tag(patches):
    patches.replace_function(token.verify_tag, lambda *args: True)


def skip_limit_claim(patches):
    patches.replace_function(
        requests.limit_claim, lambda kept, verdict: verdict
    )


def claim_cancelled(patches):
    def cancel_unseen(state, now, flow, number):
        verdict = refuse_not_run(str(Code.REQ_CANCELLED))
        replies.send_report(state, now, flow, number, verdict)

    patches.replace_function(requests.cancel_unseen, cancel_unseen)


def claim_not_run(patches):
    patches.replace_function(verdicts.report_unknown, refuse_not_run)


def evict_idle(patches):
    def sweep_flows(state, now):
        for key, held in list(state.flows.items()):
            if not held.kept and not held.feeds:
                state.flows.pop(key)

    patches.replace_function(engine._sweep_flows, sweep_flows)


def take_expired(patches):
    plain = routing._create_flow

    def create_flow(state, now, message, said, address, size):
        alive = replace(said, expiry=max(said.expiry, int(now) + 1))
        return plain(state, now, message, alive, address, size)

    patches.replace_function(plain, create_flow)


def skip_boot(patches):
    patches.replace_function(
        routing._is_home, lambda state, said: said.home == state.name
    )


def retry_all(patches):
    patches.replace_function(retry._is_repeatable, lambda *args: True)


def retry_without_budget(patches):
    def may_retry(self, now, deadline, ran, idempotent):
        return retry._is_repeatable(ran, idempotent)

    patches.set_attr(retry.RetryBudget, 'may_retry', may_retry)


def adopt_anything(patches):
    plain = state_module.adopt_cfg

    def adopt_cfg(state, now, cfg):
        state.cfg = replace(state.cfg, revision=-1)
        return plain(state, now, cfg)

    patches.replace_function(plain, adopt_cfg)


def trust_list(patches):
    plain = membership.Membership.is_lost

    def is_lost(self, now, name, boot):
        peer = self._peers.get(name)
        if peer is None or not peer.listed:
            return True
        return plain(self, now, name, boot)

    patches.set_attr(membership.Membership, 'is_lost', is_lost)


def skip_pace(patches):
    patches.set_attr(pacing.Pacer, 'take', lambda *args, **kwargs: True)


def sign_at_once(patches):
    patches.replace_function(
        token.pick_signing_key,
        lambda keys: max(keys.values(), key=lambda key: key.key_id),
    )


def verify_with_signing(patches):
    plain = token.verify_token

    def verify_token(keys, data):
        signing = {
            key.key_id: key
            for key in keys.values()
            if key.stage is KeyStage.SIGNING
        }
        return plain(signing, data)

    patches.set_attr(routing, 'verify_token', verify_token)


def ignore_socket_time(patches):
    patches.set_attr(
        engine.Engine, 'note_backlog', lambda self, now, delay_s: None
    )


def never_tell_again(patches):
    patches.replace_function(handover.tell_again, lambda state, now: None)


def reopen_flows(patches):
    plain = handover._build_record

    def build_record(*args):
        record = plain(*args)
        record.closed = False
        return record

    patches.replace_function(handover._build_record, build_record)


def take_twice(patches):
    plain = handover._take_record

    def take_records(state, now, records):
        for record in records:
            key = make_key(record.flow_id, record.epoch)
            plain(state, now, key, record)
        return len(records)

    patches.replace_function(handover.take_records, take_records)


def take_foreign(patches):
    patches.replace_function(handover._may_take, lambda *args: True)


def skip_behind(patches):
    patches.replace_function(routing._is_behind, lambda *args: False)


def send_late(patches):
    def send(self):
        left = max(self.effect.deadline - self._now(), 1)
        req = target_call._build_run(
            self.effect, int((self._wall() + left) * 1000)
        )
        self.sent = True
        self._conn = self.link.stub.Run(req, timeout=left)
        return True

    patches.set_attr(target_call.TargetCall, '_send', send)


def trust_answers(patches):
    patches.set_attr(
        target_call.TargetCall, '_is_from_target', lambda *args: True
    )


def take_first_answer(patches):
    patches.set_attr(distribution, 'COLD_WAIT_S', 0)


def open_anyway(patches):
    patches.replace_function(routing._find_open_problem, lambda *args: None)


def settle_as_lost(patches):
    def settle(store, attempt, current, write_id):
        root, _ = document.read_root(current.value)
        return publishing._lose_race(root, [], write_id)

    patches.replace_function(publishing._settle, settle)


def ignore_outcomes(patches):
    patches.set_attr(health.Health, 'note_end', lambda *args: None)


def ignore_own_flows(patches):
    patches.set_attr(placement.Placement, 'note_flow', lambda *args: None)


def keep_dark_zones(patches):
    patches.set_attr(
        placement.Placement,
        '_exclude_failed_zones',
        lambda self, serving: serving,
    )


def skip_epoch(patches):
    def find_item(self, message, kind):
        item = self._by_number.get(message.number)
        return item if isinstance(item, kind) else None

    patches.set_attr(flow.CallerFlow, '_find_item', find_item)


def queue_without_end(patches):
    patches.set_attr(admission.Admission, '_evict', lambda *args: None)


def believe_status(patches):
    def read_status(call_id, status, trailers, answered):
        return call_ends.end_unsent(call_id, CallEnd.SHED, Code.REQ_TARGET_SHED)

    patches.replace_function(call_ends.read_status, read_status)


def take_any_event(patches):
    def handle_event(state, now, held, live, event):
        if event.call_id == live.call_id:
            live.ahead -= 1
            feeds._stop_old_call(state, live)
        live.events.append(event.payload)
        live.sent_at.append(-1.0)
        feeds._send_unsent(state, now, held, live)

    patches.replace_function(feeds.handle_event, handle_event)


def use_leaving(patches):
    patches.replace_function(
        pins.is_usable,
        lambda state, service, name: bool(
            lookups.find_target(state, service, name)
        ),
    )
    # Placement moves quiet flows off a draining target as a second guard.
    patches.replace_function(balance.move_if_wanted, lambda *args: None)


def stop_at_once(patches):
    patches.replace_function(
        handover.is_finished, lambda state, now: state.leaving
    )


def end_with_last(patches):
    patches.set_attr(answer.Answer, 'is_whole', lambda self: self.last >= 0)


def give_events_early(patches):
    def add_event(self, now, position, payload):
        if position < self.position:
            return []
        self.position = position + 1
        return [(position, payload)]

    patches.set_attr(feed.Feed, 'add_event', add_event)


def ignore_conns(patches):
    patches.set_attr(
        placement.Placement, '_limit_flows', lambda self, name: float('inf')
    )


def offer_anything(patches):
    def take_offer(self, now, revision, payload):
        self._offer = distribution._Offer(revision, payload, now)

    patches.set_attr(distribution.Distribution, '_take_offer', take_offer)


def rehome_anyway(patches):
    patches.replace_function(routing._find_rehome_problem, lambda *args: None)


def hop_on(patches):
    patches.set_attr(peering, 'MAX_HOPS', 1000)
