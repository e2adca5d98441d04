"""Services find each other by name over pykka's registry.

A name is unique within a scope, the name of the instance that the process
runs.  Several instances may run in one process, as tests do, and never find
each other's services.
"""

import pykka


class ServiceMissing(LookupError):
    """No service of this name runs."""


def make_urn(scope, name):
    """Make the registry's key of a service."""
    return f'cornelgap:{scope}:{name}'


def claim_name(actor, scope, name):
    """Give an actor its name; called in its constructor, after the base's.

    The library makes the actor's reference together with a random name.
    """
    actor.actor_urn = make_urn(scope, name)
    actor.actor_ref.actor_urn = actor.actor_urn


def find_service(scope, name):
    """Find a running service.

    :returns: its :class:`pykka.ActorRef`, or None.
    """
    ref = pykka.ActorRegistry.get_by_urn(make_urn(scope, name))
    return ref if ref is not None and ref.is_alive() else None


def get_service(scope, name):
    """Get a running service.

    :raises ServiceMissing: if there is none.
    """
    ref = find_service(scope, name)
    if ref is None:
        raise ServiceMissing(name)
    return ref


def tell_ref(ref, message):
    """Tell an actor something, if it still runs.

    During a stop, threads and the loop outlive the actors that they serve;
    what they still report is of no use to anybody.

    :returns: whether the message went into an inbox.
    """
    try:
        ref.tell(message)
    except pykka.ActorDeadError:
        return False
    return True


def tell_service(scope, name, message):
    """Tell a service something, if it runs.

    :returns: whether it does.
    """
    ref = find_service(scope, name)
    return ref is not None and tell_ref(ref, message)
