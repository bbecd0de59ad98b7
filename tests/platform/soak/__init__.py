"""A randomized soak test of real gateway processes under injected faults."""
