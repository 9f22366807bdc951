"""Starts the relay as the platform does, or runs the product's command line if there are arguments."""

import sys

from loftroute import config
from loftroute.config_section import ConfigError
from loftroute.relay import lifecycle


def main() -> int:
    """Run the relay or a command; return the exit status, 2 for an invalid configuration."""
    if len(sys.argv) > 1:  # imported only here: without arguments, none of the product's modules is loaded
        from loftroute.cli.main import main as command

        return command()
    try:
        settings = config.load()
        lifecycle.log_to_stderr()
        relay = lifecycle.Relay(settings)
    except (ConfigError, OSError) as problem:
        print(f"loftroute: {problem}", file=sys.stderr)
        return 2
    relay.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
