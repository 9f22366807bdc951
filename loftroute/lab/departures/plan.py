"""Draws a play from a seed: who asks for what, when clients leave and how, and what happens to the relay."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import Literal

# Numbers of commands and body sizes (bytes): from one command to more than the systems' buffers hold.
GROUP_SHAPES = [
    (1, 0),
    (3, 64),
    (40, 64),
    (64, 0),
    (80, 64),
    (300, 64),
    (900, 100),
    (300, 4000),
    (1500, 1000),
]


class Leave(Enum):
    """How a client ends its connection."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"  # ends its sending side first, and closes 20 ms later
    STAY = "stay"  # reads all its answers


@dataclass(frozen=True, slots=True)
class Group:
    """One connection that sends commands without waiting for answers, and leaves.

    Attributes:
        at_s: when it connects.
        commands: number of commands.
        body_bytes: size of each command's body.
        leaves: how it ends.
        stays_s: time between the first byte sent and the end.
    """

    at_s: float
    commands: int
    body_bytes: int
    leaves: Leave
    stays_s: float


@dataclass(frozen=True, slots=True)
class Signal:
    """A signal to the relay; `pause` is SIGSTOP, and SIGCONT after `length_s`."""

    at_s: float
    kind: Literal["reload", "pause"]
    length_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A play.

    Attributes:
        seed: of everything drawn, also while the play runs.
        length_s: time until SIGTERM.
        units: number of units.
        service_s: least and greatest time that a unit takes to answer or to turn away.
        busy_share, hang_share: shares of the attempts that are turned away, or never answered.
        groups: the connections that leave.
        usual_clients: connections that wait for each answer, used until the relay ends them.
        silent_clients: connections that send nothing.
        signals: what happens to the relay.
        memory_mb: memory limit that the relay is told.
        agent_delay_s: by how much the agent of discovery answers late.
        drain_at_s: when the first unit begins to drain; None if it never does.
    """

    seed: int
    length_s: float
    units: int
    service_s: tuple[float, float]
    busy_share: float
    hang_share: float
    groups: tuple[Group, ...]
    usual_clients: int
    silent_clients: int
    signals: tuple[Signal, ...]
    memory_mb: int = 192
    agent_delay_s: float = 0.0
    drain_at_s: float | None = None


def draw(seed: int, length_s: float = 6.0) -> Plan:
    """Return the plan of a seed."""
    rng, agent_rng = random.Random(seed), random.Random(f"agent {seed}")
    return Plan(
        seed=seed,
        length_s=length_s,
        units=rng.randint(4, 8),
        service_s=(0.0, rng.choice([0.1, 0.3, 0.6])),
        busy_share=rng.choice([0.1, 0.4, 0.8]),
        hang_share=rng.choice([0.0, 0.0, 0.1, 0.3]),
        groups=tuple(_draw_group(rng, length_s) for _ in range(rng.randint(8, 16))),
        usual_clients=rng.randint(4, 12),
        silent_clients=rng.choice([0, 0, 100, 300]),
        signals=_draw_signals(rng, length_s),
        memory_mb=rng.choice([192, 192, 64, 32]),
        agent_delay_s=agent_rng.choice([0.0, agent_rng.uniform(0.2, 1.0), agent_rng.uniform(1.0, 4.0)]),
        drain_at_s=agent_rng.uniform(0.3, 1.5),
    )


def _draw_group(rng: random.Random, length_s: float) -> Group:
    commands, body_bytes = rng.choice(GROUP_SHAPES)
    leave = rng.choices(list(Leave), [6, 2, 2, 1])[0]
    # A client that waits for 1,500 answers would need more than the play; it sends what fits in the buffers.
    if leave is Leave.STAY:
        commands, body_bytes = min(commands, 80), min(body_bytes, 64)
    return Group(rng.uniform(0.3, length_s - 1.5), commands, body_bytes, leave, rng.uniform(0.02, 0.3))


def _draw_signals(rng: random.Random, length_s: float) -> tuple[Signal, ...]:
    """Return up to one series of reloads and one of pauses of at most 0.15 s."""
    signals: list[Signal] = []
    if rng.random() < 0.5:
        begin = rng.uniform(1.1, length_s / 2)
        signals += [Signal(begin + n * rng.uniform(0.05, 0.4), "reload") for n in range(rng.randint(2, 5))]
    if rng.random() < 0.5:
        begin = rng.uniform(1.1, length_s / 2)
        signals += [
            Signal(begin + 0.5 * n, "pause", rng.uniform(0.02, 0.15)) for n in range(rng.randint(2, 6))
        ]
    return tuple(signals)
