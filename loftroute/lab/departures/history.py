"""What a play records: requests with their clients' course, and what the units got. No I/O.

Times are seconds of the monotonic clock.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestRecord:
    """One request of a client.

    Attributes:
        id: the request's id.
        effect: `read`, `put` (keyed) or `pay` (unsafe), the name of its class.
        time_left_s: the time limit that it told.
        sent_at: when its last byte was accepted by the system.
        left_at: when its client closed the connection; None if it waited for the answer.
        answers: times and first bytes of the answers.
        ended_unanswered_at: when the relay ended the connection without an answer to it; None if it didn't.
        behind_until: when the request ahead of it on its connection was answered; 0 if there was none.
    """

    id: str
    effect: str
    time_left_s: float
    sent_at: float
    left_at: float | None = None
    answers: list[tuple[float, bytes]] = field(default_factory=list)
    ended_unanswered_at: float | None = None
    behind_until: float = 0.0


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as its unit saw it.

    Attributes:
        request: the request's id.
        unit: the unit's name.
        began_at: when its last byte came.
        told_s: the time limit that it told the unit.
        ran: the unit carried it out; False if it was turned away.
    """

    request: str
    unit: str
    began_at: float
    told_s: float
    ran: bool


@dataclass(slots=True)
class History:
    """All that a play saw.

    Attributes:
        requests: the requests by id.
        attempts: the attempts, in the order of their arrival.
        drains: when the agent of discovery had that a unit drains, by its name.
        terminated_at: when SIGTERM was sent; None if it was not.
        exit_status: of the relay; None if it still ran at the end, negative for the signal that ended it.
        killed_at: when the stand-in for the platform sent SIGKILL; None if it didn't.
        worst_lag_s: longest time for which the play itself was held up.
        memory_limit_kb: what the relay was told that it may use.
        peak_memory_kb: the most that it was seen to use (resident).
    """

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)
    terminated_at: float | None = None
    exit_status: int | None = None
    killed_at: float | None = None
    worst_lag_s: float = 0.0
    memory_limit_kb: int = 0
    peak_memory_kb: int = 0
