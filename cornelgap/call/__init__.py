"""The caller library and its command."""
