"""Seeded plays of clients that leave early, against a relay process, with a checker of the rules."""
