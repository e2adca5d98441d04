"""Lookup of named actors in pykka's actor registry.

A name is unique within a scope, which is the name of an instance.  Several
instances may run in one process, as in tests; because of the scope they
never find each other's actors.
"""

import pykka


class ServiceMissing(LookupError):
    """No actor with this name is running.

    Keep the class name: the ``/ready`` page reports it as ``problem``.
    """


def make_urn(scope, name):
    """Return the key of a named actor in the actor registry."""
    return f'cornelgap:{scope}:{name}'


def set_actor_name(actor, scope, name):
    """Set the registry key of an actor.

    Call this in the actor's constructor, after the constructor of
    :class:`pykka.Actor`, which has set a random key for the actor and its
    reference.
    """
    actor.actor_urn = make_urn(scope, name)
    actor.actor_ref.actor_urn = actor.actor_urn


def find_actor(scope, name):
    """Find a running actor by its name.

    :returns: its :class:`pykka.ActorRef`, or None if there is none.
    """
    ref = pykka.ActorRegistry.get_by_urn(make_urn(scope, name))
    return ref if ref is not None and ref.is_alive() else None


def get_actor(scope, name):
    """Get a running actor by its name.

    :returns: its :class:`pykka.ActorRef`.
    :raises ServiceMissing: if there is none.
    """
    ref = find_actor(scope, name)
    if ref is None:
        raise ServiceMissing(name)
    return ref


def tell_if_alive(ref, message):
    """Send a message to an actor unless it has stopped.

    While a process stops, its threads and event loop outlive the actors to
    which they report; what they report by then is no longer needed.

    :returns: whether the message was put into the actor's inbox.
    """
    try:
        ref.tell(message)
    except pykka.ActorDeadError:
        return False
    return True


def tell_actor(scope, name, message):
    """Send a message to a named actor if it is running.

    :returns: whether the message was put into the actor's inbox.
    """
    ref = find_actor(scope, name)
    return ref is not None and tell_if_alive(ref, message)
