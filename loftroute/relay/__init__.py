"""The relay: actors for clients, units, discovery, the platform and the decision module."""
