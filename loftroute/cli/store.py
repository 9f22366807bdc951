"""`loftroute store …`: look into a store, make it small, copy it."""

import json
from dataclasses import asdict

import click

from loftroute.store import inspect

as_json = click.option("--json", "as_json", is_flag=True, help="For a program to read.")
folder = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@click.group()
def store() -> None:
    """The durable store in a folder."""


def _show(figures: dict[str, object], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(figures))
        return
    for name, value in figures.items():
        click.echo(f"{name.replace('_', ' '):20} {value}")


@store.command()
@folder
@as_json
def verify(folder: str, as_json: bool) -> None:
    """Read every byte, and hold the checkpoint against the log. Status 1 where something is wrong."""
    found = inspect.verify(folder, inspect.reading_limits())
    _show(asdict(found), as_json)
    if found.problems:
        raise SystemExit(1)


@store.command()
@folder
@click.option("--space", help="Only this space.")
@click.option("--most", default=100, show_default=True, help="Records to show.")
@as_json
def dump(folder: str, space: str | None, most: int, as_json: bool) -> None:
    """The records of the log, in order."""
    for record in inspect.dump(folder, inspect.reading_limits(), space, most):
        if as_json:
            click.echo(json.dumps(record))
        else:
            value = str(record["value"])
            click.echo(
                f"{record['seq']:>10} {record['file']}:{record['offset']} {record['kind']:6} "
                f"{record['space']}/{record['key']} {value[:60]}{'…' * (len(value) > 60)}"
            )


@store.command()
@folder
@as_json
def stats(folder: str, as_json: bool) -> None:
    """How much of what there is."""
    engine = inspect.open_read_only(folder, inspect.reading_limits())
    _show({**engine.figures(), "damage": engine.recovery.damage}, as_json)


@store.command()
@folder
@as_json
def compact(folder: str, as_json: bool) -> None:
    """Make the log as small as it goes. The store must not be in use."""
    _show(inspect.compact(folder, inspect.reading_limits()), as_json)


@store.command()
@folder
@click.argument("to", type=click.Path())
@as_json
def backup(folder: str, to: str, as_json: bool) -> None:
    """Copy a store as of one record number, also while a relay uses it."""
    _show(inspect.copy(folder, to, inspect.reading_limits()), as_json)


@store.command()
@click.argument("backup", type=click.Path(exists=True, file_okay=False))
@click.argument("to", type=click.Path())
@as_json
def restore(backup: str, to: str, as_json: bool) -> None:
    """Verify a backup and copy it to where a relay looks for its store."""
    _show(inspect.restore(backup, to, inspect.reading_limits()), as_json)
