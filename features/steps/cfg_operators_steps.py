"""Steps about the command line, against in-process stand-ins."""

import contextlib
import io
import json
import os
import re
import shlex
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import grpc
from behave import given, then, when

from cornelgap.cfg import applying, document, staging
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import Cfg, KeyCfg, KeyStage, ServiceCfg
from cornelgap.core.stamps import Stamp
from cornelgap.operators.changing import ChangeOptions, change_in_force
from cornelgap.operators.connection import Connection
from cornelgap.operators.fleet import InstanceStatus, wait_in_force
from cornelgap.operators.main import run_command
from cornelgap.wire import admin_pb2, admin_pb2_grpc, platform_pb2
from features.steps.cfg_folder_steps import write_folder
from standins.memory import MemoryStore
from standins.platform import start_platform

SECRET = '5a' * 32
BASE = """[service search]
address = 10.0.0.1:9000
token_s = 600
[target s1]
service = search
address = 10.1.0.1:7000
zone = a
[target s2]
service = search
address = 10.1.0.2:7000
zone = b
[service archive]
address = 10.0.0.2:9000
token_s = 600
[target a1]
service = archive
address = 10.1.0.3:7000
zone = a
[target a2]
service = archive
address = 10.1.0.3:7001
zone = b
"""


class FakeEntry(admin_pb2_grpc.AdminServicer):
    """Entry that follows the platform's state, or stays at a revision."""

    def __init__(self, name, state):
        self.name = name
        self.state = state
        self.stuck = None
        self.strict = False
        self.targets = []
        self.server = grpc.server(ThreadPoolExecutor(2))
        admin_pb2_grpc.add_AdminServicer_to_server(self, self.server)
        port = self.server.add_insecure_port('127.0.0.1:0')
        self.server.start()
        self.listing = platform_pb2.Instance(
            name=name, role='entry', zone='a', admin=f'127.0.0.1:{port}'
        )
        state.register(self.listing)

    def Status(self, req, context):
        _, value = self.state._objects['cfg/root']
        root, _ = document.read_root(value)
        stamp = self.stuck or Stamp(self.state.era, root.revision)
        return admin_pb2.StatusReply(
            name=self.name,
            revision=stamp.revision,
            era=stamp.era,
            targets=self.targets,
        )

    def Drain(self, req, context):
        if self.strict:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, 'OPS-007')
        return admin_pb2.DrainReply(accepted=True)


@given('the cfg stand-in platform with {count:d} entries that follow it')
def start_all(context, count):
    server, port, context.state = start_platform()
    context.cleanups.append(lambda: server.stop(0).wait())
    context.store = MemoryStore(context.state)
    context.state._expiry_s = 3600
    context.env = {
        'CORNELGAP_PLATFORM': f'127.0.0.1:{port}',
        'CORNELGAP_TLS': 'off',
    }
    context.entries = {}
    for number in range(1, count + 1):
        entry = FakeEntry(f'e{number}', context.state)
        context.entries[entry.name] = entry
        context.cleanups.append(lambda entry=entry: entry.server.stop(0))


@given('a cfg operator folder for services "search" and "archive"')
def write_base(context):
    write_folder(context, {'10-base.ini': BASE})


@when('the cfg operator folder gets "{name}" with "{text}"')
def add_file(context, name, text):
    (context.folder / name).write_text(text.replace('~', '\n'))


@when('the cfg operator folder has "{old}" replaced by "{new}"')
def replace_text(context, old, new):
    text = BASE.replace(old, new)
    if old == '10.1.0.1:7000':
        text = BASE.replace(new, '10.1.0.9:7000').replace(old, new)
    text = text.replace(
        '= archive', f'= {new[9:-1]}' if 'serv' in new else '= archive'
    )
    (context.folder / '10-base.ini').write_text(text)


@when('the cfg operator folder loses target "{name}"')
def lose_target(context, name):
    text = re.sub(rf'\[target {name}\][^\[]*', '', BASE)
    (context.folder / '10-base.ini').write_text(text)


@given('the cfg operator folder forgets its base')
def forget_base(context):
    (context.folder / '.base-revision').unlink()


@given('the cfg operator folder notes its base without an era')
def shorten_base(context):
    note = context.folder / '.base-revision'
    note.write_text(note.read_text().split()[0])


@given('the cfg operator folder holds a key of its own')
def add_own_key(context):
    add_file(
        context, '30-key.ini', f'[key 2]~secret = {SECRET}~stage = signing'
    )
    add_file(context, '40-key.ini', f'[key 2]~secret = {SECRET}a')


@when('the cfg operator folder has key {key_id:d} "{stage}"')
def set_key(context, key_id, stage):
    add_file(
        context,
        '30-key.ini',
        f'[key {key_id}]~secret = {SECRET}~stage = {stage}',
    )


@given('the cfg operator folder has key {key_id:d} "{stage}" and is applied')
def apply_key(context, key_id, stage):
    set_key(context, key_id, stage)
    run_before(context, 'amal', 'apply DIR -m key')


@when('operator "{who}" runs "{line}"')
def run(context, who, line):
    args = [
        str(context.folder) if arg == 'DIR' else arg
        for arg in shlex.split(line)
    ]
    env = context.env | {'CORNELGAP_AUTHOR': who, 'COLUMNS': '200'}
    printed = io.StringIO()
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.dict(os.environ, env))
        stack.enter_context(contextlib.redirect_stdout(printed))
        stack.enter_context(contextlib.redirect_stderr(printed))
        context.code = run_command(args)
    context.printed = printed.getvalue()
    context.all_printed = getattr(context, 'all_printed', '') + context.printed


@given('operator "{who}" has run "{line}"')
def run_before(context, who, line):
    run(context, who, line)
    assert context.code == 0, context.printed


@then('the command exits with {code:d} and prints "{text}"')
def check_command(context, code, text):
    assert context.code == code, (context.code, context.printed)
    assert text in context.printed, context.printed


@then('it prints "{text}"')
def check_printed(context, text):
    assert text in context.printed, context.printed


@then('it does not print "{text}"')
def check_not_printed(context, text):
    assert text not in context.printed, context.printed


@then('the cfg platform has revision {revision:d}')
def check_platform(context, revision):
    _, value = context.state._objects['cfg/root']
    assert document.read_root(value)[0].revision == revision


@when('cfg revision 3 comes in force between planning on 2 and writing on 3')
def plan_early(context):
    def make_plan(store):
        base = applying.load_base(store)
        cfg = staging.set_instance_draining(base, 'e1', True)
        run_before(context, 'huda', 'drain target s1 -m disk')
        return applying.plan_change(base, cfg)

    context.result, _ = change_in_force(
        Connection(context.env['CORNELGAP_PLATFORM'], tls='off'),
        ChangeOptions(message='early'),
        make_plan,
        lambda in_force: Stamp(1, 3),
    )


@given('the cfg stand-in platform is backed up')
def back_up(context):
    context.backup = context.state.back_up()


@given('the cfg stand-in platform is restored from that backup')
def restore(context):
    context.state.restore(context.backup)


@given('cfg entry "{name}" obeys other operators')
def obey_others(context, name):
    context.entries[name].strict = True


@given('cfg entry "{name}" stays at revision {revision:d}')
def stick_entry(context, name, revision):
    context.entries[name].stuck = Stamp(context.state.era, revision)


@given('cfg entry "{name}" follows the platform again')
def free_entry(context, name):
    context.entries[name].stuck = None


@given('cfg entry "{name}" is dead')
def stop_entry(context, name):
    context.entries[name].server.stop(0).wait()


@given('cfg entry "{name}" is listed as leaving')
def leave_entry(context, name):
    context.entries[name].listing.leaving = True
    context.state.register(context.entries[name].listing)


@given('cfg entry "{name}" has {flows:d} flows on target "{target}"')
def load_entry(context, name, flows, target):
    context.entries[name].targets = [
        admin_pb2.TargetStatus(
            target=target, service='search', state='active', flows=flows
        )
    ]


@given('the cfg stand-in platform is {fault}')
def break_platform(context, fault):
    context.state.set_faults(platform_pb2.Faults(**{fault: True}))


@then('the printed JSON has revision {revision:d} for entry "{name}"')
def check_json(context, revision, name):
    found = json.loads(context.printed[context.printed.index('{') :])
    revisions = {
        item['name']: item.get('revision') for item in found['instances']
    }
    assert revisions[name] == str(revision), found


class SlowFleet:
    """Entries of which the second has the revision only in round three."""

    def __init__(self):
        self.rounds = 0

    def ask_status(self, instances):
        self.rounds += 1
        replies = {
            'e1': admin_pb2.StatusReply(revision=7),
            'e2': admin_pb2.StatusReply(revision=7 if self.rounds > 2 else 6),
        }
        return [
            InstanceStatus(item.name, 'a', False, replies[item.name])
            for item in instances
        ]


@then('waiting for a cfg revision goes on with the last list through an outage')
def check_waiting(context):
    listing = [platform_pb2.Instance(name=name) for name in ('e1', 'e2')]
    answers = [listing]

    def list_instances():
        if answers:
            return answers.pop()
        raise CodedError(Code.PLT_DOWN, 'down')

    outcomes = wait_in_force(
        list_instances,
        SlowFleet(),
        Stamp(revision=7),
        wait_s=9,
        clock=iter(range(99)).__next__,
        pause=lambda seconds: None,
    )
    found = {outcome.name: outcome.after_s for outcome in outcomes}
    assert found == {'e1': 1, 'e2': 3}, found


@then(
    'key {key_id:d} may retire {late:d} s after it stopped signing '
    'and not {early:d} s after'
)
def check_retiring(context, key_id, late, early):
    key = KeyCfg(key_id, b'k' * 32, KeyStage.RETIRING)
    cfg = Cfg(
        services={'search': ServiceCfg('search', token_s=600)},
        keys={key_id: key},
    )
    assert not staging.retire_key(cfg, key_id, late).keys
    try:
        staging.retire_key(cfg, key_id, early)
    except CodedError as exc:
        assert exc.code == Code.OPS_NO_SUCH_STEP
    else:
        raise AssertionError('the key went early')


@when('operator "{who}" runs every cfg command')
def run_every(context, who):
    for line in (
        'check DIR',
        'show DIR --origin',
        'diff DIR',
        'apply DIR -m why',
        'history',
        'audit',
        'audit --verify',
        'status',
        'status --json',
        'key list',
        'key add -m why',
    ):
        run(context, who, line)
        (context.folder / '40-key.ini').unlink(missing_ok=True)
        run(context, who, line)


@then('no secret was printed')
def check_no_secret(context):
    secrets = [SECRET]
    for name, (_, value) in context.state._objects.items():
        if name.startswith('cfg/part/'):
            part = document.wire.Part.FromString(value)
            secrets += [key.secret.hex() for key in part.keys]
    assert len(secrets) > 1
    assert 'fingerprint:' in context.all_printed
    for secret in secrets:
        assert secret not in context.all_printed
        assert repr(bytes.fromhex(secret)) not in context.all_printed
