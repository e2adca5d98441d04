"""The configuration as bytes: content-addressed parts below one root.

The platform's values end at one megabyte and each entry instance may use a
few kilobytes a second, so a change must not rewrite the whole: services
fall into parts by the hash of their names, and a change rewrites the parts
that it touches and the root that names them.  A bundle is a root with its
parts, which one entry instance can hand to another.
"""

import hashlib

from google.protobuf.message import DecodeError

from cornelgap.cfg.findings import CfgFinding
from cornelgap.core import settings
from cornelgap.core.errors import Code
from cornelgap.wire import document_pb2 as wire

FORMAT = 1
MAX_VALUE_BYTES = 1000000
"""Longest value that the platform takes, in bytes."""

_DIGEST_BYTES = 16
# About 150 bytes a service with two targets (bench.cfg_size): parts of 5 to
# 10 KB, so that a change writes little, and 2,300 services make 64 parts.
_SERVICES_A_PART = 64


def digest(value):
    """Address a value by its content.

    :param value: bytes.
    :return: 16 bytes.
    """
    return hashlib.blake2b(value, digest_size=_DIGEST_BYTES).digest()


def encode_parts(cfg):
    """Cut a configuration into parts.

    Equal configurations give equal parts, byte for byte.

    :param cfg: the Cfg.
    :return: parts as bytes by digest, in the root's order.
    """
    count = 1
    while count * _SERVICES_A_PART < len(cfg.services):
        count *= 2
    parts = [wire.Part() for _ in range(count)]
    for name in sorted(cfg.services):
        bucket = int.from_bytes(digest(name.encode()), 'big') % count
        parts[bucket].services.append(_encode_service(cfg.services[name]))
    keys = wire.Part()
    for key_id in sorted(cfg.keys):
        key = cfg.keys[key_id]
        keys.keys.append(
            wire.KeyRecord(
                key_id=key.key_id, secret=key.secret, stage=key.stage
            )
        )
    values = [_serialize(part) for part in (*parts, keys) if part.ByteSize()]
    return {digest(value): value for value in values}


def encode_root(cfg, parts, entries=(), segment=b''):
    """Encode the root that names the parts.

    :param cfg: the Cfg, whose revision the root states.
    :param parts: revision that first wrote each part, by digest, in order.
    :param entries: newest audit entries as bytes, oldest first.
    :param segment: digest of the newest audit segment.
    """
    return seal_root(
        wire.Root(
            format=FORMAT,
            revision=cfg.revision,
            parts=[
                wire.PartRef(digest=address, revision=revision)
                for address, revision in parts.items()
            ],
            draining_instances=sorted(cfg.draining_instances),
            entries=entries,
            segment=segment,
        )
    )


def seal_root(root):
    """Encode a root with a digest by which damage shows.

    :param root: wire Root.
    """
    body = _serialize(root)
    return _serialize(wire.SealedRoot(body=body, digest=digest(body)))


def join_bundle(root, parts):
    """Join a root and parts to one value.

    :param root: root as bytes.
    :param parts: parts as bytes, in the root's order.
    """
    return _serialize(wire.Bundle(root=root, parts=parts))


def encode_bundle(cfg, entries=(), segment=b''):
    """Encode a configuration as one self-contained value.

    :param cfg: the Cfg.
    :param entries: newest audit entries as bytes, oldest first.
    :param segment: digest of the newest audit segment.
    """
    parts = encode_parts(cfg)
    root = encode_root(
        cfg, dict.fromkeys(parts, cfg.revision), entries, segment
    )
    return join_bundle(root, parts.values())


def decode_bundle(data, era=0):
    """Decode a bundle and check that nothing in it is missing or altered.

    :param data: what :func:`encode_bundle` or :func:`complete_bundle` gave.
    :param era: era of the platform's store in which it was read.
    :return: the Cfg, or None if anything is wrong; and findings.
    """
    try:
        bundle = wire.Bundle.FromString(data)
        root, findings = read_root(bundle.root)
        if findings:
            return None, findings
        return _build_cfg(root, bundle.parts, era)
    except (DecodeError, ValueError) as exc:
        return None, [_report_corrupt(f'cannot be decoded: {exc}')]


def list_parts(data):
    """List a bundle's parts.

    :param data: a bundle.
    :return: parts as bytes by digest; empty if it cannot be decoded.
    """
    try:
        parts = wire.Bundle.FromString(data).parts
    except DecodeError:
        return {}
    return {digest(part): part for part in parts}


def trim_bundle(data, known):
    """Leave out the parts that the receiver has, to save control traffic.

    :param data: a bundle.
    :param known: digests of parts that the receiver has.
    """
    bundle = wire.Bundle.FromString(data)
    parts = [part for part in bundle.parts if digest(part) not in known]
    return join_bundle(bundle.root, parts)


def complete_bundle(data, older):
    """Put back the parts that :func:`trim_bundle` left out.

    :param data: a trimmed bundle.
    :param older: the receiver's own bundle, which has the other parts.
    :return: a whole bundle; one that lacks parts fails to decode.
    """
    try:
        bundle = wire.Bundle.FromString(data)
    except DecodeError:
        return data
    root, findings = read_root(bundle.root)
    if findings:
        return data
    have = list_parts(older) | list_parts(data)
    parts = [have[ref.digest] for ref in root.parts if ref.digest in have]
    return join_bundle(bundle.root, parts)


def read_root(data):
    """Decode a root object.

    :return: the wire Root, or None if anything is wrong; and findings.
    """
    try:
        sealed = wire.SealedRoot.FromString(data)
        root = wire.Root.FromString(sealed.body)
    except DecodeError:
        return None, [_report_corrupt('the root cannot be decoded')]
    if digest(sealed.body) != sealed.digest:
        return None, [_report_corrupt('the root is damaged')]
    if root.format != FORMAT:
        return None, [_report_corrupt(f'unknown format {root.format}')]
    return root, []


def _serialize(message):
    return message.SerializeToString(deterministic=True)


def _report_corrupt(text):
    return CfgFinding(Code.PLT_CORRUPT, text)


def _encode_service(service):
    return wire.ServiceRecord(
        name=service.name,
        address=service.address,
        imbalance_weight=service.imbalance_weight,
        deadline_ms=service.deadline_ms,
        queue_limit=service.queue_limit,
        long_share=service.long_share,
        token_s=service.token_s,
        targets=[
            wire.TargetRecord(
                name=target.name,
                address=target.address,
                zone=target.zone,
                slots=target.slots,
                conns=target.conns,
                mode=target.mode,
            )
            for _, target in sorted(service.targets.items())
        ],
    )


def _build_cfg(root, parts, era):
    # A part that was altered or is missing would drop services silently;
    # callers would hear that their service does not exist.
    if [digest(part) for part in parts] != [ref.digest for ref in root.parts]:
        return None, [_report_corrupt('parts are missing or altered')]
    services = {}
    keys = {}
    for part in map(wire.Part.FromString, parts):
        for record in part.services:
            services[record.name] = _decode_service(record)
        for key in part.keys:
            keys[key.key_id] = settings.KeyCfg(
                key.key_id, key.secret, settings.KeyStage(key.stage)
            )
    cfg = settings.Cfg(
        revision=root.revision,
        services=services,
        keys=keys,
        draining_instances=frozenset(root.draining_instances),
        era=era,
    )
    return cfg, []


def _decode_service(record):
    return settings.ServiceCfg(
        name=record.name,
        address=record.address,
        targets={
            target.name: settings.TargetCfg(
                name=target.name,
                address=target.address,
                zone=target.zone,
                slots=target.slots,
                conns=target.conns,
                mode=settings.TargetMode(target.mode),
            )
            for target in record.targets
        },
        imbalance_weight=record.imbalance_weight,
        deadline_ms=record.deadline_ms,
        queue_limit=record.queue_limit,
        long_share=record.long_share,
        token_s=record.token_s,
    )
