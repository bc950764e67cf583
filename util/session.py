"""Sends one program of several turns through a small deployment and prints every outcome."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tests", "system"))

import stack  # noqa: E402 (the path is set above)


def expect(what, reply, outcome="completed"):
    """Prints an outcome; fails when it is not the expected one."""
    status, body = reply
    print(f"{what}: {status} {body.get('outcome')}: {body.get('answer', body.get('reason', ''))!r}")
    if body.get("outcome") != outcome:
        raise SystemExit(f"{what}: expected {outcome}, got {body}")


def main():
    """Runs the session."""
    with stack.small_stack(entries=2, engines=3) as deployment:
        first, second = deployment.entries.values()
        parent = stack.Caller(first, "order-17")
        parent.open()
        expect("model call", parent.model("Which flavour for a weaning baby?"))
        expect("tool pause", parent.tool("flavours late=200", tool="search", idempotent=True))
        child = stack.Caller(second, "order-17.allergy", parent="order-17")
        child.open()
        expect("sub-agent", child.model("Does the recipe suit an allergy?"))
        child.end()
        parent.entry = second
        expect("charge", parent.tool("12 pouches"))
        expect("last call", parent.model("Thank you"))
        effects = deployment.effects("orders")
        charges = [line for line in effects if line.startswith("charge order-17 ")]
        print(f"effects of the charge: {len(charges)}")
        if len(charges) != 1:
            raise SystemExit("the charge must have run exactly once")
        print(f"ended: {parent.end()[1]['ended']}")


if __name__ == "__main__":
    main()
