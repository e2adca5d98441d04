"""Cookies of SYNs, which are valid only until the caller has sent data.

A target copies the cookie of a SYN into its SYN+ACK, and repeats the SYN+ACK
until it is acknowledged.  Copies of one SYN may reach two targets.  The
caller opens the flow on one of them, and after each SYN+ACK of the other its
packets carry that target's cookie, although the target does not hold the
flow.

A SYN therefore carries its target's cookie combined with a mask that depends
on the flow and on the sequence number of the SYN.  Only the packets that
directly follow the SYN have the sequence number by which the mask is removed.
In a later packet the cookie names no target, so an instance that has not seen
the flow knows that it cannot tell where the flow is open.
"""

import struct
import zlib

from cornelgap.forwarding.packets import SEQUENCE_MASK

_HANDSHAKE = struct.Struct('>IHIHI')
"""Both ends' addresses and ports, and the sequence number of the SYN."""


def make_handshake_cookie(packet, cookie):
    """Return the cookie that a SYN carries to a target.

    :param packet: the SYN.
    :param cookie: the target's cookie.
    """
    return cookie ^ compute_mask(packet.flow, packet.seq)


def read_handshake_cookie(packet, syn_seq):
    """Return the target's cookie from one that a target has got with a SYN.

    :param syn_seq: sequence number of the SYN.  With any other one the result
        is a number without meaning, and never the target's cookie.
    """
    return packet.cookie ^ compute_mask(packet.flow, syn_seq)


def compute_syn_seq(packet):
    """Return the sequence number of the SYN that a packet directly follows."""
    return (packet.seq - 1) & SEQUENCE_MASK


def compute_mask(flow, syn_seq):
    """Return the 32 bits that SYNs of a flow combine with a cookie.

    A CRC is enough: two sequence numbers of one flow never give the same
    mask, and a caller who forges cookies harms its own flows only.

    :param flow: the flow's key.
    :param syn_seq: sequence number of the SYN.
    """
    return zlib.crc32(_HANDSHAKE.pack(*flow, syn_seq))
