"""The example declarations match the output of the operator library and are valid by the schema."""

import json
import os
import re
import subprocess
import sys
import unittest

import stack

EXAMPLES = os.path.join(stack.ROOT, "examples")
TYPES = {"object": dict, "array": list, "string": str, "boolean": bool, "integer": int, "number": (int, float)}


class Schema:
    """Validates values against the subset of JSON Schema that declaration.schema.json uses."""

    def __init__(self, document):
        self.document = document

    def faults(self, value, schema=None, path="$"):
        """Returns the violations of the schema in a value."""
        schema = self.document if schema is None else schema
        if schema is False:
            return [f"{path}: is not allowed"]
        if "$ref" in schema:
            return self.faults(value, self.document["$defs"][schema["$ref"].rpartition("/")[2]], path)
        if "type" in schema and not self._has_type(value, schema["type"]):
            return [f"{path}: must be of type {schema['type']}"]
        found = [f"{path}: breaks {rule}" for rule, holds in self._rules(value, schema) if not holds]
        if isinstance(value, dict):
            found += self._object_faults(value, schema, path)
        if isinstance(value, list) and "items" in schema:
            for i, item in enumerate(value):
                found += self.faults(item, schema["items"], f"{path}[{i}]")
        return found + self._combined_faults(value, schema, path)

    @staticmethod
    def _has_type(value, name):
        return isinstance(value, TYPES[name]) and (name == "boolean" or not isinstance(value, bool))

    @staticmethod
    def _rules(value, schema):
        if "enum" in schema:
            yield "enum", value in schema["enum"]
        if "const" in schema:
            yield "const", value == schema["const"]
        if "pattern" in schema:
            yield "pattern", re.search(schema["pattern"], value) is not None
        if "minimum" in schema:
            yield "minimum", value >= schema["minimum"]
        if "maximum" in schema:
            yield "maximum", value <= schema["maximum"]

    def _object_faults(self, value, schema, path):
        found = [f"{path}.{name}: is missing" for name in schema.get("required", ()) if name not in value]
        for name, item in value.items():
            if name in schema.get("properties", {}):
                found += self.faults(item, schema["properties"][name], f"{path}.{name}")
            elif schema.get("additionalProperties") is False:
                found.append(f"{path}.{name}: is unknown")
        return found

    def _combined_faults(self, value, schema, path):
        found = []
        for part in schema.get("allOf", ()):
            found += self.faults(value, part, path)
        if "oneOf" in schema and sum(not self.faults(value, part, path) for part in schema["oneOf"]) != 1:
            found.append(f"{path}: breaks oneOf")
        if "if" in schema:
            branch = "else" if self.faults(value, schema["if"], path) else "then"
            found += self.faults(value, schema[branch], path)
        return found


def committed(name):
    """Returns the text of a committed example file."""
    with open(os.path.join(EXAMPLES, name), encoding="utf-8") as text:
        return text.read()


class ExamplesTest(unittest.TestCase):
    """The declarations of both deployments."""

    def setUp(self):
        self.schema = Schema(json.loads(committed("declaration.schema.json")))

    def test_output_of_the_operator_library_equals_the_committed_json(self):
        for name in ("inkono", "dorvakt"):
            printed = subprocess.run([sys.executable, os.path.join(EXAMPLES, name + ".py")], check=True,
                                     capture_output=True, env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"})
            self.assertEqual(printed.stdout.decode(), committed(name + ".json"))

    def test_examples_are_valid_by_the_schema(self):
        for name in ("inkono", "dorvakt"):
            self.assertEqual(self.schema.faults(json.loads(committed(name + ".json"))), [])

    def test_schema_refuses_what_the_validator_refuses(self):
        example = json.loads(committed("inkono.json"))
        example["pools"][1]["timeout"] = "5"
        example["pools"][0]["tools"] = []
        example["kinds"][0]["priority"] = "high"
        example["colour"] = "blue"
        self.assertEqual(self.schema.faults(example),
                         ["$.kinds[0].priority: must be of type integer", "$.pools[0].tools: is not allowed",
                          "$.pools[1].timeout: breaks pattern", "$.colour: is unknown"])


if __name__ == "__main__":
    unittest.main()
