"""Starts the platform's relay, or runs a command where one is given."""

import sys

from loftroute import config
from loftroute.relay import lifecycle


def main() -> int:
    if len(sys.argv) > 1:  # the product's command line; the platform's relay imports nothing of it
        from loftroute.cli.main import main as command

        return command()
    try:
        settings = config.load()
        lifecycle.log_to_stderr()
        relay = lifecycle.Relay(settings)
    except (config.ConfigError, OSError) as problem:
        print(f"loftroute: {problem}", file=sys.stderr)
        return 2
    relay.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
