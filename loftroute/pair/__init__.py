"""Two relays with one memory of what must not run twice, and who may go on alone."""
