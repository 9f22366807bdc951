"""Bytes into interface types and back; no input or output here."""

import json
from collections.abc import Mapping
from math import isfinite
from typing import Any, NoReturn

WHOLE_LIMIT = 1 << 53  # a whole number in JSON


class ProtocolError(Exception):
    """What a peer sent is not what the protocol allows."""


class IncompleteMessageError(Exception):
    """The message is not whole yet; `total` is how many bytes from its start are needed at the least."""

    def __init__(self, total: int) -> None:
        super().__init__(total)
        self.total_bytes = total


def parse_json(text: bytes) -> Any:
    """What a JSON text holds; numbers that JSON does not know are none."""
    try:
        return json.loads(text, parse_constant=_no_number)
    except (ValueError, RecursionError) as problem:
        raise ProtocolError(f"not JSON: {problem}") from problem


def read_integer(raw: Mapping[str, Any], key: str, default: int | None = None) -> int:
    """A whole number, not below 0; an absent or null key gets the default."""
    value = raw.get(key)
    value = default if value is None else value
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= WHOLE_LIMIT:
        raise ValueError(f"{key}: a whole number wanted")
    return value


def read_number(raw: Mapping[str, Any], key: str, default: float | None = None) -> float:
    """A finite number, not below 0."""
    value = raw.get(key)
    value = default if value is None else value
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise ValueError(f"{key}: a number wanted")
    return float(value)


def _no_number(name: str) -> NoReturn:
    raise ValueError(f"not a number: {name}")
