"""Steps about TLS; the certificates are for tests alone."""

import logging
from pathlib import Path
from tempfile import NamedTemporaryFile
from unittest import mock

import grpc
from behave import given, then, when

from cornelgap.cfg.store import PlatformStore
from cornelgap.core.errors import Code, CodedError
from cornelgap.kernel import credentials
from features.steps.cfg_operators_steps import run
from standins.platform import start_platform

FILES = Path(__file__).resolve().parent.parent / 'tls'


def build_options(who, server_name=''):
    return {
        'mode': 'mutual',
        'ca': str(FILES / 'ca.pem'),
        'cert': str(FILES / f'{who}.pem'),
        'key': str(FILES / f'{who}.key'),
        'server_name': server_name,
    }


def start_server(context, options):
    tls = credentials.TlsSettings.from_options(options)
    server, port, context.state = start_platform(
        credentials=credentials.load_server_credentials(tls)
    )
    context.cleanups.append(lambda: server.stop(0).wait())
    context.address = f'127.0.0.1:{port}'


@given('a cfg platform that requires mutual TLS')
def start_ours(context):
    start_server(context, build_options('member'))


@given("a cfg platform with a stranger's certificate")
def start_stranger(context):
    start_server(context, build_options('stranger'))


def try_store(context, channel):
    store = PlatformStore(channel, timeout_s=5)
    try:
        assert store.put('a', 0, b'value').accepted
        assert store.get('a').value == b'value'
    finally:
        channel.close()
        context.state._objects.clear()


def open_channel(context, who, server_name=''):
    if who == 'nobody':
        trust = (FILES / 'ca.pem').read_bytes()
        return grpc.secure_channel(
            context.address, grpc.ssl_channel_credentials(trust)
        )
    options = build_options(who, server_name)
    tls = credentials.TlsSettings.from_options(options)
    return credentials.open_channel(context.address, tls)


@then('a cfg store with the certificate of a "{who}" reads and writes')
def check_member(context, who):
    try_store(context, open_channel(context, who))


@then('a cfg store that expects the server name "{name}" reads and writes')
def check_name(context, name):
    try_store(context, open_channel(context, 'member', name))


def check_kept_out(context, channel):
    try:
        try_store(context, channel)
    except CodedError as exc:
        assert exc.code == Code.PLT_ANSWER_LOST, exc
    else:
        raise AssertionError('the store was reached')


@then('a cfg store with the certificate of a "{who}" is refused')
def check_refused(context, who):
    check_kept_out(context, open_channel(context, who))


@then('a cfg store that expects the server name "{name}" is refused')
def check_other_name(context, name):
    check_kept_out(context, open_channel(context, 'member', name))


@when('the cfg command "{line}" runs with the TLS settings of a "{who}"')
def run_secured(context, line, who):
    options = '\n'.join(
        f'{name} = {value}' for name, value in build_options(who).items()
    )
    with NamedTemporaryFile('w', suffix='.ini') as settings:
        settings.write(f'[platform]\naddress = {context.address}\n')
        settings.write(f'[tls]\n{options}\n')
        settings.flush()
        context.env = {'CORNELGAP_SETTINGS': settings.name}
        run(context, 'amal', line)


@then('the cfg command exits with {code:d}')
def check_exit(context, code):
    assert context.code == code, context.printed


@given('TLS settings with "{options}"')
def note_options(context, options):
    context.options = dict(item.split('=') for item in options.split(','))


@then('they are refused with "{code}" at "{place}"')
def check_settings(context, code, place):
    try:
        tls = credentials.TlsSettings.from_options(context.options)
        credentials.load_channel_credentials(tls)
    except CodedError as exc:
        assert (exc.code, exc.place) == (code, place), exc
    else:
        raise AssertionError('the settings were taken')


@then('TLS that is off gives no credentials and warns once')
def check_off(context):
    tls = credentials.TlsSettings(credentials.OFF)
    credentials._warn_tls_off.cache_clear()
    logger = logging.getLogger('cornelgap.tls')
    with mock.patch.object(logger, 'warning') as warning:
        assert credentials.load_channel_credentials(tls) is None
        assert credentials.load_server_credentials(tls) is None
    warning.assert_called_once()
