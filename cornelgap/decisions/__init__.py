"""Decisions under load: pure modules without network, clock or thread."""
