"""The commands Q.ASK and Q.DO of clients, and the answers of units.

A command is a RESP2 array of the verb, the key, the id, a comma-separated list of `name=value` fields and
optionally a body. The fields are `c` (request class), `t` (tenant), `d` (milliseconds until the deadline),
and optionally `k` (passed on unread), `r` (`1` for a retry) and `h` (hint of the cost in microseconds). All
times in this module are nanoseconds.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import isfinite

from loftroute.decision import interface as i
from loftroute.digest import hex_digest
from loftroute.protocol import ProtocolError, resp

ID_DIGITS = "0123456789abcdef"
DIGITS_LIMIT = 9  # digits of a time in a request
MS, US = 1_000_000, 1_000  # nanoseconds


# The usual form of a request without its body. Requests in any other form are parsed argument by argument.
USUAL_REQUEST = re.compile(
    rb"\*[45]\r\n\$[45]\r\n(Q\.ASK|Q\.DO)\r\n\$(\d{1,5})\r\n([!-~]+)\r\n\$16\r\n([0-9a-f]{16})\r\n"
    rb"(\$\d{1,5}\r\n(c=([!-+\--~]+),t=([!-+\--~]+),)d=(\d{1,9})((?:,[krh]=[!-+\--~]+)*)\r\n)"
)

# Longest request, without its body, that is matched with that expression. To match a part of a longer one
# costs milliseconds, again with each piece that arrives.
HEAD_LIMIT = 1024

# Most fields in the list of a request or a load report; to split a list of 64 KiB costs milliseconds.
FIELDS_LIMIT = 64

# Longest key that the decision module gets as it is; it gets a digest of a longer one.
NAME_LIMIT = 64

# An error reply of a unit: BUSY means that the request never ran, any other word that it failed. Text of any
# other form leaves open whether it ran.
ERROR_TEXT = re.compile(r"(?P<busy>BUSY)(?: \d{1,9})?|[A-Z]+(?: [ -~]*)?")


class BadRequestError(ProtocolError):
    """The command is well framed but has an invalid field; the client gets an error and stays connected."""


@dataclass(slots=True)
class RequestNames:
    """The numbers that the decision module uses for names on the wire.

    Attributes:
        classes: number of each request class by name.
        tenants: number of each tenant by name; empty if there are no tenants.
        effects: effect of each request class by its number.
        class_bytes: `classes` with encoded names.
        tenant_bytes: `tenants` with encoded names.
        verbs: the verb of each request class by its number.
    """

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    effects: tuple[i.Effect, ...]
    class_bytes: Mapping[bytes, int] = field(init=False)
    tenant_bytes: Mapping[bytes, int] = field(init=False)
    verbs: tuple[bytes, ...] = field(init=False)

    def __post_init__(self) -> None:
        self.class_bytes = {name.encode(): n for name, n in self.classes.items()}
        self.tenant_bytes = {name.encode(): n for name, n in self.tenants.items()}
        self.verbs = tuple(b"Q.ASK" if effect is i.Effect.SAFE else b"Q.DO" for effect in self.effects)


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client. What may be long are slices of the buffer that it was read into.

    Attributes:
        id: id of the request, 16 hexadecimal digits.
        raw_key: the key that the request is about, UTF-8.
        class_index: number of the request class.
        tenant: number of the tenant.
        time_left: time until the client's deadline when the request was sent.
        is_retry: whether the client says that it sent the request before.
        cost_hint: expected time of execution, if the client gave one.
        head: the raw command before the list of fields and its header.
        tail: the raw command after the list of fields.
        fields_before: the list of fields before `d`.
        fields_after: the list of fields after `d`.
    """

    id: str
    raw_key: bytes | memoryview
    class_index: int
    tenant: int
    time_left: int
    is_retry: bool
    cost_hint: int | None
    head: memoryview
    tail: memoryview
    fields_before: bytes | memoryview
    fields_after: bytes | memoryview

    @property
    def key(self) -> str:
        """The key as text."""
        return str(self.raw_key, "utf-8")

    def arrival_event(self, left: int) -> i.RequestArrived:
        """Return the event for the decision module; `left` is the time until the deadline.

        The module only compares keys, and remembers them beyond the request.
        """
        key = self.key if len(self.raw_key) <= NAME_LIMIT else hex_digest(self.raw_key, 32)
        return i.RequestArrived(
            self.id, key, self.tenant, self.class_index, self.cost_hint, left, self.is_retry, False
        )

    def encode_attempt(self, wait: int) -> list[resp.Piece]:
        """Return the command for a unit, which differs only in `d`: the time that the relay waits."""
        before, after, milliseconds = self.fields_before, self.fields_after, max(1, -(-wait // MS))
        if len(before) + len(after) <= HEAD_LIMIT:
            fields = b"%bd=%d%b" % (before, milliseconds, after)
            return [self.head, b"$%d\r\n%b\r\n" % (len(fields), fields), self.tail]
        time_field = b"d=%d" % milliseconds
        size = len(before) + len(time_field) + len(after)
        return [self.head, b"$%d\r\n" % size, before, time_field, after, b"\r\n", self.tail]


def parse_usual_request(
    data: bytes | bytearray, start: int, end: int, names: RequestNames
) -> tuple[ClientRequest, int] | None:
    """Parse a request of the usual form with one regular expression.

    Returns the request and the offset after it, or None if it is incomplete or of another form.
    """
    match = USUAL_REQUEST.match(data, start, min(end, start + HEAD_LIMIT))
    if match is None:
        return None
    verb, key_size, key, request_id, framed_fields, before, class_name, tenant_name, wait, after = (
        match.groups()
    )
    class_index, tenant = (
        names.class_bytes.get(class_name),
        names.tenant_bytes.get(tenant_name) if names.tenant_bytes else 0,
    )
    at = match.end()
    fields_size = len(before) + len(wait) + len(after) + 2
    if (
        class_index is None
        or tenant is None
        or len(key) != int(key_size)
        or wait.strip(b"0") == b""
        or (framed_fields[1 : framed_fields.index(b"\r")] != b"%d" % fields_size)
        or names.verbs[class_index] != verb
    ):
        return None
    # 53 is "5": a command of five arguments has a body
    if data[start + 1] == 53 and (at := _body(data, at, end)) < 0:
        return None
    options = dict.fromkeys("krh", b"")
    for pair in after.split(b",")[1:]:
        if options[letter := chr(pair[0])]:
            return None
        options[letter] = pair[2:]
    is_retry, hint = options["r"] == b"1", options["h"]
    if hint and not hint.isdigit():
        return None
    view, fields_at = memoryview(data), match.start(5)
    return ClientRequest(
        request_id.decode(),
        key,
        class_index,
        tenant,
        int(wait) * MS,
        is_retry,
        int(hint or 0) * US or None,
        view[start:fields_at],
        view[match.end() : at],
        before,
        after,
    ), at


def _body(data: bytes | bytearray, at: int, end: int) -> int:
    """Return the offset after the body at `at`, or -1 if it is incomplete or not of the usual form."""
    stop = data.find(b"\r\n", at, min(end, at + 8))
    digits = data[at + 1 : stop]
    if stop < 0 or data[at] != 36 or not digits.isdigit() or int(digits) > resp.VALUE_LIMIT:
        return -1
    after = stop + 4 + int(digits)
    return after if after <= end and data[after - 2 : after] == b"\r\n" else -1


def parse_request(command: resp.Command, names: RequestNames) -> ClientRequest:
    """Parse a request of any form; raise `BadRequestError` if a field is missing or invalid."""
    arguments = command.arguments
    if not 4 <= len(arguments) <= 5:
        raise BadRequestError("wrong number of words")
    request_id, listed = _text(arguments[2], "id"), _text(arguments[3], "list")
    if len(request_id) != 16 or request_id.strip(ID_DIGITS):
        raise BadRequestError("id: 16 hex digits wanted")
    values = _values(listed)
    class_index = _index(values, "c", names.classes)
    if (names.effects[class_index] is i.Effect.SAFE) != (arguments[0] == b"Q.ASK"):
        raise BadRequestError("c: the class does not go with the command")
    time_left = _integer(values, "d") * MS
    if time_left <= 0:
        raise BadRequestError("d: a time wanted")
    before, after = _around(arguments[3], b"d=%b" % values["d"].encode())
    _text(arguments[1], "key")
    raw, offsets = command.raw, command.offsets
    return ClientRequest(
        request_id,
        arguments[1],
        class_index,
        _index(values, "t", names.tenants) if names.tenants else 0,
        time_left,
        values.get("r") == "1",
        (_integer(values, "h") * US or None) if "h" in values else None,
        raw[: offsets[3]],
        raw[offsets[4] :] if len(arguments) == 5 else raw[:0],
        before,
        after,
    )


def _values(listed: str) -> dict[str, str]:
    """Parse a comma-separated list of `name=value`."""
    if listed.count(",") >= FIELDS_LIMIT:
        raise BadRequestError("list: too many fields")
    values = {}
    for pair in listed.split(","):
        name, sign, value = pair.partition("=")
        if not sign or name in values:
            raise BadRequestError("list: names and values wanted, each name once")
        values[name] = value
    return values


def _around(listed: memoryview, field: bytes) -> tuple[memoryview, memoryview]:
    """Return the list of fields before and after one of them."""
    text = bytes(listed)
    at = 0 if text.startswith(field) else text.index(b"," + field) + 1
    return listed[:at], listed[at + len(field) :]


def _text(argument: memoryview, what: str) -> str:
    """Decode an argument; `what` names it in the error."""
    try:
        return str(argument, "utf-8")
    except UnicodeDecodeError as problem:
        raise BadRequestError(f"{what}: not text") from problem


def _index(values: Mapping[str, str], field: str, numbers: Mapping[str, int]) -> int:
    """Return the index of the request class or tenant that a field names.

    Raises `BadRequestError` if the name is unknown.
    """
    number = numbers.get(values.get(field, ""))
    if number is None:
        raise BadRequestError(f"{field}: unknown")
    return number


def _integer(values: Mapping[str, str], field: str) -> int:
    """Return the non-negative integer in a field."""
    text = values.get(field, "")
    if not (text.isascii() and text.isdigit()) or len(text) > DIGITS_LIMIT:
        raise BadRequestError(f"{field}: a whole number wanted")
    return int(text)


@dataclass(slots=True, eq=False)
class AttemptResult:
    """The result of an attempt.

    Attributes:
        outcome: how the attempt ended.
        value: the value of a successful attempt, a slice of the buffer that it was read into.
        framed: the value with its RESP header and terminator, if it was received in that form.
        load: the unit's load report in the order of the settings, if it sent one.
    """

    outcome: i.Outcome
    value: memoryview | None = None
    framed: memoryview | None = None
    load: tuple[float, ...] | None = None


def parse_answer(value: resp.Value | resp.FramedValue, report: tuple[str, ...]) -> AttemptResult:
    """Return the result of an attempt from a unit's reply; `report` names the fields of the load report.

    Raises `ProtocolError` for any other reply.
    """
    if isinstance(value, resp.FramedValue):
        return AttemptResult(i.Outcome.OK, value.value, value.framed)
    if isinstance(value, list) and len(value) == 3 and isinstance(value[0], memoryview) and value[1] is None:
        return AttemptResult(i.Outcome.OK, value[0], None, _load(value[2], report))
    if isinstance(value, resp.ErrorReply) and (match := ERROR_TEXT.fullmatch(value.text)):
        return AttemptResult(i.Outcome.FULL if match["busy"] else i.Outcome.ERROR)
    raise ProtocolError("not a unit's answer")


def _load(value: resp.Value, report: tuple[str, ...]) -> tuple[float, ...] | None:
    """Parse a load report, a comma-separated list of `name=value`, in the order of `report`.

    Returns None if there is none, a field is missing, there are too many, or a number is negative or not
    finite.
    """
    if not isinstance(value, memoryview) or not report:
        return None
    try:
        parts = str(value, "utf-8").split(",", FIELDS_LIMIT)
        pairs = dict(part.strip().split("=", 1) for part in parts)
        load = tuple(float(pairs[name]) for name in report)
    except (ValueError, KeyError):
        return None
    if len(parts) > FIELDS_LIMIT:
        return None
    return load if all(isfinite(number) and number >= 0 for number in load) else None
