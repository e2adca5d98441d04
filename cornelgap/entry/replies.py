"""Replies to callers: built, renewed with a token when due, and queued."""

from cornelgap.core import messages as msg
from cornelgap.core.calls import SendCaller
from cornelgap.core.token import (
    Token,
    mint_token,
    pick_signing_key,
    read_unverified_flow_id,
)
from cornelgap.core.verdicts import report_unknown
from cornelgap.entry.state import count_event, split_key
from cornelgap.wire.caller_codec import encode_message

RENEW_SHARE = 0.5
"""A token is renewed once less than this share of its life is left."""


def send_message(state, address, message):
    """Queue a message to a caller's address."""
    state.effects.append(SendCaller(address, encode_message(message)))


def mint_flow_token(state, now, flow):
    """Mint a token that names this process as the home of a flow.

    The flow's state is kept at least until this token has expired, since
    an old copy of a request could otherwise meet an empty window.

    :returns: bytes, empty if no key signs.
    """
    key = pick_signing_key(state.cfg.keys)
    if key is None:
        return b''
    service = state.cfg.services.get(flow.service)
    life = service.token_s if service else 0
    flow_id, epoch = split_key(flow.key)
    expiry = int(now) + life
    flow.expiry = max(flow.expiry, expiry)
    flow.renew = False
    return mint_token(
        key,
        Token(
            flow=flow_id,
            epoch=epoch,
            service=flow.service,
            target=flow.target,
            home=state.name,
            boot=state.boot,
            revision=state.cfg.revision,
            expiry=expiry,
            era=state.cfg.era,
        ),
    )


def take_renewal(state, now, flow):
    """Mint a new token if one is due, else give nothing."""
    if not flow.renew:
        return b''
    return mint_flow_token(state, now, flow)


def note_expiry(state, now, flow, expiry):
    """Have the next reply carry a new token if the caller's grows old."""
    service = state.cfg.services.get(flow.service)
    if service and expiry - now < service.token_s * RENEW_SHARE:
        flow.renew = True


def send_report(state, now, flow, number, verdict):
    """Send a verdict about a request id."""
    flow_id, epoch = split_key(flow.key)
    count_event(state, f'verdict_{verdict.ran.name.lower()}')
    send_message(
        state,
        flow.address,
        msg.VerdictReport(
            flow_id, epoch, number, verdict, take_renewal(state, now, flow)
        ),
    )


def send_progress(state, now, flow, number, position=0, retry_after_ms=0):
    """Say that a request or feed is known and goes on."""
    flow_id, epoch = split_key(flow.key)
    send_message(
        state,
        flow.address,
        msg.Progress(
            flow_id,
            epoch,
            number,
            position,
            retry_after_ms,
            take_renewal(state, now, flow),
        ),
    )


def refuse_datagram(state, address, message, size, code, retry_after_ms=0):
    """Refuse a datagram without touching any request's fate.

    Whoever is not the home can never say "not run": a copy may have come
    to the home by another entry instance.  The verdict is therefore always
    "unknown, send the same id".  The answer is never larger than the
    datagram, so a forged sender address gains nothing.
    """
    count_event(state, f'refused_{code}')
    refused = msg.Refused(
        service=message.service,
        nonce=getattr(message, 'nonce', 0),
        flow=read_unverified_flow_id(getattr(message, 'token', b'')),
        number=getattr(message, 'number', 0),
        verdict=report_unknown(str(code), retry_after_ms),
    )
    datagram = encode_message(refused)
    if len(datagram) <= size:
        state.effects.append(SendCaller(address, datagram))
