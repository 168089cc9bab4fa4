"""Package control."""
