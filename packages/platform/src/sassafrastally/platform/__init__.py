"""Package platform."""
