"""Runtime of the actors: lookup, inboxes, supervision, logs, metrics, TLS."""
