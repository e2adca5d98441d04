"""Measurements and the test command's verdict."""
