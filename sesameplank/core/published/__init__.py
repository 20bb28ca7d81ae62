"""What the platform publishes: versions, routes and lists of targets."""
