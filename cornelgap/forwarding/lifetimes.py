"""Detection of restarted and ended targets in two views of the directory.

A lifetime of a target lasts from a start of it to its end.
"""


def list_restarted(before, view):
    """Return the cookies of targets that have restarted.

    A target may restart under its old name, and has lost all flows and
    requests of before.  If what is known of its previous lifetime still
    counted, it would be avoided for seconds or look full.  The clocks of
    targets differ, so any other start time counts as a restart, an earlier
    one too.

    :param before: the view that was in use until now.
    :param view: the view that replaces it.
    """
    return [
        cookie
        for cookie, target in view.by_cookie.items()
        if target is not None and has_restarted(before.find(cookie), target)
    ]


def has_restarted(before, target):
    """Say whether a target has restarted since it was last known.

    :param before: the target of the same cookie in the previous view, or
        None.
    :param target: the target in the new view.
    """
    if before is None or before.identity != target.identity:
        return False
    return before.born != target.born


def is_gone(view, cookie):
    """Say whether a target that is not in the directory is known to be gone.

    An instance that is new or behind lacks targets that others know, so a
    missing entry alone proves nothing.  To reset a flow whose target still
    runs would break an open flow; to forward its packets to a guessed target
    would break two flows.
    """
    return cookie in view.gone_by_cookie
