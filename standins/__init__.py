"""Small stand-ins for the outside: platform, fabric and targets."""
