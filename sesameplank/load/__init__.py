"""The load tool: runs a scenario, measures it and checks the answers."""
