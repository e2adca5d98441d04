"""Flow tokens: the route of a flow, authenticated with a keyed hash.

A token lets any entry instance that has the key route any packet of a
flow without a lookup.  It names the service, the target, the home entry
with its boot nonce, the flow, its id space and an expiry on the home's
own clock.  Clocks of two machines are never compared: only the home that
the token names judges the expiry.
"""

import hmac
import secrets
import struct
from dataclasses import dataclass
from hashlib import blake2b

from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import KeyStage
from cornelgap.core.stamps import Stamp

TAG_BYTES = 16
_HEAD = struct.Struct('>BQQIII16sBBB')
_KEY_ID_AT = 0
_FLOW_AT = 29


@dataclass(slots=True)
class Token:
    """What a token says.

    :param flow: 16 random bytes.
    :param epoch: id space of the flow's request numbers.
    :param home: name of the entry instance that owns the id space.
    :param boot: nonce of the home's process; a restart changes it.
    :param target: name of the target that the flow is on.
    :param revision: configuration revision at the time of minting.
    :param expiry: seconds on the home's own clock.
    :param era: era of that configuration.
    """

    flow: bytes
    epoch: int
    service: str
    target: str
    home: str
    boot: int
    revision: int
    expiry: int
    era: int = 0

    @property
    def stamp(self):
        """Return the place of the configuration that it was minted by."""
        return Stamp(self.era, self.revision)


def make_nonce():
    """Make a 64-bit random number for a boot, an epoch or an open."""
    return secrets.randbits(64) or 1


def make_flow_id():
    """Make a flow id that nobody can guess."""
    return secrets.token_bytes(16)


def pick_signing_key(keys):
    """Pick the key that signs new tokens, or None if there is none.

    :param keys: :class:`~cornelgap.core.settings.KeyCfg` by key id.
    """
    signing = [key for key in keys.values() if key.stage is KeyStage.SIGNING]
    return max(signing, key=_get_key_id) if signing else None


def sign_bytes(key, body):
    """Compute the keyed hash of a body.

    :returns: 16 bytes.
    """
    return blake2b(body, key=key.secret, digest_size=TAG_BYTES).digest()


def check_bytes(key, body, tag):
    """Say whether a tag belongs to a body, in constant time."""
    return hmac.compare_digest(sign_bytes(key, body), tag)


def mint_token(key, token):
    """Encode and sign a token.

    :param key: the signing :class:`~cornelgap.core.settings.KeyCfg`.
    :returns: bytes that only holders of the key can make.
    """
    service = token.service.encode()
    target = token.target.encode()
    home = token.home.encode()
    body = (
        _HEAD.pack(
            key.key_id,
            token.epoch,
            token.boot,
            token.revision,
            token.era,
            token.expiry,
            token.flow,
            len(service),
            len(target),
            len(home),
        )
        + service
        + target
        + home
    )
    return body + sign_bytes(key, body)


def verify_token(keys, data):
    """Check a token's keyed hash and decode it.

    The expiry is not judged here, see the module's comment.

    :param keys: key ring, all stages verify.
    :raises CodedError: ``PKT_KEY_UNKNOWN`` if this instance lacks the key,
        which after a rotation means that it is behind, not that the token
        is bad; ``PKT_TOKEN_FORGED`` for anything else.
    """
    if len(data) < _HEAD.size + TAG_BYTES:
        raise CodedError(Code.PKT_TOKEN_FORGED, 'token too short', 'token')
    key = keys.get(data[_KEY_ID_AT])
    if key is None:
        raise CodedError(Code.PKT_KEY_UNKNOWN, 'key not known here', 'token')
    body = data[:-TAG_BYTES]
    if not check_bytes(key, body, data[-TAG_BYTES:]):
        raise CodedError(Code.PKT_TOKEN_FORGED, 'keyed hash differs', 'token')
    return _decode_body(body)


def peek_flow(data):
    """Read the flow id of a token that need not be genuine.

    A refusal repeats it, so that only whoever knows the flow id can make a
    caller believe a refusal.

    :returns: 16 bytes, or none if the token is too short.
    """
    if len(data) < _HEAD.size:
        return b''
    return data[_FLOW_AT : _FLOW_AT + 16]


def _decode_body(body):
    head = _HEAD.unpack_from(body)
    _, epoch, boot, revision, era, expiry, flow, *lengths = head
    first = _HEAD.size
    second = first + lengths[0]
    third = second + lengths[1]
    return Token(
        flow=flow,
        epoch=epoch,
        service=body[first:second].decode(),
        target=body[second:third].decode(),
        home=body[third:].decode(),
        boot=boot,
        revision=revision,
        expiry=expiry,
        era=era,
    )


def _get_key_id(key):
    return key.key_id
