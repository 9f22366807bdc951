"""Stand-ins, faults and experiments. Nothing of the product imports it."""
