"""A randomized soak test: runs the real programs under injected faults and checks their answers."""
