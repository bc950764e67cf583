#!/usr/bin/env python3
"""The declaration of Inkono Pouch Co.: chat helper and subscription orders in four zones of rw-central."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "clients", "python"))

from briarhinge_operator import (Account, Budget, Declaration, Kind, Model, Pool, PoolType, Selector, Tool,
                                 print_declaration)

ZONES = ["rwc-a", "rwc-b", "rwc-c", "rwc-d"]
CONVERSATION = Budget(tokens=2_000_000, money=5_000_000, calls=160)


def main():
    """Prints the declaration."""
    print_declaration(Declaration(
        deployment="inkono",
        kinds=[
            # A parent waits to know what to feed tonight.
            Kind("allergy", priority=100, budget=CONVERSATION, wall_time="2h", cache_weight=0.1),
            Kind("refund", priority=90, budget=CONVERSATION, wall_time="2h", cache_weight=0.1),
            Kind("chat", priority=50, budget=CONVERSATION, wall_time="24h", cache_weight=0.2),
            Kind("recipe-digest", priority=0, budget=Budget(tokens=500_000, money=1_000_000, calls=60),
                 wall_time="1h", cache_weight=0.2),
        ],
        pools=[
            Pool("chat", PoolType.ENGINE, timeout="60s", checks_fencing=True, minimum_live=4,
                 selector=Selector("chat", ZONES), models=[Model("small", "1", ["weaning", "refunds"])]),
            Pool("orders", PoolType.TOOL, timeout="10s", checks_fencing=False, minimum_live=4,
                 selector=Selector("orders", ZONES),
                 tools=[Tool("charge", timeout="20s"), Tool("dispatch", timeout="20s"),
                        Tool("change-flavour"), Tool("search", idempotent=True)]),
        ],
        accounts=[Account("kigali", max_programs=2_000, max_calls_per_second=200),
                  Account("huye", max_programs=1_000, max_calls_per_second=100),
                  Account("care-agents", max_programs=200, max_calls_per_second=50)],
    ))


if __name__ == "__main__":
    main()
