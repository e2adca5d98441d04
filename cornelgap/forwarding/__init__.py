"""Forwarding of packets to targets that answer their callers directly."""
