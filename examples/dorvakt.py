#!/usr/bin/env python3
"""The declaration of Dørvakt Rapport AS: language models and report and notice services in three zones of vestland."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "clients", "python"))

from briarhinge_operator import (Account, Budget, Declaration, Kind, Model, Pool, PoolType, Selector, Tool,
                                 print_declaration)

ZONES = ["vestland-a", "vestland-b", "vestland-c"]
INSPECTION = Budget(tokens=4_000_000, money=20_000_000, calls=160)


def main():
    """Prints the declaration."""
    print_declaration(Declaration(
        deployment="dorvakt",
        kinds=[
            # An inspector stands at the door.
            Kind("inspection", priority=100, budget=INSPECTION, wall_time="8h", cache_weight=0.4),
            Kind("closure-notice", priority=90, budget=Budget(tokens=200_000, money=1_000_000, calls=20),
                 wall_time="24h", cache_weight=0.4),
            Kind("deviation-draft", priority=50, budget=INSPECTION, wall_time="24h", cache_weight=0.6),
            Kind("report", priority=20, budget=INSPECTION, wall_time="48h", cache_weight=0.6),
        ],
        pools=[
            Pool("language", PoolType.ENGINE, timeout="120s", checks_fencing=False, minimum_live=3,
                 selector=Selector("language", ZONES), models=[Model("small", "1", ["findings"])]),
            Pool("reports", PoolType.TOOL, timeout="15s", checks_fencing=False, minimum_live=3,
                 selector=Selector("reports", ZONES),
                 tools=[Tool("sign-report", timeout="30s"), Tool("send-notice", timeout="30s"),
                        Tool("look-up-door", idempotent=True)]),
        ],
        accounts=[Account("inspectors", max_programs=500, max_calls_per_second=50),
                  Account("engineers", max_programs=200, max_calls_per_second=20),
                  Account("housing-cooperatives", max_programs=200, max_calls_per_second=20)],
    ))


if __name__ == "__main__":
    main()
