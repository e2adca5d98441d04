"""How a command reaches platform and entry instances, from its settings."""

import configparser
import contextlib
import getpass
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import Parameter

from cornelgap.cfg.store import CHANNEL_OPTIONS, PlatformStore
from cornelgap.core.errors import Code, CodedError
from cornelgap.kernel.credentials import OFF, TlsSettings, open_channel


@Parameter(name='*')
@dataclass(frozen=True)
class Connection:
    """Options that every command which needs the platform takes."""

    platform: Annotated[
        str, Parameter(env_var='CORNELGAP_PLATFORM', help='HOST:PORT')
    ] = ''
    settings: Annotated[
        Path | None,
        Parameter(
            env_var='CORNELGAP_SETTINGS',
            help='INI file with sections [platform] and [tls].',
        ),
    ] = None
    tls: Annotated[
        Literal['settings', 'off'],
        Parameter(
            env_var='CORNELGAP_TLS',
            help='"off" switches TLS off; else [tls] of the settings counts.',
        ),
    ] = 'settings'
    author: Annotated[
        str,
        Parameter(env_var='CORNELGAP_AUTHOR', help='Who makes the change.'),
    ] = ''


@dataclass(frozen=True, slots=True)
class Reach:
    """What a command was told about its surroundings.

    :param platform: address of the platform.
    :param tls: :class:`cornelgap.kernel.credentials.TlsSettings`.
    :param author: who runs the command.
    """

    platform: str
    tls: TlsSettings
    author: str

    @classmethod
    def from_connection(cls, connection):
        """Read the settings that the options name.

        :param connection: :class:`Connection` or None for defaults.
        :raises CodedError: ``OPS_NO_SETTINGS`` or what is wrong in them.
        """
        connection = connection or Connection()
        sections = _read_sections(connection.settings)
        platform = connection.platform or sections['platform'].get(
            'address', ''
        )
        if not platform:
            raise CodedError(
                Code.OPS_NO_SETTINGS,
                'no platform address; give --platform HOST:PORT',
            )
        if connection.tls == OFF:
            tls = TlsSettings(OFF)
        elif sections['tls']:
            tls = TlsSettings.from_options(sections['tls'])
        else:
            raise CodedError(
                Code.OPS_NO_SETTINGS,
                'no TLS settings; give --settings FILE with a section [tls], '
                'or --tls off',
            )
        author = connection.author or getpass.getuser()
        return cls(platform, tls, author)

    def open_channel(self, address):
        """Open a channel to a platform or an entry instance."""
        return open_channel(address, self.tls, CHANNEL_OPTIONS)

    def open_store(self):
        """Open the platform's store, to be used in a ``with`` block."""
        channel = self.open_channel(self.platform)
        return contextlib.closing(PlatformStore(channel))


def _read_sections(path):
    parser = configparser.ConfigParser(interpolation=None)
    if path is not None:
        try:
            parser.read_string(path.read_text())
        except (OSError, configparser.Error) as exc:
            raise CodedError(
                Code.CFG_UNREADABLE, 'the settings cannot be read', str(path)
            ) from exc
    return {
        name: dict(parser[name]) if parser.has_section(name) else {}
        for name in ('platform', 'tls')
    }
