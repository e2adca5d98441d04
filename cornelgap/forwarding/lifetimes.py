"""Which lifetimes of targets have ended, by two views of the directory."""


def list_reborn(before, view):
    """Return the cookies of targets that have started again.

    A target may come back under its name, and holds nothing of before.
    Judged by its last lifetime it would be avoided for seconds, or look
    full.  Clocks differ, so another time of its start says enough.

    :param before: the view that was in use until now.
    """
    return [
        cookie
        for cookie, target in view.by_cookie.items()
        if target is not None and is_reborn(before.find(cookie), target)
    ]


def is_reborn(before, target):
    """Say whether a target is another lifetime than one known before.

    :param before: the target known before by its cookie, or None.
    """
    if before is None or before.identity != target.identity:
        return False
    return before.born != target.born


def is_gone(view, cookie):
    """Say whether a target that is not in the directory has surely ended.

    An instance that is new or behind does not know targets that others
    know.  A reset would break an open flow, a guess would break two.
    """
    return cookie in view.gone
