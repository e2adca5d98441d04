"""Forwarded services: packets carried to targets that answer directly."""
