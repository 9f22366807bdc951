"""Measures how the relay's costs grow with the fleet, and plays events of a large fleet in simulated time."""
