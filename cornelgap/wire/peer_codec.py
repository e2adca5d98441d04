"""Codec of datagrams between entry instances, signed with the key ring.

On the wire, each datagram is a ``Sealed`` message: a key id, an encoded
``PeerDatagram`` (the body), and the tag, a keyed hash of the body.  To sign
a datagram is to compute its tag.  The body is authenticated, not encrypted;
``Sealed`` does not mean that it is secret.

A relayed datagram states the address of its caller.  Without the tag, anyone
who can send to the peer socket could make an entry instance send answers to
any address.
"""

from google.protobuf.message import DecodeError

from cornelgap.core.errors import Code, CodedError
from cornelgap.core.token import compute_tag, pick_signing_key, verify_tag
from cornelgap.wire import peer_pb2 as pb


def sign_peer_datagram(keys, datagram):
    """Encode and sign a peer datagram.

    :param keys: key ring: :class:`~cornelgap.core.settings.KeyCfg` by key id.
    :param datagram: :class:`~cornelgap.wire.peer_pb2.PeerDatagram`.
    :returns: the encoded ``Sealed`` message, or None if there is no signing
        key yet.
    """
    key = pick_signing_key(keys)
    if key is None:
        return None
    body = datagram.SerializeToString()
    return pb.Sealed(
        key_id=key.key_id, tag=compute_tag(key, body), body=body
    ).SerializeToString()


def verify_peer_datagram(keys, data):
    """Verify and decode a peer datagram.

    :param keys: key ring; keys of every stage verify datagrams.
    :param data: the encoded ``Sealed`` message.
    :returns: :class:`~cornelgap.wire.peer_pb2.PeerDatagram`.
    :raises CodedError: ``NET_FORGED`` if the tag is not valid (the error
        text calls it the signature) or the ``Sealed`` message cannot be
        decoded.  A malformed message thus counts as forged, also if it was
        only damaged.  ``PKT_KEY_UNKNOWN`` if this instance lacks the key.
    :raises DecodeError: if the tag is valid but the body is not a
        ``PeerDatagram``; only a holder of the key can cause this.
    """
    try:
        sealed = pb.Sealed.FromString(data)
    except DecodeError as exc:
        raise CodedError(
            Code.NET_FORGED, 'peer datagram cannot be decoded'
        ) from exc
    key = keys.get(sealed.key_id)
    if key is None:
        raise CodedError(Code.PKT_KEY_UNKNOWN, f'unknown key {sealed.key_id}')
    if not verify_tag(key, sealed.body, sealed.tag):
        raise CodedError(Code.NET_FORGED, 'signature is not valid')
    return pb.PeerDatagram.FromString(sealed.body)
