"""The entry instance: the process that callers' packets reach."""
