"""Typed builders of a briarhinge declaration; needs the standard library only.

A program builds a Declaration and prints it with print_declaration; `briarhingectl apply` takes the output.
Field names are those of the declaration's JSON in snake case. briarhinge itself does the full validation.
"""

import dataclasses
import enum
import json
import sys

__all__ = ["Account", "Budget", "Declaration", "Kind", "Model", "Pool", "PoolType", "Selector", "Tool",
           "print_declaration"]


class PoolType(enum.Enum):
    """Kind of the upstreams of a pool."""

    ENGINE = "engine"
    TOOL = "tool"


@dataclasses.dataclass(frozen=True)
class Budget:
    """What one root program with its sub-programs may spend; money is in millionths of the currency."""

    tokens: int
    money: int
    calls: int


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of program. A higher priority is served first; wall_time is a duration such as "2h"."""

    name: str
    priority: int
    budget: Budget
    wall_time: str
    cache_weight: float = 0.0


@dataclasses.dataclass(frozen=True)
class Model:
    """A model that the engines of a pool must serve."""

    name: str
    version: str
    adapters: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Tool:
    """A tool that the services of a pool offer; timeout is a duration such as "30s"."""

    name: str
    idempotent: bool = False
    timeout: str | None = None


@dataclasses.dataclass(frozen=True)
class Selector:
    """Selects every runner whose settings name the pool, in the given zones or in all."""

    pool: str
    zones: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Pool:
    """A pool of engines or tool services; needs either members or a selector."""

    name: str
    type: PoolType
    timeout: str
    checks_fencing: bool
    minimum_live: int
    members: list[str] | None = None
    selector: Selector | None = None
    models: list[Model] | None = None
    tools: list[Tool] | None = None


@dataclasses.dataclass(frozen=True)
class Account:
    """The limits of a client account."""

    name: str
    max_programs: int
    max_calls_per_second: int


@dataclasses.dataclass(frozen=True)
class Declaration:
    """The complete declaration of a deployment."""

    deployment: str
    kinds: list[Kind]
    pools: list[Pool]
    accounts: list[Account]


def _camel_case(name):
    first, *others = name.split("_")
    return first + "".join(word.capitalize() for word in others)


def _to_json(value):
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, list):
        return [_to_json(item) for item in value]
    if dataclasses.is_dataclass(value):
        fields = {field.name: getattr(value, field.name) for field in dataclasses.fields(value)}
        return {_camel_case(name): _to_json(item) for name, item in fields.items() if item is not None}
    return value


def print_declaration(declaration, stream=None):
    """Prints a declaration as the JSON that `briarhingectl apply` takes."""
    json.dump(_to_json(declaration), stream or sys.stdout, indent=2, ensure_ascii=False)
    print(file=stream or sys.stdout)
