"""Package sidecar."""
