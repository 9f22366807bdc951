"""The durable store: an append-only log of checksummed records, and a keyed state on top of it."""
