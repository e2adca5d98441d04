"""Settings of one entry instance, read from an INI file and checked.

A process learns its own addresses and availability zone from here; what
services and targets there are comes with the configuration in force.
"""

import configparser
from dataclasses import dataclass

import pydantic

from cornelgap.core.errors import Code, CodedError

SECTION = 'instance'

# Other sections and their options; None where the part that reads the
# section checks them itself.
OTHER_SECTIONS = {
    'tls': None,
    'platform_tls': None,
    'target_tls': None,
    'logs': None,
    'seeds': None,
    'admin': ('operators',),
}


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='allow', frozen=True)

    name: str = pydantic.Field(min_length=1, max_length=64)
    zone: str = pydantic.Field(min_length=1, max_length=64)
    public: str
    private: str
    api: str
    admin: str = '127.0.0.1:0'
    metrics: str = ''
    platform: str
    register_s: float = pydantic.Field(default=2.0, ge=0.5, le=600)

    @pydantic.field_validator('public', 'private', 'api', 'platform', 'admin')
    @classmethod
    def check_address(cls, text):
        """Check ``host:port``."""
        host, colon, port = text.rpartition(':')
        if not host or not colon or not port.isdigit():
            raise ValueError('expected HOST:PORT')
        return text


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of an entry instance.

    :param public: ``host:port`` of the socket for callers.
    :param private: ``host:port`` of the socket for peers' datagrams.
    :param api: ``host:port`` of the gRPC server for peers.
    :param admin: ``host:port`` of the administration API.
    :param metrics: ``host:port`` for metrics and health, empty for none.
    :param platform: ``host:port`` of the platform's object service.
    :param register_s: seconds between two registrations with the platform.
    :param sections: all other sections, option by name, for the parts that
        check their own (``tls``, ``logs``).
    """

    name: str
    zone: str
    public: str
    private: str
    api: str
    admin: str
    metrics: str
    platform: str
    sections: dict
    register_s: float = 2.0


def load_settings(path):
    """Load and check a settings file, going on past the first error.

    :param path: INI file with a section ``[instance]``.
    :returns: (settings or None, list of :class:`CodedError`).
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding='utf-8') as source:
            parser.read_file(source)
    except (OSError, UnicodeDecodeError) as exc:
        return None, [CodedError(Code.CFG_UNREADABLE, str(exc), str(path))]
    except configparser.Error as exc:
        return None, [CodedError(Code.CFG_SYNTAX, exc.message, str(path))]
    if not parser.has_section(SECTION):
        text = f'section [{SECTION}] is missing'
        return None, [CodedError(Code.CFG_MISSING_OPTION, text, str(path))]
    loaded, errors = _check_options(path, parser)
    errors += _check_sections(path, parser)
    return (None if errors else loaded), errors


def _check_sections(path, parser):
    # A misspelt section would be left out silently: with [admn] instead of
    # [admin], everybody with a certificate could stop the instance.
    errors = []
    for name in parser.sections():
        if name != SECTION and name not in OTHER_SECTIONS:
            known = ', '.join([SECTION, *OTHER_SECTIONS])
            errors.append(
                CodedError(
                    Code.CFG_UNKNOWN_SECTION,
                    f'known are {known}',
                    f'{path} [{name}]',
                )
            )
        options = OTHER_SECTIONS.get(name)
        if options is None:
            continue
        errors += [
            CodedError(
                Code.CFG_UNKNOWN_OPTION,
                f'known are {", ".join(options)}',
                f'{path} [{name}] {option}',
            )
            for option in parser[name]
            if option not in options
        ]
    return errors


def _check_options(path, parser):
    options = dict(parser[SECTION])
    known = _Model.model_fields
    errors = [
        CodedError(
            Code.CFG_UNKNOWN_OPTION,
            f'known are {", ".join(sorted(known))}',
            f'{path} [{SECTION}] {name}',
        )
        for name in options
        if name not in known
    ]
    try:
        model = _Model.model_validate(options)
    except pydantic.ValidationError as exc:
        errors += [_convert_error(path, item) for item in exc.errors()]
    if errors:
        return None, errors
    fields = {name: getattr(model, name) for name in known}
    sections = {
        name: dict(parser[name])
        for name in parser.sections()
        if name != SECTION
    }
    return Settings(**fields, sections=sections), []


def _convert_error(path, item):
    option = '.'.join(str(part) for part in item['loc'])
    code = Code.CFG_BAD_VALUE
    if item['type'] == 'missing':
        code = Code.CFG_MISSING_OPTION
    return CodedError(code, item['msg'], f'{path} [{SECTION}] {option}')
