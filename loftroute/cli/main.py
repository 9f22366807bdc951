"""Root of the command line.

Exit status: 0 on success, 1 when a command found a problem, 2 for a usage, settings or I/O error.
"""

import sys

import click

from loftroute import config
from loftroute.cli.pair import pair
from loftroute.cli.store import store
from loftroute.config_section import ConfigError
from loftroute.settings.reading import SettingsError, load
from loftroute.store.records import StoreError


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def root() -> None:
    """Request router and release judge."""


@root.command()
@click.option(
    "--settings", "path", required=True, type=click.Path(), help="Product settings file (textproto)."
)
def run(path: str) -> None:
    """Run a relay, configured by RELAY_CONFIG and the product settings."""
    from loftroute.pair.attach import attach as attach_pair
    from loftroute.recall.attach import attach
    from loftroute.relay import lifecycle

    product = load(path)
    lifecycle.log_to_stderr(product.message.log.level or "INFO", product.message.log.json)
    relay = lifecycle.Relay(config.load())
    attach_pair(relay, product, *attach(relay, product))
    relay.run()


@root.command()
@click.argument("path", type=click.Path())
def check_settings(path: str) -> None:
    """Validate a settings file and list the features that it enables."""
    product = load(path)
    enabled = [
        name
        for name, is_enabled in (
            ("store", product.store_on),
            ("recall", product.recall_on),
            ("vrrp", product.vrrp_on),
            ("pair", product.pair_on),
            ("witness", bool(product.message.witness.listen)),
        )
        if is_enabled
    ]
    click.echo(f"{path}: valid; enabled: {', '.join(enabled) or 'nothing'}")


@root.command()
@click.option(
    "--settings", "path", required=True, type=click.Path(), help="Settings file with a `witness` section."
)
def witness(path: str) -> None:
    """Run the witness of a pair of relays."""
    from loftroute.pair.attach import run_witness
    from loftroute.relay import lifecycle

    product = load(path)
    lifecycle.log_to_stderr(product.message.log.level or "INFO", product.message.log.json)
    run_witness(product)


root.add_command(store)
root.add_command(pair)


def main() -> int:
    """Run a command and return its exit status; an error is printed as one line on standard error."""
    try:
        root.main(prog_name="loftroute", standalone_mode=False)
    except click.ClickException as problem:
        problem.show()
        return 2
    except click.Abort:
        return 2
    except (SettingsError, ConfigError, StoreError, OSError) as problem:
        print(f"loftroute: {problem}", file=sys.stderr)
        return 2
    except SystemExit as end:
        return int(end.code or 0)
    return 0
