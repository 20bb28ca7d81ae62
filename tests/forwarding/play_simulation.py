"""Plays one heavy and faulty run of the load simulation, and prints its figures.

Run as `python -m tests.forwarding.play_simulation SEED`, for studies of variants.
"""

import json
import sys

from .load_simulation import LoadSimulation, Scenario

SCENARIO = Scenario(
    shards=12, per_s=120.0, slow_share=0.1, dark_share=0.05, shed_share=0.1, seconds=3.0
)


def main() -> None:
    """Play the scenario with the seed of the command line."""
    simulation = LoadSimulation(SCENARIO, seed=int(sys.argv[1])).run()
    results = simulation.results
    in_time = sum(
        item.is_answered and item.latency_s <= item.route.objective_s
        for item in results
    )
    figures = {"worth": simulation.get_mean_score(), "in_time": in_time / len(results)}
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
