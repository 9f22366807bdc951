"""Which units of a large list one relay uses: a bounded, stable subset (`docs/design/subset.md`)."""
