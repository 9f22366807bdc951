"""Command line interface: `python -m loftroute COMMAND`."""
