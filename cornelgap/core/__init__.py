"""Plain data and pure functions that every other part builds on."""
