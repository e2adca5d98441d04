"""Delete the parts that past revisions have left behind in the platform."""

from cornelgap.cfg.reading import PART_PREFIX, name_part, read_root_object
from cornelgap.core.errors import CodedError

# How many revisions an unused part outlives its last use at least.
KEPT_REVISIONS = 50


def prune_parts(store):
    """Delete parts that no recent revision uses.

    Each change leaves a few parts behind, some 14 MB a day at 1,600
    changes; without pruning the platform would fill within months.

    :param store: the platform's store.
    :return: how many were deleted; what fails is left to the next time.
    """
    deleted = 0
    try:
        found, root = read_root_object(store)
        for item in list_unused(store, root):
            # A restored root may name what the lost ones had left behind.
            deleted += store.delete(item.name, item.version, found.era)
    except CodedError:
        return deleted
    return deleted


def list_unused(store, root):
    """List old parts that a root does not name, values left out.

    A later root names a part that this one names, or new ones of higher
    revisions; so whatever is listed here stays unused for good.

    :param store: the platform's store.
    :param root: wire Root.
    """
    used = {name_part(ref.digest, ref.revision) for ref in root.parts}
    limit = name_part(b'', max(0, root.revision - KEPT_REVISIONS))
    return [
        item
        for item in store.list(PART_PREFIX, names_only=True)
        if item.name < limit and item.name not in used
    ]
