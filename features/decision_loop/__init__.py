"""A small event loop that feeds the decision modules with seeded arrivals.

A test fixture, not a cluster simulator: targets are slots with a short
queue, entries are the decision modules and nothing else, and the network
is one constant delay.  The features and bench/decisions.py share it.
"""
