"""TLS credentials for gRPC channels and servers, from section ``[tls]``.

Mutual TLS is the normal mode: without it, anyone who can connect to the
administration API or the platform could stop entry instances or read token
keys.  Only an explicit ``mode = off`` disables it, and each process that
runs without it logs a warning.
"""

import functools
import logging
from dataclasses import dataclass
from pathlib import Path

import grpc

from cornelgap.core.errors import Code, CodedError

MUTUAL = 'mutual'
OFF = 'off'
_FILE_OPTIONS = ('ca', 'cert', 'key')

_log = logging.getLogger('cornelgap.tls')


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Section ``[tls]`` of a process's settings.

    :param mode: ``mutual`` or ``off``.
    :param ca: PEM file with the certificate authority of both sides.
    :param cert: PEM file with this process's certificate.
    :param key: PEM file with this process's private key.
    :param server_name: name to expect in server certificates in place of
        the address, which changes whenever an instance is replaced.
    """

    mode: str
    ca: str = ''
    cert: str = ''
    key: str = ''
    server_name: str = ''

    @classmethod
    def from_options(cls, options):
        """Validate the options of the section and build the settings.

        :param options: dict of option values by name; ``mode`` is required.
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
        for name in _FILE_OPTIONS:
            if mode == MUTUAL and not options.get(name):
                raise CodedError(
                    Code.CFG_MISSING_OPTION,
                    'expected the path of a file',
                    f'[tls] {name}',
                )
        return cls(**options)


def load_channel_credentials(tls):
    """Load the credentials of a client channel.

    :param tls: :class:`TlsSettings`.
    :return: gRPC channel credentials, or None if TLS is off.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    if _is_tls_off(tls):
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=_read_file(tls.ca, 'ca'),
        private_key=_read_file(tls.key, 'key'),
        certificate_chain=_read_file(tls.cert, 'cert'),
    )


def load_server_credentials(tls):
    """Load the credentials of a server that requires client certificates.

    :param tls: :class:`TlsSettings`.
    :return: gRPC server credentials, or None if TLS is off.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    if _is_tls_off(tls):
        return None
    pair = (_read_file(tls.key, 'key'), _read_file(tls.cert, 'cert'))
    return grpc.ssl_server_credentials(
        [pair],
        root_certificates=_read_file(tls.ca, 'ca'),
        require_client_auth=True,
    )


def list_channel_options(tls):
    """List the gRPC channel options that the TLS settings imply.

    :param tls: :class:`TlsSettings`.
    """
    if not tls.server_name:
        return ()
    return (('grpc.ssl_target_name_override', tls.server_name),)


def open_channel(address, tls, options=()):
    """Open a channel, with or without TLS as the settings require.

    :param address: ``host:port``.
    :param tls: :class:`TlsSettings`.
    :param options: additional gRPC channel options.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    credentials = load_channel_credentials(tls)
    if credentials is None:
        return grpc.insecure_channel(address, options)
    return grpc.secure_channel(
        address, credentials, (*options, *list_channel_options(tls))
    )


def add_port(server, address, tls):
    """Add a port to a server, with or without TLS as the settings require.

    :param server: gRPC server that has not been started yet.
    :param address: ``host:port``; for port 0 the operating system chooses.
    :param tls: :class:`TlsSettings`.
    :return: the port number in use.
    :raises CodedError: ``CFG_UNREADABLE``.
    """
    credentials = load_server_credentials(tls)
    if credentials is None:
        return server.add_insecure_port(address)
    return server.add_secure_port(address, credentials)


def _is_tls_off(tls):
    if tls.mode == OFF:
        _warn_tls_off()
    return tls.mode == OFF


@functools.cache
def _warn_tls_off():
    """Log the warning once per process instead of once per channel."""
    _log.warning('tls: disabled by settings; peers are not authenticated')


def _read_file(path, option):
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise CodedError(
            Code.CFG_UNREADABLE, f'cannot read {path}', f'[tls] {option}'
        ) from exc
