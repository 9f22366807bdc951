"""Measures how the relay's costs grow with the size of the fleet, and simulates events on large fleets.

A "hollow" relay is the real decision module in simulated time, without sockets.
"""
