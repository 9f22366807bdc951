"""loftroute: a request router and release judge."""
