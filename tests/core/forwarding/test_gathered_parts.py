"""Tests of merging single and merged answers of shards."""

import random

import testtools

from sesameplank.core.forwarding.gathered_parts import GatheredParts
from sesameplank.core.forwarding.record_merge import RECORD_BYTES, merge_parts

LIMIT = 5


def make_body(rng: random.Random, records: int = 8) -> bytes:
    """Return random records."""
    return b"".join(rng.randbytes(RECORD_BYTES) for _ in range(records))


class GatheredPartsTests(testtools.TestCase):
    """The records are exactly the greatest ones of the answers that are named."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(5)
        self.bodies = {name: make_body(self.rng) for name in "abcd"}
        self.parts = GatheredParts(LIMIT)

    def add_merged(self, names: str) -> None:
        body = merge_parts([self.bodies[name] for name in names], LIMIT)
        self.parts.add_merged({name: f"{name}-merged" for name in names}, body)

    def check(self, names: str) -> None:
        self.assertEqual(sorted(names), sorted(self.parts.signatures))
        expected = merge_parts([self.bodies[name] for name in names], LIMIT)
        self.assertEqual(expected, self.parts.get_body())

    def test_single_and_merged_answers_together(self):
        self.parts.add("a", "a-single", self.bodies["a"])
        self.add_merged("bcd")
        self.check("abcd")

    def test_merged_answer_replaces_single_ones(self):
        for name in "ab":
            self.parts.add(name, f"{name}-single", make_body(self.rng))
        self.parts.add("d", "d-single", self.bodies["d"])
        self.add_merged("abc")
        self.check("abcd")
        self.assertEqual("a-merged", self.parts.signatures["a"])
        self.assertEqual("d-single", self.parts.signatures["d"])
        self.assertEqual(4, len(set(self.parts.signatures.values())))

    def test_random_orders_give_the_same_records(self):
        for seed in range(50):
            rng = random.Random(seed)
            self.parts = GatheredParts(LIMIT)
            steps = [("single", name) for name in "abcd" if rng.random() < 0.6]
            steps.append(("merged", "".join(rng.sample("abcd", 3))))
            rng.shuffle(steps)
            for kind, names in steps:
                if kind == "merged":
                    self.add_merged(names)
                elif names not in self.parts.signatures:
                    self.parts.add(names, f"{names}-single", self.bodies[names])
            self.check("".join(self.parts.signatures))
