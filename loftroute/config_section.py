"""Checked access to the values of a JSON document. Errors name the full path of the key."""

from collections.abc import Mapping
from math import isfinite
from typing import Any

from loftroute.protocol import catalog
from loftroute.protocol.catalog import Address


class ConfigError(ValueError):
    """A configuration key is missing or has an invalid value."""


class Section:
    """A JSON object and its path in the document.

    The accessors return the default for a key that is absent or null. Without a default, or for a value of
    the wrong type, they raise `ConfigError`.
    """

    def __init__(self, raw: Any, path: str = "") -> None:
        if not isinstance(raw, Mapping):
            raise ConfigError(f"{path or 'configuration'}: an object wanted, found {preview(raw)}")
        self._raw, self._path = raw, path

    def path_of(self, key: str) -> str:
        """Return the full path of a key, for example "settings.services[0].aim"."""
        return f"{self._path}.{key}" if self._path else key

    def _invalid(self, key: str, wanted: str) -> ConfigError:
        """Return the error for a missing or invalid key; `wanted` describes a valid value."""
        if self._raw.get(key) is None:
            return ConfigError(f"{self.path_of(key)}: missing, {wanted} wanted")
        return ConfigError(f"{self.path_of(key)}: {wanted} wanted, found {preview(self._raw[key])}")

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        value = self._raw.get(key)
        value = default if value is None else value
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise self._invalid(key, "a finite number")
        return float(value)

    def integer(self, key: str, default: int | None = None) -> int:
        """Return an integer; a float with an integral value is accepted."""
        value = self._raw.get(key)
        value = default if value is None else value
        if isinstance(value, bool) or not isinstance(value, int | float) or value != value // 1:
            raise self._invalid(key, "a whole number")
        return int(value)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._raw.get(key)
        value = default if value is None else value
        if not isinstance(value, str):
            raise self._invalid(key, "text")
        return value

    def flag(self, key: str) -> bool:
        """Return a boolean, False by default; integers are accepted."""
        value = self._raw.get(key)
        if not isinstance(value, bool | int | None):
            raise self._invalid(key, "true or false")
        return bool(value)

    def choice(self, key: str, known: Mapping[str, Any], default: str) -> Any:
        """Return the value that `known` has for the configured name; an empty name gives the default."""
        value = self.text(key, default) or default
        if value not in known:
            raise self._invalid(key, "one of " + ", ".join(known))
        return known[value]

    def has(self, key: str) -> bool:
        """Return whether the key is present and not null."""
        return self._raw.get(key) is not None

    def raw(self, key: str) -> Any:
        """Return the unchecked value; None if it is absent."""
        return self._raw.get(key)

    def section(self, key: str) -> "Section":
        """Return a nested object; an absent one is empty."""
        return Section(self._raw.get(key) or {}, self.path_of(key))

    def _list(self, key: str) -> list[Any]:
        value = self._raw.get(key)
        if value is not None and not isinstance(value, list | tuple):
            raise self._invalid(key, "a list")
        return list(value or ())

    def sections(self, key: str) -> list["Section"]:
        """Return a list of objects; an absent one is empty."""
        return [Section(raw, f"{self.path_of(key)}[{n}]") for n, raw in enumerate(self._list(key))]

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return a list of finite numbers; an absent one is empty."""
        elements = self._elements(key)
        return tuple(elements.number(str(n)) for n in range(len(elements._raw)))

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of strings; an absent one is empty."""
        elements = self._elements(key)
        return tuple(elements.text(str(n)) for n in range(len(elements._raw)))

    def _elements(self, key: str) -> "Section":
        """Return a list as a section with the indices as keys, so that errors name the index."""
        return Section({str(n): value for n, value in enumerate(self._list(key))}, self.path_of(key))

    def address(self, key: str) -> Address:
        """Return an address of the form HOST:PORT."""
        try:
            return catalog.parse_address(self.text(key))
        except ConfigError:
            raise
        except ValueError as problem:
            raise self._invalid(key, "HOST:PORT") from problem


def preview(value: Any) -> str:
    """Return the start of a value's representation, for error messages."""
    return repr(value)[:60]
