"""The users' platform: its names, formats and calls; nothing is decided here."""
