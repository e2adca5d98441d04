"""The micro-kernel: named services and inboxes that also hold sockets."""
