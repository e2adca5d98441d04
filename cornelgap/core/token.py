"""Flow tokens: the route of a flow, authenticated with a keyed hash.

A token lets any entry instance that has the key route any packet of a
flow without a lookup.  It names the service, the target, the flow, its
epoch, and the home: the entry instance that owns the flow, with its boot
nonce.  The expiry is a time on the home's own clock and only the home checks
it, so that the clocks of two machines are never compared.

The epoch is the random number of an id space: the range in which the flow's
request numbers are unique.  A flow gets a new epoch when it is opened and
when its home is lost, since nobody knows then which numbers were used.  In a
planned handover to another home it keeps its epoch.

A token consists of a fixed header, the three names and a 16-byte tag: a
keyed hash of the header and the names.  The keys come from the key ring of
the configuration.  A key has one of three stages
(:class:`~cornelgap.core.settings.KeyStage`): it is published before it
signs, so that all instances know it by then (the very first key signs at
once); it is signing; it is retiring while tokens signed with it may still be
valid.
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
_HEADER = struct.Struct('>BQQIII16sBBB')
_KEY_ID_OFFSET = 0
_FLOW_ID_OFFSET = 29


@dataclass(slots=True)
class Token:
    """The decoded content of a token.

    :param flow: flow id, 16 random bytes.
    :param epoch: random number that identifies the id space of the flow's
        requests; not a time.  Flow, epoch and request number together
        identify a request.
    :param service: name of the service that the flow belongs to.
    :param target: name of the target that the flow is assigned to.
    :param home: name of the entry instance that owns the flow.
    :param boot: nonce of the home's process; a restart changes it.
    :param revision: revision of the configuration in force when the token
        was made.
    :param expiry: point in time, in whole seconds of the home's monotonic
        clock, after which the home refuses the token unless it still has the
        flow's state.  It means nothing to other instances, nor to a restarted
        home, which has another ``boot``.
    :param era: era of that configuration; rises when the platform's store is
        restored from a backup, see :mod:`cornelgap.core.stamps`.
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
        """Return the stamp of the configuration that it was made with.

        A stamp is a pair of era and revision.  The stamp of a later
        configuration compares greater; the era decides first.
        """
        return Stamp(self.era, self.revision)


def make_nonce():
    """Make a random 64-bit number, such as a boot nonce or an epoch.

    :returns: never 0, which stands for a missing value.
    """
    return secrets.randbits(64) or 1


def make_flow_id():
    """Make a flow id that cannot be guessed."""
    return secrets.token_bytes(16)


def pick_signing_key(keys):
    """Return the key that signs new tokens, or None if there is none.

    The check of a configuration folder allows one signing key.  If there are
    more nonetheless, the one with the highest key id signs, so that all
    instances with the same key ring choose the same key.

    :param keys: key ring: :class:`~cornelgap.core.settings.KeyCfg` by key id.
    """
    signing = [key for key in keys.values() if key.stage is KeyStage.SIGNING]
    return max(signing, key=_get_key_id) if signing else None


def compute_tag(key, body):
    """Compute the tag of a body: its keyed hash.

    :returns: 16 bytes.
    """
    return blake2b(body, key=key.secret, digest_size=TAG_BYTES).digest()


def verify_tag(key, body, tag):
    """Return whether a tag is valid for a body; runs in constant time."""
    return hmac.compare_digest(compute_tag(key, body), tag)


def mint_token(key, token):
    """Encode and sign a token.

    :param key: the :class:`~cornelgap.core.settings.KeyCfg` that signs.
    :returns: bytes that only a holder of the key can produce.
    """
    service = token.service.encode()
    target = token.target.encode()
    home = token.home.encode()
    body = (
        _HEADER.pack(
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
    return body + compute_tag(key, body)


def verify_token(keys, data):
    """Check a token's tag and decode it.

    The expiry is not checked here; only the home of the flow can do so.

    :param keys: key ring; keys of every stage verify tokens.
    :raises CodedError: ``PKT_KEY_UNKNOWN`` if this instance lacks the key.
        After a key rotation this means that its configuration is outdated,
        not that the token is bad.  ``PKT_TOKEN_FORGED`` if the tag is not
        valid or the token is too short for header and tag.  An empty or cut
        off token thus counts as forged too.
    """
    if len(data) < _HEADER.size + TAG_BYTES:
        raise CodedError(Code.PKT_TOKEN_FORGED, 'token is too short', 'token')
    key = keys.get(data[_KEY_ID_OFFSET])
    if key is None:
        raise CodedError(Code.PKT_KEY_UNKNOWN, 'key is not known', 'token')
    body = data[:-TAG_BYTES]
    if not verify_tag(key, body, data[-TAG_BYTES:]):
        raise CodedError(Code.PKT_TOKEN_FORGED, 'tag is not valid', 'token')
    return _decode_body(body)


def read_unverified_flow_id(data):
    """Read the flow id of a token without verifying the token.

    A refusal repeats the flow id, so that a caller accepts refusals only
    from senders that know it.

    :returns: 16 bytes, or an empty value if the token is too short.
    """
    if len(data) < _HEADER.size:
        return b''
    return data[_FLOW_ID_OFFSET : _FLOW_ID_OFFSET + 16]


def _decode_body(body):
    header = _HEADER.unpack_from(body)
    _, epoch, boot, revision, era, expiry, flow, *lengths = header
    service_start = _HEADER.size
    target_start = service_start + lengths[0]
    home_start = target_start + lengths[1]
    return Token(
        flow=flow,
        epoch=epoch,
        service=body[service_start:target_start].decode(),
        target=body[target_start:home_start].decode(),
        home=body[home_start:].decode(),
        boot=boot,
        revision=revision,
        expiry=expiry,
        era=era,
    )


def _get_key_id(key):
    return key.key_id
