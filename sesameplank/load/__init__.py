"""The load and experiment tool: runs a scenario, measures it and checks it."""
