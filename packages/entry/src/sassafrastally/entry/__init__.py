"""Package entry."""
