"""Codec of datagrams between entry instances, sealed with the key ring.

A relayed datagram says which address a caller has.  Without the seal
anybody who reaches the peer socket could make an entry instance answer to
an address of their choice.
"""

from google.protobuf.message import DecodeError

from cornelgap.core.errors import Code, CodedError
from cornelgap.core.token import check_bytes, pick_signing_key, sign_bytes
from cornelgap.wire import peer_pb2 as pb


def seal_datagram(keys, datagram):
    """Encode and sign a peer datagram.

    :param keys: key ring by key id.
    :param datagram: :class:`~cornelgap.wire.peer_pb2.PeerDatagram`.
    :returns: bytes, or None if no key signs yet.
    """
    key = pick_signing_key(keys)
    if key is None:
        return None
    body = datagram.SerializeToString()
    return pb.Sealed(
        key_id=key.key_id, tag=sign_bytes(key, body), body=body
    ).SerializeToString()


def unseal_datagram(keys, data):
    """Check and decode a peer datagram.

    :raises CodedError: ``NET_FORGED`` or ``PKT_KEY_UNKNOWN``.
    """
    try:
        sealed = pb.Sealed.FromString(data)
    except DecodeError as exc:
        raise CodedError(Code.NET_FORGED, 'cannot be decoded') from exc
    key = keys.get(sealed.key_id)
    if key is None:
        raise CodedError(Code.PKT_KEY_UNKNOWN, f'key {sealed.key_id}')
    if not check_bytes(key, sealed.body, sealed.tag):
        raise CodedError(Code.NET_FORGED, 'keyed hash differs')
    return pb.PeerDatagram.FromString(sealed.body)
