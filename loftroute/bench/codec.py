"""Codec of the benchmark simulator's text protocol: lines into events, actions into lines.

Values are separated by spaces and read by position; `-` stands for an absent value. Times are in nanoseconds.
The settings in BOOT are read by loftroute/module_settings.py, as those of the real relay are.
"""

import json
from collections.abc import Callable
from typing import Any

from loftroute.decision import interface
from loftroute.module_settings import read_settings

LEDGERS = 16  # numbers of server lists are below this
BUILD_LIMIT = 65536  # build numbers are below this
ID_DIGITS = frozenset("0123456789abcdef")

OUTCOMES = {
    "Ok": interface.Outcome.OK,
    "Failed": interface.Outcome.ERROR,
    "QueueFull": interface.Outcome.FULL,
    "TimedOut": interface.Outcome.TIMEOUT,
    "ConnectError": interface.Outcome.CONNECT_FAILED,
    "ResetByPeer": interface.Outcome.RESET,
    "Canceled": interface.Outcome.CANCELLED,
    "Ignored": interface.Outcome.MOOT,
}
LIST_KINDS = {
    "update": interface.ListKind.DELTA,
    "replace": interface.ListKind.FULL,
    "restored": interface.ListKind.CACHED,
    "unavailable": interface.ListKind.FAILED,
}
STATES = {
    "healthy": interface.ServerState.READY,
    "cordoned": interface.ServerState.DRAINING,
    "deregistered": interface.ServerState.GONE,
}


class WireError(Exception):
    """A message that the protocol does not allow."""


def number(text: str) -> int:
    """Read a whole number; an absent one is 0."""
    return 0 if text == "-" else int(text)


def request_id(text: str) -> str:
    """Check a request id: 16 hex digits, else `ValueError`."""
    if len(text) != 16 or not ID_DIGITS.issuperset(text):
        raise ValueError(f"not a request id: {text!r}")
    return text


def row(text: str) -> tuple[float, ...] | None:
    """Read a load report: numbers separated by commas."""
    return None if text == "-" else tuple(float(value) for value in text.split(","))


def flag(text: str) -> bool:
    """Read 0 or 1; an absent flag is false."""
    if text not in ("0", "1", "-"):
        raise ValueError(f"not a bool: {text!r}")
    return text == "1"


def entry(values: list[str]) -> interface.ServerEntry:
    """Read a server's entry: zone, build, state, start, weight, server, machine type, cell."""
    build = number(values[1])
    if not 0 <= build < BUILD_LIMIT:
        raise ValueError(f"not a build: {values[1]!r}")
    return interface.ServerEntry(
        zone=number(values[0]),
        build=build,
        state=STATES[values[2]],
        started=number(values[3]),
        weight=1.0 if values[4] == "-" else float(values[4]),
        server=int(values[5]),
        machine_type=number(values[6]),
        cell=number(values[7]),
    )


def _request_arrived(values: list[str]) -> interface.RequestArrived:
    """Read a request. Bits of the last value: 1 the work hint counts, 2 a retry, 4 a write."""
    bits = number(values[6])
    hint = number(values[4])
    return interface.RequestArrived(
        request=request_id(values[0]),
        key=None if values[1] == "-" else values[1],
        tenant=number(values[2]),
        cls=int(values[3]),
        work_hint=hint if bits & 1 and hint > 0 else None,
        time_left=int(values[5]),
        is_retry=bool(bits & 2),
        write=bool(bits & 4),
    )


def _attempt_ended(values: list[str]) -> interface.AttemptEnded:
    """Read the end of an attempt."""
    return interface.AttemptEnded(
        request_id(values[0]),
        int(values[1]),
        int(values[2]),
        OUTCOMES[values[3]],
        number(values[4]),
        flag(values[5]),
        row(values[6]),
    )


def _release_news(values: list[str]) -> interface.ReleaseNews:
    """Read the state of the release."""
    return interface.ReleaseNews(
        phase=interface.Phase(number(values[0])),
        age=number(values[1]),
        stage=number(values[2]),
        status=OUTCOMES[values[3]],
        cap=0.0 if values[4] == "-" else float(values[4]),
        build=number(values[5]),
        is_reply=flag(values[6]),
    )


# Message name -> number of values after the instance's name, and the function that reads them.
EVENTS: dict[str, tuple[int, Callable[[list[str]], interface.Event]]] = {
    "JOB_IN": (7, _request_arrived),
    "FLOWING": (
        4,
        lambda values: interface.StreamStarted(
            request_id(values[0]), int(values[1]), int(values[2]), number(values[3])
        ),
    ),
    "ANSWER": (7, _attempt_ended),
    "CLIENT_GONE": (1, lambda values: interface.ClientGone(request_id(values[0]))),
    "WAKEUP": (1, lambda values: interface.TimerFired(number(values[0]))),
    "HEALTH_RESULT": (
        4,
        lambda values: interface.ProbeEnded(
            int(values[1]), OUTCOMES[values[0]], number(values[2]), row(values[3])
        ),
    ),
    "WHISPER": (
        2,
        lambda values: interface.PeerMessage(
            number(values[0]), b"" if values[1] == "-" else bytes.fromhex(values[1])
        ),
    ),
    "RELEASE_STATE": (7, _release_news),
    "SCORECARD": (
        6,
        lambda values: interface.Tally(
            build=number(values[0]),
            failed=number(values[1]),
            age=number(values[2]),
            cls=number(values[3]),
            sampled=number(values[4]),
            latency=number(values[5]),
        ),
    ),
    "DISPUTED": (
        3,
        lambda values: interface.AnswerDisputed(int(values[0]), number(values[1]), number(values[2])),
    ),
}

ACTIONS: dict[type, Callable[[str, Any], str]] = {
    interface.Send: lambda relay, action: (
        f"FORWARD {relay} {action.request} {action.server} {action.timeout}"
    ),
    interface.Refuse: lambda relay, action: f"NOT_NOW {relay} {action.request} {action.retry_after}",
    interface.Fail: lambda relay, action: f"FINISH_ERROR {relay} {action.request}",
    interface.Cancel: lambda relay, action: f"DROP_ATTEMPT {relay} {action.request} {action.attempt}",
    interface.SetTimer: lambda relay, action: f"SET_ALARM {relay} {action.at} {action.token}",
    interface.Probe: lambda relay, action: f"HEALTH_CHECK {relay} {action.server}",
    interface.CloseIdle: lambda relay, action: f"CLOSE_IDLE {relay} {action.server}",
    interface.Tell: lambda relay, action: (
        f"NOTIFY {relay} {'all' if action.peer is None else action.peer} {action.data.hex() or '-'}"
    ),
    interface.Watch: lambda relay, action: f"LISTEN {relay} {int(action.enabled)}",
    interface.Fetch: lambda relay, action: f"SNAPSHOT {relay}",
    interface.Vote: lambda relay, action: (
        f"BALLOT {relay} {action.stage} {action.build} {int(action.verdict)}"
    ),
    interface.Log: lambda relay, action: f"JOURNAL_LINE {relay} {' '.join(action.text.split())}",
}


def parse(parts: list[str]) -> interface.Event:
    """Read an event from the parts of its line: message name, instance, values.

    Raises:
        WireError: the message or a value is not allowed.
    """
    known = EVENTS.get(parts[0])
    if known is None:
        raise WireError(f"unknown event {parts[0]!r}")
    count, read = known
    if len(parts) != count + 2:
        raise WireError(f"{parts[0]}: {count + 1} values wanted, {len(parts) - 1} found")
    try:
        return read(parts[2:])
    except (ValueError, KeyError, IndexError) as error:
        raise WireError(f"{parts[0]}: {error}") from error


def boot(text: str) -> tuple[int, interface.Settings]:
    """Read seed and settings, the values of BOOT after the instance's name.

    Raises:
        WireError: a value is missing or malformed.
    """
    try:
        seed, document = text.split(" ", 1)
        return int(seed), read_settings(json.loads(document))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise WireError(f"BOOT: {error}") from error


def render(relay: str, action: interface.Action) -> str:
    """Return the line of an action of an instance."""
    return ACTIONS[type(action)](relay, action)
