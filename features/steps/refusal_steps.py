"""Steps about datagrams that an entry instance refuses."""

from dataclasses import replace

from behave import given, then, when

from cornelgap.core import messages as msg
from cornelgap.core.settings import (
    Cfg,
    KeyCfg,
    ServiceCfg,
    TargetCfg,
    TargetMode,
)
from cornelgap.core.token import (
    Token,
    mint_token,
    pick_signing_key,
    verify_token,
)
from cornelgap.core.window import WINDOW_SIZE
from cornelgap.entry.replies import mint_flow_token
from cornelgap.wire import peer_pb2
from cornelgap.wire.caller_codec import encode_message
from features.proofs.hand import CALLER, Desk, make_cfg

LONG_S = 10000.0
LONGEST_NAME = 63


@given('an entry instance with an open flow')
def open_desk(context):
    context.desk = Desk()
    context.desk.start_entry('e1')
    context.flow = context.desk.open('e1')


def make_request(context, **fields):
    plain = msg.Request('booking', context.flow.token, 1, b'hold/1')
    return replace(plain, deadline_ms=1000, **fields)


def forge_token(context):
    token = bytearray(context.flow.token)
    token[-1] ^= 1
    return make_request(context, token=bytes(token))


def outlive_token(context):
    context.desk.now += LONG_S
    return make_request(context)


def name_other_service(context):
    return make_request(context, service='briefing')


def change_keys(context):
    cfg = make_cfg(2, keys=(KeyCfg(9, b'9' * 32),))
    context.desk.adopt('e1', cfg)
    return make_request(context)


def name_no_service(context):
    return msg.Open('nobody', 5)


def drain_all(context):
    cfg = make_cfg(2)
    services = {
        name: replace(
            service,
            targets={
                key: replace(target, mode=TargetMode.DRAINING)
                for key, target in service.targets.items()
            },
        )
        for name, service in cfg.services.items()
    }
    context.desk.adopt('e1', replace(cfg, services=services))
    return msg.Open('booking', 5)


def begin_stop(context):
    context.desk.engines['e1'].start_leaving(context.desk.now)
    return make_request(context)


def pile_up(context):
    context.desk.engines['e1'].note_backlog(context.desk.now, 1.0)
    return msg.Open('booking', 5)


def make_later(context, service, boot):
    """Make a request by a token of a later era."""
    state = context.desk.engines['e1'].state
    token = Token(
        flow=bytes(16),
        epoch=1,
        service=service,
        target='l1',
        home='e1',
        boot=boot,
        revision=0,
        expiry=int(context.desk.now) + 60,
        era=1,
    )
    signed = mint_token(pick_signing_key(state.cfg.keys), token)
    return make_request(context, service=service, token=signed)


def name_later_service(context):
    boot = context.desk.engines['e1'].state.boot
    return make_later(context, 'later', boot)


def name_later_target(context):
    boot = context.desk.engines['e1'].state.boot
    return make_later(context, 'booking', boot + 1)


BAD = {
    'a request for a service of a later era': name_later_service,
    'a request of a lost home for a target of a later era': name_later_target,
    'a request with a forged token': forge_token,
    "a request after the token's expiry": outlive_token,
    'a request for another service': name_other_service,
    'a request under an unknown key': change_keys,
    'an open of an unknown service': name_no_service,
    'an open while all targets leave': drain_all,
    'a request during a planned stop': begin_stop,
    'an open under heavy backlog': pile_up,
    'an open that is too small': lambda context: msg.Open('booking', 5, 40),
}


@when('a caller sends it {bad}')
def send_bad(context, bad):
    message = BAD[bad](context)
    engine = context.desk.engines['e1']
    context.sent = encode_message(message)
    context.effects = engine.handle_caller(
        context.desk.now, context.sent, CALLER
    )
    context.answers = []
    before = len(context.desk.told)
    context.desk.carry_out('e1', context.effects)
    context.answers = [one for one, _ in context.desk.told[before:]]


@when('a forged datagram reaches its socket for peers')
def send_forged(context):
    engine = context.desk.engines['e1']
    context.effects = engine.handle_peer(context.desk.now, b'\x08\x01\x12\x00')


@when('a peer hands a flow over to it, on a target of a later era')
def hand_over_later(context):
    engine = context.desk.engines['e1']
    record = peer_pb2.FlowRecord(
        flow_id=bytes(16),
        service='booking',
        target='l1',
        epoch=1,
        successor_boot=engine.state.boot,
        era=1,
    )
    context.taken, _ = engine.take_handover(context.desk.now, [record])


@then('it takes no flow')
def check_taken(context):
    assert context.taken == 0


@given('two entry instances of era 3 with an open flow')
def open_in_era(context):
    context.desk = Desk()
    for name in ('e1', 'e2'):
        context.desk.start_entry(name, replace(make_cfg(), era=3))
    context.desk.pass_time(1)
    context.flow = context.desk.open('e1')
    context.desk.request('e1', context.flow, 1)
    context.desk.run_all()


@when("the flow's home leaves")
def leave(context):
    context.desk.engines['e1'].start_leaving(context.desk.now)
    context.desk.tick('e1')


@then('its first token, its next one and its handover name era 3')
def check_eras(context):
    desk = context.desk
    state = desk.engines['e1'].state
    (flow,) = state.flows.values()
    renewed = mint_flow_token(state, desk.now, flow)
    tokens = [context.flow.token, renewed]
    eras = [verify_token(state.cfg.keys, token).era for token in tokens]
    eras += [effect.records[0].era for _, effect in desk.handovers[:1]]
    assert eras == [3, 3, 3], eras


@when('a caller asks it about {what}')
def ask_about(context, what):
    desk = context.desk
    number = 5
    if what == 'a number long forgotten':
        desk.request('e1', context.flow, WINDOW_SIZE + 100)
        number = 2
    query = msg.OutcomeQuery('booking', context.flow.token, number)
    context.answers = desk.send('e1', query)


@then('the only answer is a refusal with "{code}"')
def check_refusal(context, code):
    (refused,) = context.answers
    assert isinstance(refused, msg.Refused), refused
    assert refused.verdict.code == code, refused


@then('the answer is no larger than what was sent')
def check_size(context):
    (effect,) = context.effects
    assert len(effect.datagram) <= len(context.sent)


@then('no request has run')
def check_no_run(context):
    assert context.desk.runs == []


@then('there is no answer and "{name}" is counted')
def check_dropped(context, name):
    assert context.effects == []
    assert context.desk.engines['e1'].state.counters[name] == 1


@then('the only answer is a report with "{code}"')
def check_report(context, code):
    (report,) = context.answers
    assert isinstance(report, msg.VerdictReport), report
    assert report.verdict.code == code, report


@given('an entry instance whose names are as long as they may be')
def open_long_named(context):
    service = 's' * LONGEST_NAME
    target = TargetCfg('t' * LONGEST_NAME, '127.0.0.1:1', 'z1')
    found = ServiceCfg(service, targets={target.name: target})
    context.name = 'e' * (LONGEST_NAME + 1)
    context.service = service
    context.desk = Desk()
    key = KeyCfg(1, b'k' * 32)
    context.desk.start_entry(
        context.name, Cfg(2**32 - 1, {service: found}, {1: key})
    )


@when('a caller opens a flow with the smallest open')
def open_smallest(context):
    engine = context.desk.engines[context.name]
    context.sent = encode_message(msg.Open(context.service, 2**63))
    context.effects = engine.handle_caller(
        context.desk.now, context.sent, CALLER
    )
    assert len(context.effects) == 1
