"""Fixtures of the proofs: checkers, naive models and the in-process world."""
