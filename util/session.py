"""Sends one program of several turns through a small deployment and prints every outcome."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tests", "system"))

import stack  # noqa: E402 (the path is set above)


def expect(what, reply, outcome="completed"):
    """Prints an outcome; fails when it is not the expected one."""
    status, body = reply
    print(f"{what}: {status} {body.get('outcome')}: {body.get('answer', body.get('reason', ''))!r}")
    if body.get("outcome") != outcome:
        raise SystemExit(f"{what}: expected {outcome}, got {body}")


def find_owner(deployment, program):
    """Returns the name of the entry whose log holds a program."""
    for name in deployment.entries:
        _, text = stack.send_request("GET", f"{deployment.key_value}/v1/values?prefix=log/{name}.&limit=1000")
        if f'\\"{program}\\"' in text:
            return name
    raise SystemExit(f"no log holds program {program}")


def wait_for_owners(deployment):
    """Waits until both entries own partitions."""
    def both_own_partitions():
        status, text = stack.send_request("GET", deployment.key_value + "/v1/value?key=partitions")
        return status == 200 and len({one[0] for one in json.loads(text)["partitions"]}) == 2
    stack.wait_until(both_own_partitions, "both entries to own partitions")


def apply_example(deployment, name):
    """Applies an example declaration and waits until it is in force in every process."""
    code, output, errors = deployment.ctl("apply", os.path.join(stack.ROOT, "examples", name + ".json"), "--wait")
    if code != 0:
        raise SystemExit(f"examples/{name}.json was not applied: {output}{errors}")
    print(f"applied examples/{name}.json")


def main():
    """Runs the session."""
    with stack.small_stack(entries=2, engines=3, entry_flags=("--lease-time", "1000")) as deployment:
        wait_for_owners(deployment)
        apply_example(deployment, "dorvakt")
        apply_example(deployment, "inkono")
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
        stack.wait_until(lambda: json.loads(
            stack.send_request("GET", f"{second}/v1/programs/order-17/calls/3")[1])["committed"],
                         "the charge to be durable")
        owner = find_owner(deployment, "order-17")
        deployment.kill(owner)
        parent.entry = next(iter(deployment.entries.values()))
        start = time.monotonic()
        expect("last call", parent.model("Thank you"))
        print(f"killed {owner}, which owned the program; the other entry went on after {time.monotonic() - start:.1f} s")
        effects = deployment.effects("orders")
        charges = [line for line in effects if line.startswith("charge order-17 ")]
        print(f"effects of the charge: {len(charges)}")
        if len(charges) != 1:
            raise SystemExit("the charge must have run exactly once")
        print(f"ended: {parent.end()[1]['ended']}")


if __name__ == "__main__":
    main()
