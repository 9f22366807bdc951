"""The platform's words on builds: votes out, answers and news in."""

import json
from typing import Any

from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, parse_json, read_integer, read_number

MS = 1_000_000  # nanoseconds

PHASES = {
    "Progressing": i.Phase.TRIAL,
    "Aborting": i.Phase.GOING_BACK,
    "Healthy": i.Phase.RELEASED,
    "Aborted": i.Phase.WITHDRAWN,
}
RULINGS = {i.Verdict.NONE: "none", i.Verdict.ON: "on", i.Verdict.HOLD: "hold", i.Verdict.BACK: "back"}
STATUSES = {
    200: i.Outcome.OK,
    429: i.Outcome.FULL,
    409: i.Outcome.MOOT,
    500: i.Outcome.ERROR,
    400: i.Outcome.ERROR,
}


def vote_target() -> str:
    return "/apis/fleet/judgements"


def changes_target() -> str:
    return "/apis/fleet/changes"


def vote_body(vote: i.Vote) -> bytes:
    words = {"release": vote.build, "tranche": vote.stage, "ruling": RULINGS[vote.verdict]}
    return json.dumps(words, separators=(",", ":")).encode()


def parse_news(document: Any, reply: bool = False) -> i.ReleaseNews:
    """The state of the newest build."""
    try:
        return i.ReleaseNews(
            phase=PHASES[document["mode"]],
            age=read_integer(document, "old_ms", 0) * MS,
            stage=read_integer(document, "tranche"),
            status=i.Outcome.OK,
            cap=read_number(document, "exposure"),
            build=read_integer(document, "release"),
            is_reply=reply,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
        raise ProtocolError(f"pipeline: {problem!r}") from problem


def uncounted_vote(outcome: i.Outcome) -> i.ReleaseNews:
    """The answer to a vote that did not count, or of which that is not known."""
    return i.ReleaseNews(i.Phase.TRIAL, 0, 0, outcome, 0.0, 0, True)


def parse_vote_answer(status: int, body: bytes) -> i.ReleaseNews:
    if status not in STATUSES:
        raise ProtocolError(f"pipeline: status {status}")
    if status != 200:
        return uncounted_vote(STATUSES[status])
    return parse_news(parse_json(body), reply=True)


def parse_change(line: bytes) -> i.ReleaseNews | None:
    """One line of the changes; a sign of life tells nothing."""
    document = parse_json(line)
    if document == {}:
        return None
    if not isinstance(document, dict) or document.get("type") != "stage":
        raise ProtocolError("pipeline: a stage wanted")
    return parse_news(document.get("object"))
