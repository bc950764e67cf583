"""Generates the programs of both deployments as seeded, open-loop arrivals, with times scaled down to seconds."""

import dataclasses
import random

BYTES_PER_TOKEN = 4
SYSTEM_PROMPT_TOKENS = 400


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of program: its share of the arrivals and the ranges of its random properties."""

    name: str
    group: str
    share: float
    turns: tuple
    input_tokens: tuple
    answer_tokens: tuple
    pause_s: tuple
    long_pause_share: float
    sub_agents: int = 0
    charges: bool = False


KINDS = (
    Kind("allergy", "high", 0.12, (3, 8), (80, 300), (8, 24), (0.1, 0.6), 0.05),
    Kind("refund", "high", 0.08, (3, 8), (80, 300), (8, 24), (0.1, 0.6), 0.10, charges=True),
    Kind("flavours", "normal", 0.40, (3, 12), (80, 300), (8, 24), (0.1, 0.8), 0.10),
    Kind("inspector", "normal", 0.25, (4, 12), (120, 500), (8, 24), (0.1, 0.6), 0.15),
    Kind("report", "low", 0.15, (10, 30), (150, 500), (12, 32), (0.05, 0.4), 0.05, sub_agents=2),
)
LONG_PAUSE_S = (2.0, 4.0)
SUB_AGENT_TURNS = (2, 3)


@dataclasses.dataclass
class Turn:
    """One model call, the pause before it, and the sub-agents that run before it."""

    text: str
    pause_s: float
    children: list


@dataclasses.dataclass
class Plan:
    """A complete program, generated before it starts."""

    name: str
    kind: Kind
    arrival_s: float
    turns: list
    charge_after: int


def _words(rng, tokens):
    return "".join(rng.choices("abcdefghijklmnop ", k=tokens * BYTES_PER_TOKEN))


def system_prompt(kind):
    """Returns the common start of every program of a kind; it is the same in each run."""
    return _words(random.Random(kind.name), SYSTEM_PROMPT_TOKENS)


def _turns(rng, kind, count, with_children):
    turns = []
    for number in range(count):
        pause = 0.0
        if number > 0:
            is_long = rng.random() < kind.long_pause_share
            pause = rng.uniform(*(LONG_PAUSE_S if is_long else kind.pause_s))
        text = _words(rng, rng.randint(*kind.input_tokens)) + f" answer={rng.randint(*kind.answer_tokens)}"
        if number == 0:
            text = system_prompt(kind) + text
        children = []
        if with_children and number == count // 2:
            children = [_turns(rng, kind, rng.randint(*SUB_AGENT_TURNS), False) for _ in range(kind.sub_agents)]
        turns.append(Turn(text, pause, children))
    return turns


def plans(seed, programs_per_s, seconds):
    """Returns the programs that arrive in a window, as a Poisson process."""
    rng = random.Random(seed)
    now = 0.0
    found = []
    while True:
        now += rng.expovariate(programs_per_s)
        if now > seconds:
            return found
        kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        count = rng.randint(*kind.turns)
        charge_after = rng.randrange(count) if kind.charges else -1
        found.append(Plan(f"p{seed}-{len(found)}", kind, now, _turns(rng, kind, count, True), charge_after))
