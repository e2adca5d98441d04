"""Check, apply and watch the configuration of a cornelgap system."""
