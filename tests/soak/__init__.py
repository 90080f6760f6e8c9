"""Randomized soak test: host processes, injected faults and checked guarantees."""
