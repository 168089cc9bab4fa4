"""Package testing."""
