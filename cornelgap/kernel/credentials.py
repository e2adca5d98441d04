"""TLS for every gRPC channel and server, from one section of settings.

Mutual TLS is the rule: whoever reaches the administration API or the
platform without it can stop entry instances or read token keys.  It is off
only where a setting says so, and then each start says it in the log.
"""

import functools
import logging
from dataclasses import dataclass
from pathlib import Path

import grpc

from cornelgap.core.errors import Code, CodedError

MUTUAL = 'mutual'
OFF = 'off'
_FILES = ('ca', 'cert', 'key')

_log = logging.getLogger('cornelgap.tls')


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Section ``[tls]`` of a process's settings.

    :param mode: ``mutual``, or ``off`` by explicit choice.
    :param ca: file of the authority that signs both sides, PEM.
    :param cert: file of this process's certificate, PEM.
    :param key: file of its private key, PEM.
    :param server_name: name that servers' certificates bear instead of
        their addresses, which change with each replaced instance.
    """

    mode: str
    ca: str = ''
    cert: str = ''
    key: str = ''
    server_name: str = ''

    @classmethod
    def from_options(cls, options):
        """Build from the options of the section.

        :param options: option texts by name; ``mode`` must be among them.
        :raises CodedError: ``CFG_MISSING_OPTION``, ``CFG_UNKNOWN_OPTION``
            or ``CFG_BAD_VALUE``.
        """
        for name in options:
            if name not in cls.__dataclass_fields__:
                raise CodedError(
                    Code.CFG_UNKNOWN_OPTION, 'no such option', f'[tls] {name}'
                )
        mode = options.get('mode', '')
        if mode not in {MUTUAL, OFF}:
            raise CodedError(
                Code.CFG_BAD_VALUE if mode else Code.CFG_MISSING_OPTION,
                'expected mutual or off',
                '[tls] mode',
            )
        for name in _FILES:
            if mode == MUTUAL and not options.get(name):
                raise CodedError(
                    Code.CFG_MISSING_OPTION, 'expected a file', f'[tls] {name}'
                )
        return cls(**options)


def load_channel(tls):
    """Load credentials for channels.

    :param tls: :class:`TlsSettings`.
    :return: gRPC channel credentials, or None if TLS is off.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    if _is_off(tls):
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=_read(tls.ca, 'ca'),
        private_key=_read(tls.key, 'key'),
        certificate_chain=_read(tls.cert, 'cert'),
    )


def load_server(tls):
    """Load credentials for servers, which require a client's certificate.

    :param tls: :class:`TlsSettings`.
    :return: gRPC server credentials, or None if TLS is off.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    if _is_off(tls):
        return None
    pair = (_read(tls.key, 'key'), _read(tls.cert, 'cert'))
    return grpc.ssl_server_credentials(
        [pair],
        root_certificates=_read(tls.ca, 'ca'),
        require_client_auth=True,
    )


def list_options(tls):
    """List the channel options that belong to the settings.

    :param tls: :class:`TlsSettings`.
    """
    if not tls.server_name:
        return ()
    return (('grpc.ssl_target_name_override', tls.server_name),)


def open_channel(address, tls, options=()):
    """Open a channel as the settings say.

    :param address: ``host:port``.
    :param tls: :class:`TlsSettings`.
    :param options: further gRPC channel options.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    credentials = load_channel(tls)
    if credentials is None:
        return grpc.insecure_channel(address, options)
    return grpc.secure_channel(
        address, credentials, (*options, *list_options(tls))
    )


def add_port(server, address, tls):
    """Add a port to a server as the settings say.

    :param server: gRPC server, not started yet.
    :param address: ``host:port``; port 0 is chosen by the kernel.
    :param tls: :class:`TlsSettings`.
    :return: the port.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    credentials = load_server(tls)
    if credentials is None:
        return server.add_insecure_port(address)
    return server.add_secure_port(address, credentials)


def _is_off(tls):
    if tls.mode == OFF:
        _warn_off()
    return tls.mode == OFF


@functools.cache
def _warn_off():
    """Warn once a process, not at each of many channels."""
    _log.warning('tls: off by setting; peers are not authenticated')


def _read(path, option):
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise CodedError(
            Code.CFG_UNREADABLE, f'cannot read {path}', f'[tls] {option}'
        ) from exc
