"""`loftroute pair …`: ask a relay of a pair how it stands, and order it."""

import json
import secrets
import socket

import click
import msgpack

from loftroute.pair import wire
from loftroute.protocol import IncompleteMessageError, ProtocolError
from loftroute.settings.reading import SettingsError, load
from loftroute.vrrp.keyring import KeyFileError, read_keys

OPERATOR = "operator"  # the name that the command line greets with
TIMEOUT = 10.0  # seconds for the relay to answer

option = click.option(
    "--settings", "path", required=True, type=click.Path(), help="The relay's own settings."
)


@click.group()
def pair() -> None:
    """Two relays that hold one address and one memory."""


def _ask(path: str, message: object) -> str:
    """One question to the relay that the settings are of."""
    product = load(path)
    if not product.pair_on:
        raise SettingsError(f"{path}: pair: missing")
    host, _, port = product.message.pair.listen.rpartition(":")
    try:
        keys = read_keys(product.message.pair.key_file)
    except KeyFileError as problem:
        raise SettingsError(f"{path}: pair.key_file: {problem}") from problem
    handshake = wire.Handshake(OPERATOR, secrets.token_bytes(wire.NONCE_SIZE), keys)
    try:
        with socket.create_connection((host, int(port)), timeout=TIMEOUT) as sock:
            answer = _exchange(sock, handshake, message)
    except ProtocolError as problem:
        raise click.ClickException(str(problem)) from problem
    if not isinstance(answer, wire.Report):
        raise click.ClickException("the relay said something else")
    return answer.text


def _exchange(sock: socket.socket, handshake: wire.Handshake, message: object) -> object:
    """Greet, send one message and receive its answer; raises `ProtocolError` or `OSError`."""
    data = bytearray()
    sock.sendall(handshake.greeting.pack())
    session = handshake.complete(_frame(sock, data))
    sock.sendall(session.outward.seal(message))
    return session.inward.open(_frame(sock, data))


def _frame(sock: socket.socket, data: bytearray) -> bytes:
    while True:
        try:
            raw, at = wire.parse_frame(data, 0, len(data))
            del data[:at]
            return raw
        except IncompleteMessageError:
            more = sock.recv(65536)
            if not more:
                raise ProtocolError("the relay closed the connection") from None
            data += more


@pair.command()
@option
@click.option("--json", "as_json", is_flag=True, help="For a program to read.")
def status(path: str, as_json: bool) -> None:
    """How the relay stands: mode, epoch, virtual routers."""
    found = msgpack.unpackb(bytes.fromhex(_ask(path, wire.StatusRequest())))
    if as_json:
        click.echo(json.dumps(found))
        return
    for name, value in found.items():
        if name != "routers":
            click.echo(f"{name:10} {value}")
    for router in found["routers"]:
        fails = f", fails: {', '.join(router['failed'])}" if router["failed"] else ""
        place = f"{router['state']}, priority {router['priority']}, active {router['active'] or '-'}"
        click.echo(f"vrid {router['vrid']:<5} {place}{fails}")


@pair.command()
@option
def promote(path: str) -> None:
    """Order the relay to go on alone, since the other is lost. Refused (status 1) while the other is
    heard."""
    answer = _ask(path, wire.PromoteRequest())
    click.echo(answer)
    if not answer.startswith("alone"):
        raise SystemExit(1)


@pair.command()
@option
def failback(path: str) -> None:
    """Have the Active hand its addresses on (priority 0); what it has taken it still answers."""
    click.echo(_ask(path, wire.FailbackRequest()))
