"""Entry point of `python -m loftroute.lab.scale`; see `command.py`."""

from loftroute.lab.scale.command import main

if __name__ == "__main__":
    main()
