"""Read the configuration in force, and what came before it."""

from cornelgap.cfg import audit, document
from cornelgap.cfg.findings import CfgFinding
from cornelgap.cfg.store import Versioned
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import Cfg
from cornelgap.wire import document_pb2 as wire

ROOT_NAME = 'cfg/root'
PART_PREFIX = 'cfg/part/'


def name_part(address, revision):
    """Name a part's object.

    The revision in it makes each name usable once: a part that was pruned
    comes back under another name, so that a pruner which was paused for
    long cannot delete what is in force again.

    :param address: the part's digest.
    :param revision: revision that first wrote it.
    """
    return f'{PART_PREFIX}{revision:012d}-{address.hex()}'


def read_root(store):
    """Read the root in force.

    :param store: the platform's store.
    :return: version of the object, and the wire Root; version 0 and an
        empty Root if nothing was published yet.
    :raises CodedError: ``PLT_DOWN`` or ``PLT_CORRUPT``.
    """
    found, root = read_root_object(store)
    return found.version, root


def read_root_object(store):
    """Read the root in force along with the object that holds it.

    :param store: the platform's store.
    :return: :class:`cornelgap.cfg.store.Versioned` and the wire Root;
        version 0 and an empty Root if nothing was published yet.
    :raises CodedError: ``PLT_DOWN`` or ``PLT_CORRUPT``.
    """
    found = store.get(ROOT_NAME)
    if found is None:
        return Versioned(0, b''), wire.Root(format=document.FORMAT)
    root, findings = document.read_root(found.value)
    if findings:
        raise CodedError(Code.PLT_CORRUPT, findings[0].text, ROOT_NAME)
    return found, root


def read_current(store, known=b''):
    """Read the configuration in force.

    :param store: the platform's store.
    :param known: a bundle read earlier; parts in it are not read again.
    :return: the Cfg, its bundle and findings.  The Cfg is None if anything
        is wrong; it has revision 0 and an empty bundle if nothing was
        published yet.
    """
    try:
        bundle, era = _read_bundle(store, known)
    except CodedError as exc:
        return None, b'', [CfgFinding(exc.code, exc.text, file=exc.place)]
    if not bundle:
        return Cfg(), b'', []
    cfg, findings = document.decode_bundle(bundle, era)
    return cfg, bundle, findings


def _read_bundle(store, known):
    """Read the root and its parts, anew if the root changed in between.

    Old parts are pruned, so a slow reader of an old root may find one gone;
    taken for damage, that would raise a false alarm.
    """
    before = None
    while True:
        found = store.get(ROOT_NAME)
        if found is None:
            return b'', 0
        try:
            return _fetch_bundle(store, found.value, known), found.era
        except CodedError:
            if found == before:
                raise
        before = found


def _fetch_bundle(store, data, known):
    root, findings = document.read_root(data)
    if findings:
        raise CodedError(Code.PLT_CORRUPT, findings[0].text, ROOT_NAME)
    have = document.list_parts(known)
    for ref in root.parts:
        if ref.digest in have:
            continue
        name = name_part(ref.digest, ref.revision)
        part = store.get(name)
        if part is None:
            raise CodedError(Code.PLT_CORRUPT, 'the part is missing', name)
        have[ref.digest] = part.value
    parts = [have[ref.digest] for ref in root.parts]
    return document.join_bundle(data, parts)


def read_base(store, root):
    """Read the configuration that a root names.

    :param store: the platform's store.
    :param root: wire Root.
    :return: the Cfg, its bundle and findings.
    """
    if not root.revision:
        return Cfg(), b'', []
    bundle = _fetch_bundle(store, document.seal_root(root), b'')
    cfg, findings = document.decode_bundle(bundle)
    return cfg, bundle, findings


def list_since(store, root, revision):
    """List the audit entries after a revision, newest first.

    :param store: the platform's store.
    :param root: wire Root in force.
    :param revision: entries up to this one are left out.
    :raises CodedError: ``OPS_AUDIT_BROKEN`` if the trail is broken before.
    """
    findings = []
    entries = []
    for record in audit.walk_trail(store, root, findings):
        if record.revision <= revision:
            return entries
        entries.append(record)
    if findings:
        raise CodedError(Code.OPS_AUDIT_BROKEN, findings[0].text)
    return entries
