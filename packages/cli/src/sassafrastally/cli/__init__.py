"""Package cli."""
