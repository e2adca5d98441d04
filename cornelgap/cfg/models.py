"""Validated models of the sections of a configuration folder."""

import ipaddress
import re
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
)

from cornelgap.core.settings import KeyStage, TargetMode

_NAME = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
_SECRET_BYTES = 32
_MAX_PORT = 65535
_DAY_S = 86400


def _check_name(name):
    if not _NAME.fullmatch(name):
        raise ValueError('a name of a-z, 0-9, dot, dash, underscore')
    return name


def _check_address(address):
    host, _, port = address.rpartition(':')
    good = port.isdecimal() and 0 < int(port) <= _MAX_PORT
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        good = False
    if not good:
        raise ValueError('IP:PORT such as 10.0.0.7:9000')
    return address


def _read_secret(text):
    secret = bytes.fromhex(text)
    if len(secret) != _SECRET_BYTES:
        raise ValueError('64 hex digits')
    return secret


def _check_number(text):
    # Two spellings of one number would be two sections of one key.
    if text != str(int(text)):
        raise ValueError('a number from 1 to 255')
    return text


Name = Annotated[str, AfterValidator(_check_name)]
Address = Annotated[str, AfterValidator(_check_address)]
Share = Annotated[float, Field(ge=0, le=1)]


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ServiceSection(_Section):
    """``[service NAME]``."""

    name: Name
    address: Address
    imbalance_weight: Share = 0.5
    deadline_ms: Annotated[int, Field(ge=1, le=3600000)] = 30000
    queue_limit: Annotated[int, Field(ge=0, le=100000)] = 64
    long_share: Share = 0.5
    token_s: Annotated[int, Field(ge=10, le=_DAY_S)] = 900


class TargetSection(_Section):
    """``[target NAME]``."""

    name: Name
    service: Name
    address: Address
    zone: Name
    slots: Annotated[int, Field(ge=1, le=100000)] = 2
    conns: Annotated[int, Field(ge=1, le=10000000)] = 2000
    mode: TargetMode = TargetMode.ACTIVE


class KeySection(_Section):
    """``[key N]``."""

    name: Annotated[int, BeforeValidator(_check_number), Field(ge=1, le=255)]
    secret: Annotated[bytes, BeforeValidator(_read_secret)]
    stage: KeyStage


class InstanceSection(_Section):
    """``[instance NAME]``."""

    name: Name
    draining: bool = False


SECTIONS = {
    'service': ServiceSection,
    'target': TargetSection,
    'key': KeySection,
    'instance': InstanceSection,
}
"""Model of each kind of section."""
