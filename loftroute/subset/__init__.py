"""Subset of a large list of units that one relay uses: bounded and stable (`docs/design/subset.md`)."""
