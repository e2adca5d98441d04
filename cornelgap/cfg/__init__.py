"""The configuration folder: loading, checking, comparing, publishing."""
