"""Searches: plans, snapshots, replicas, hedges and coverage."""
