"""A randomized soak: the real programs under faults from outside, checked by what callers see."""
