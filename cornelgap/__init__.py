"""cornelgap: a layer-4 load balancer that refuses openly, never guesses."""
