"""Stand-ins of what the system meets, whole deployments, scenarios, measures and the bench."""
