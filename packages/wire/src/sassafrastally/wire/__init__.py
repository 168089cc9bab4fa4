"""Package wire."""
