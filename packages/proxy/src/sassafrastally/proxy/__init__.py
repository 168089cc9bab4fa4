"""The pass-through request path: callers' requests forwarded unchanged to backend servers."""
