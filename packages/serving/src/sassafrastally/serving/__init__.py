"""Package serving."""
