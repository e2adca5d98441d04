"""How a packet lies on the platform's wire.

The head has 36 bytes, big-endian.  Datagrams to targets carry 8 bytes more
in front: the number of the target that is meant.
"""

import struct

from cornelgap.core.errors import Code, CodedError
from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.packets import Packet

HEAD = struct.Struct('>HIIHB5xIIIHI')
"""Destination port, source, destination, source port, flags, padding,
cookie (the wire's `echo`), sequence, acknowledgement, length, sum."""

COOKIE_AT = 18
COOKIE = struct.Struct('>I')
IDENTITY = struct.Struct('>Q')

WIRE_SYN = 8
WIRE_ACK = 16
WIRE_FIN = 4
WIRE_RST = 64
_BITS = (
    (WIRE_SYN, pkt.SYN),
    (WIRE_ACK, pkt.ACK),
    (WIRE_FIN, pkt.FIN),
    (WIRE_RST, pkt.RST),
)
_FLAGS = tuple(
    sum(flag for bit, flag in _BITS if wire & bit) for wire in range(256)
)


def decode_packet(raw):
    """Read a datagram of a caller.

    :raises CodedError: ``PKT-001`` if it is cut, ``PKT-007`` if its length
        field and its length differ.
    """
    if len(raw) < HEAD.size:
        raise CodedError(Code.PKT_TRUNCATED, f'{len(raw)} bytes', 'head')
    head = HEAD.unpack_from(raw)
    check_length(head[8], len(raw) - HEAD.size)
    return Packet(
        source=head[1],
        source_port=head[3],
        destination=head[2],
        destination_port=head[0],
        flags=_FLAGS[head[4]],
        cookie=head[5],
        seq=head[6],
        ack=head[7],
        size=head[8],
        raw=raw,
    )


def check_length(stated, found):
    """Check the length field; a cut packet must not reach a target.

    :raises CodedError: ``PKT-007``.
    """
    if stated != found:
        raise CodedError(
            Code.PKT_FIELD, f'{stated} bytes stated, {found} came', 'len'
        )


def encode_forward(packet, target, cookie):
    """Make the datagram for a target; only the cookie is ours to change."""
    raw = packet.raw
    return b''.join(
        (
            encode_identity(target),
            raw[:COOKIE_AT],
            COOKIE.pack(cookie),
            raw[COOKIE_AT + COOKIE.size :],
        )
    )


def encode_identity(target):
    """Make the bytes that name the intended target.

    An address may have been given to a target of another service since the
    directory was told; that one sees that it is not meant, and is silent.
    """
    return IDENTITY.pack(target.identity)


def encode_reset(flow, seq):
    """Make a reset from the route's address to the caller's.

    :param flow: the flow's key, as packets have it.
    """
    source, source_port, destination, destination_port = flow
    return HEAD.pack(
        source_port,
        destination,
        source,
        destination_port,
        WIRE_RST,
        0,
        seq,
        0,
        0,
        0,
    )


def format_ip(number):
    """Write an IPv4 address as text."""
    return '.'.join(str(octet) for octet in number.to_bytes(4, 'big'))


def parse_ip(text):
    """Read an IPv4 address as a number.

    :raises ValueError: if it is none.
    """
    parts = text.split('.')
    if not all(part.isascii() and part.isdigit() for part in parts):
        raise ValueError(f'{text[:40]!r} is no IPv4 address')
    octets = bytes(int(part) for part in parts)
    if len(octets) != 4:
        raise ValueError(f'{text} is no IPv4 address')
    return int.from_bytes(octets, 'big')
