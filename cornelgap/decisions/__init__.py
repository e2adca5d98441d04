"""Load balancing and overload decisions, without I/O, clocks or threads."""
