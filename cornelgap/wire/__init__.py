"""Codecs between typed messages and bytes; generated modules live here."""
