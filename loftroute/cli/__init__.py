"""The command line: `python -m loftroute COMMAND`."""
