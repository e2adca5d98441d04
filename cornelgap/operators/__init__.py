"""What operators use: the command line over library functions."""
