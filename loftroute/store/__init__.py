"""The durable store: an append-only log of checksummed records with a keyed state above it."""
